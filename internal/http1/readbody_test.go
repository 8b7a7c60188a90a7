package http1

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// errNoReserve is the error of a reserve function that allows no buffer.
var errNoReserve = errors.New("no memory")

// bodyCase is a body with or without a declared length, and what ReadBody returns for it.
type bodyCase struct {
	name     string
	received int   // bytes that arrive before the end
	declared int64 // negative: no length
	limit    int   // size of the largest buffer that reserve allows
	want     error // nil: the body is returned
}

var bodyCases = []bodyCase{
	{"empty", 0, 0, 0, nil},
	{"one byte", 1, 1, 1, nil},
	{"longest", MaxBodyBytes, MaxBodyBytes, MaxBodyBytes, nil},
	{"declared too long", 0, MaxBodyBytes + 1, MaxBodyBytes, ErrTooLong},
	{"ends before its length", 9, 10, 10, io.ErrUnexpectedEOF},
	{"nothing arrives", 0, 10, 10, io.ErrUnexpectedEOF},
	{"declared, without memory", 10, 10, 9, errNoReserve},
	{"empty without a length", 0, -1, minBodyBuffer, nil},
	{"short without a length", 10, -1, minBodyBuffer, nil},
	{"one buffer without a length", minBodyBuffer, -1, 2 * minBodyBuffer, nil},
	{"longest without a length", MaxBodyBytes, -1, MaxBodyBytes, nil},
	{"too long without a length", MaxBodyBytes + 1, -1, MaxBodyBytes, ErrTooLong},
	{"without a length, without memory to grow", minBodyBuffer + 1, -1, minBodyBuffer, errNoReserve},
	{"without a length, without memory", 1, -1, 0, errNoReserve},
}

// A body is read into buffers that were all reserved before, and its buffer is never longer than what was reserved.
func TestReadBodyReservesItsBuffer(t *testing.T) {
	for _, c := range bodyCases {
		for name, wrap := range map[string]func(io.Reader) io.Reader{
			"": func(r io.Reader) io.Reader { return r }, ", byte by byte": iotest.OneByteReader,
			", end with the data": iotest.DataErrReader,
		} {
			t.Run(c.name+name, func(t *testing.T) {
				text := strings.Repeat("x", c.received)
				reserved := 0
				body, err := ReadBody(wrap(strings.NewReader(text)), c.declared, func(size int) error {
					if size > c.limit {
						return errNoReserve
					}
					reserved = size
					return nil
				})
				if !errors.Is(err, c.want) {
					t.Fatalf("got error %v, want %v", err, c.want)
				}
				if err == nil && (string(body) != text || cap(body) > reserved) {
					t.Errorf("got %d bytes in a buffer of %d, want %d within %d",
						len(body), cap(body), len(text), reserved)
				}
			})
		}
	}
}

// A body is discarded to its end, unless it is too long or can't be read.
func TestDiscardBodyReadsToTheEnd(t *testing.T) {
	for _, c := range []struct {
		name string
		body io.Reader
		want error
	}{
		{"empty", strings.NewReader(""), nil},
		{"longest", strings.NewReader(strings.Repeat("x", MaxBodyBytes)), nil},
		{"too long", strings.NewReader(strings.Repeat("x", MaxBodyBytes+1)), ErrTooLong},
		{"broken", io.MultiReader(strings.NewReader("x"), iotest.ErrReader(io.ErrUnexpectedEOF)), io.ErrUnexpectedEOF},
	} {
		t.Run(c.name, func(t *testing.T) {
			if err := DiscardBody(c.body); !errors.Is(err, c.want) {
				t.Errorf("got error %v, want %v", err, c.want)
			}
			if rest, _ := io.ReadAll(c.body); c.want == nil && len(rest) > 0 {
				t.Errorf("%d bytes were left, want none", len(rest))
			}
		})
	}
}
