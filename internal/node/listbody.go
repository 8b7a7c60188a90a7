package node

import (
	"errors"
	"io"
)

func (b *limitedReader) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, errResponseTooLong
	}
	n, err := b.Reader.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	return n, err
}

// listBody is the body of discovery's answer, up to maxList bytes. It notes why it could not be read to its end:
// to the parser that looks like a malformed list.
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
