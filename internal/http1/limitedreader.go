// Package http1 has what the node adds to net/http where messages of HTTP/1.1 are read: a scanner that follows the
// framing of the requests on a connection, a reader that limits the length of a response, and the limits on both
// sides' messages. Package downstream feeds the scanner and package upstream reads responses through the reader.
//
// The package does no I/O of its own, starts no goroutine and has no lock: a scanner or reader is used by one
// goroutine at a time, which its owner sees to.
package http1

import (
	"errors"
	"io"
)

// ErrTooLong reports a response longer than permitted, be it by its head, by the interim responses before
// it or by its body.
var ErrTooLong = errors.New("the response is too long")

// LimitedReader reads a limited number of bytes and then fails with ErrTooLong, unlike io.LimitedReader,
// which then reports the end of the input. Its owner sets the limit anew for each response. It is needed because
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
