package http1

import (
	"errors"
	"strings"
	"testing"
)

// A body of known length is complete with its last byte, and the bytes after it are not skipped.
func TestBodyScannerSkipsAFixedLength(t *testing.T) {
	for _, row := range []struct {
		name, text, rest string
		complete         bool
	}{
		{"a part", "ab", "", false},
		{"the whole", "abc", "", true},
		{"more", "abcGET", "GET", true},
	} {
		t.Run(row.name, func(t *testing.T) {
			var b bodyScanner
			b.startFixedLength(3)
			if b.isLine() {
				t.Fatal("got isLine true in a body of known length, want false")
			}
			rest, complete := b.skip([]byte(row.text))
			if string(rest) != row.rest || complete != row.complete {
				t.Errorf("got complete %v, rest %q; want %v, %q", complete, rest, row.complete, row.rest)
			}
		})
	}
}

// A chunked body is complete with the empty line after its last chunk.
func TestBodyScannerFollowsChunks(t *testing.T) {
	longestTrailer := strings.Repeat("x", maxTrailers-len("\r\n\r\n"))
	for _, row := range []struct {
		name, text string
		complete   bool
		err        error
	}{
		{"no chunk", "0\r\n\r\n", true, nil},
		{"chunks", "3\r\nabc\r\nA\r\n0123456789\r\n0\r\n\r\n", true, nil},
		{"an extension and a trailer", "1;x=y\r\na\r\n0\r\nX: y\r\n\r\n", true, nil},
		{"without the last line", "1\r\na\r\n0\r\n", false, nil},
		{"no size", "\r\n", false, errChunkSize},
		{"a sign before the size", "+1\r\na\r\n", false, errChunkSize},
		{"a size that ends by LF", "1\na\r\n", false, errChunkSize},
		{"too many digits", strings.Repeat("0", maxChunkDigits) + "1\r\na\r\n", false, errChunkSize},
		{"a long extension", "1;" + strings.Repeat("x", maxChunkLine) + "\r\n", false, errChunkSize},
		{"a chunk longer than its size", "1\r\nab\r\n", false, errChunkEnd},
		{"a trailer that ends by LF", "0\r\nX: y\n", false, errTrailer},
		{"the longest trailers", "0\r\n" + longestTrailer + "\r\n\r\n", true, nil},
		{"trailers one byte too long", "0\r\n" + longestTrailer + "x\r\n\r\n", false, errTrailer},
	} {
		t.Run(row.name, func(t *testing.T) {
			complete, err := scanChunked([]byte(row.text))
			if complete != row.complete || !errors.Is(err, row.err) {
				t.Errorf("got complete %v, error %v; want %v, %v", complete, err, row.complete, row.err)
			}
		})
	}
}

// scanChunked scans a chunked body as RequestScanner does, up to the end of the body, an error or the end of the text.
func scanChunked(text []byte) (complete bool, err error) {
	var b bodyScanner
	b.startChunked()
	for len(text) > 0 && !complete && err == nil {
		if !b.isLine() {
			text, complete = b.skip(text)
			continue
		}
		line, _, _ := strings.Cut(string(text), "\n")
		line = string(text[:min(len(line)+1, len(text))])
		if limit, tooLong := b.lineLimit(); len(line) > limit {
			return false, tooLong
		}
		text = text[len(line):]
		complete, err = b.parseLine([]byte(line))
	}
	return complete, err
}
