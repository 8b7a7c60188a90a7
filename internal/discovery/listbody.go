package discovery

import (
	"errors"
	"io"

	"basaltdrum/internal/http1"
)

// maxListBytes is the longest endpoint list, in bytes. One of 3,200 endpoints that is indented has about 1 MB.
const maxListBytes = 4 << 20

// listBody is the body of a registry response, of up to maxListBytes. It records why it could not be read to its
// end, as the parser reports a truncated list like a malformed one.
type listBody struct {
	http1.LimitedReader
	err error
}

func newListBody(body io.Reader) *listBody {
	return &listBody{LimitedReader: http1.LimitedReader{Reader: body, Remaining: maxListBytes + 1}}
}

func (b *listBody) Read(p []byte) (int, error) {
	n, err := b.LimitedReader.Read(p)
	if b.Remaining == 0 {
		return n, http1.ErrTooLong
	}
	if err != nil && !errors.Is(err, io.EOF) {
		b.err = err
	}
	return n, err
}
