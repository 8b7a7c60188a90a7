package node

import (
	"errors"
	"io"
)

// maxListBytes is the longest endpoint list, in bytes. One of 3,200 endpoints that is indented has about 1 MB.
const maxListBytes = 4 << 20

// listBody is the body of a registry response, of up to maxListBytes. It records why it could not be read to its
// end, as the parser reports a truncated list like a malformed one.
type listBody struct {
	limitedReader
	err error
}

func newListBody(body io.Reader) *listBody {
	return &listBody{limitedReader: limitedReader{Reader: body, remaining: maxListBytes + 1}}
}

func (b *listBody) Read(p []byte) (int, error) {
	n, err := b.limitedReader.Read(p)
	if b.remaining == 0 {
		return n, errResponseTooLong
	}
	if err != nil && !errors.Is(err, io.EOF) {
		b.err = err
	}
	return n, err
}
