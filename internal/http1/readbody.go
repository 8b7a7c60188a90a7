package http1

import (
	"errors"
	"io"
)

// minBodyBuffer is the initial size, in bytes, of the buffer for a body without a declared length. It doubles whenever
// it is full.
const minBodyBuffer = 4 << 10

// discardBufferBytes is the size of the buffer that a discarded body is read into. The body is read through the buffer
// of its connection, so that a small one costs no more system calls.
const discardBufferBytes = 512

// ReadBody reads a body of at most MaxBodyBytes to its end, into a buffer of its declared length. A negative length
// means that none is declared. reserve is called with the size of each buffer before the buffer is allocated; if it
// fails, its error is returned. A body that ends early fails with io.ErrUnexpectedEOF or with the error of the reader,
// and a longer one with ErrTooLong.
func ReadBody(r io.Reader, length int64, reserve func(size int) error) ([]byte, error) {
	if length < 0 {
		return readToEnd(r, reserve)
	}
	if length > MaxBodyBytes {
		return nil, ErrTooLong
	}
	if err := reserve(int(length)); err != nil {
		return nil, err
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(r, body); errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	} else if err != nil {
		return nil, err
	}
	return body, nil
}

// readToEnd reads a body without a declared length.
func readToEnd(r io.Reader, reserve func(size int) error) ([]byte, error) {
	var body []byte
	for {
		if len(body) == MaxBodyBytes {
			return body, expectEnd(r)
		}
		if len(body) == cap(body) {
			size := min(max(minBodyBuffer, 2*cap(body)), MaxBodyBytes)
			if err := reserve(size); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// expectEnd returns nil if nothing follows, and ErrTooLong if something does.
func expectEnd(r io.Reader) error {
	var next [1]byte
	_, err := io.ReadFull(r, next[:])
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case err != nil:
		return err
	}
	return ErrTooLong
}

// DiscardBody reads a body to its end without holding it. It fails with ErrTooLong if the body is longer than
// MaxBodyBytes. Its buffer is small, because hundreds of bodies may be discarded at the same time.
func DiscardBody(r io.Reader) error {
	var buffer [discardBufferBytes]byte
	for total := 0; total <= MaxBodyBytes; {
		n, err := r.Read(buffer[:])
		total += n
		switch {
		case errors.Is(err, io.EOF) && total <= MaxBodyBytes:
			return nil
		case err != nil && !errors.Is(err, io.EOF):
			return err
		}
	}
	return ErrTooLong
}
