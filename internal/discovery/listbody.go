package discovery

import (
	"errors"
	"io"

	"basaltdrum/internal/http1"
)

// maxListBytes is the maximum size of an endpoint list. An indented list of 3,200 endpoints has about 1 MB.
const maxListBytes = 4 << 20

// listBody is the body of a registry response, limited to maxListBytes. It records a failed read, because the parser's
// error does not distinguish a truncated list from a malformed one.
type listBody struct {
	http1.LimitedReader
	err error // of a failed read, other than io.EOF and http1.ErrTooLong
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
