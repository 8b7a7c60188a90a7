package node

import (
	"errors"
	"io"
)

// errResponseTooLong reports a response longer than permitted, be it by its head, by the interim responses before
// it or by its body.
var errResponseTooLong = errors.New("the response is too long")

// limitedReader reads a limited number of bytes and then fails with errResponseTooLong, unlike io.LimitedReader,
// which then reports the end of the input. Its owner sets the limit anew for each response. It is needed because
// neither http.ReadResponse nor io.ReadAll has a limit of its own: one endless head would exhaust the memory.
type limitedReader struct {
	io.Reader
	remaining int // bytes
}

func (r *limitedReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, errResponseTooLong
	}
	n, err := r.Reader.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	return n, err
}
