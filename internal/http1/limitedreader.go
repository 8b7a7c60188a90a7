// Package http1 complements net/http in reading HTTP/1.1 messages. It has a scanner that follows the framing of the
// requests on a connection, a reader that limits the length of a response, and the limits on requests and responses.
// Package downstream feeds the scanner, and package upstream reads responses through the reader.
//
// The package does no I/O of its own, starts no goroutine and has no lock. The owner of a scanner or reader ensures
// that only one goroutine at a time uses it.
package http1

import (
	"errors"
	"io"
)

// ErrTooLong reports a response that is longer than permitted, whether because of its head, its body or the interim
// responses before it.
var ErrTooLong = errors.New("the response is too long")

// LimitedReader reads a limited number of bytes and then fails with ErrTooLong, unlike io.LimitedReader,
// which then reports the end of the input. Its owner sets Remaining again for each response. It is needed because
// neither http.ReadResponse nor io.ReadAll has a limit of its own: one endless head would exhaust the memory.
type LimitedReader struct {
	io.Reader
	Remaining int // bytes that may still be read
}

// Read reads from the underlying reader up to the limit.
func (r *LimitedReader) Read(p []byte) (int, error) {
	if r.Remaining <= 0 {
		return 0, ErrTooLong
	}
	n, err := r.Reader.Read(p[:min(len(p), r.Remaining)])
	r.Remaining -= n
	return n, err
}
