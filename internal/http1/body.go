package http1

import (
	"bytes"
	"strconv"
)

// Limits on the lines of chunked bodies.
const (
	maxChunkLine   = 4 << 10 // bytes of a chunk's size and extensions, as in net/http
	maxTrailers    = 4 << 10 // bytes of all trailers of a request, as in net/http
	maxChunkDigits = 16      // hexadecimal digits of a chunk's size, as in net/http
)

// bodyState is what the next byte of a body belongs to.
type bodyState int

const (
	bodyOfLength  bodyState = iota // a body with a Content-Length
	bodyChunkSize                  // the states of a chunked body
	bodyChunk
	bodyChunkEnd
	bodyTrailers
)

// bodyScanner follows the framing of one request's body (RFC 9112, sections 6 and 7). Its owner gives it the bytes
// of a body of known length and of chunks by skip, and the lines between chunks by parseLine, as isLine says.
type bodyScanner struct {
	state     bodyState
	remaining uint64 // bytes of the body or chunk that are still to come, or that trailers may still have
}

// beginLength begins a body of a length in bytes, which is more than none.
func (b *bodyScanner) beginLength(length int64) {
	b.state, b.remaining = bodyOfLength, uint64(length)
}

// beginChunked begins a chunked body.
func (b *bodyScanner) beginChunked() { b.state = bodyChunkSize }

// isLine reports whether the next bytes belong to a line, and not to the content.
func (b *bodyScanner) isLine() bool { return b.state != bodyOfLength && b.state != bodyChunk }

// skip skips bytes of the body or a chunk. It returns those behind it, and whether the body is complete.
func (b *bodyScanner) skip(p []byte) (rest []byte, complete bool) {
	n := min(b.remaining, uint64(len(p)))
	if b.remaining -= n; b.remaining == 0 {
		if b.state == bodyOfLength {
			complete = true
		} else {
			b.state = bodyChunkEnd
		}
	}
	return p[n:], complete
}

// lineLimit returns how long the next line may be, in bytes, and the error if it is longer.
func (b *bodyScanner) lineLimit() (limit int, tooLong error) {
	switch b.state {
	case bodyChunkSize:
		return maxChunkLine, errChunkSize
	case bodyChunkEnd:
		return len("\r\n"), errChunkEnd
	default:
		return int(b.remaining), errTrailer
	}
}

// parseLine parses a complete line, its end included, and reports whether the body is complete.
func (b *bodyScanner) parseLine(line []byte) (complete bool, err error) {
	switch b.state {
	case bodyChunkSize:
		return false, b.parseChunkSize(line)
	case bodyChunkEnd:
		b.state = bodyChunkSize
		if string(line) != "\r\n" {
			return false, errChunkEnd
		}
		return false, nil
	default:
		return b.parseTrailerLine(line)
	}
}

// parseChunkSize parses the line before a chunk (RFC 9112, section 7.1): hexadecimal digits only, followed by
// the line's end or an extension, which is ignored.
func (b *bodyScanner) parseChunkSize(line []byte) error {
	line, hasEnd := bytes.CutSuffix(line, []byte("\r\n"))
	digits, _, _ := bytes.Cut(line, []byte(";"))
	size, err := strconv.ParseUint(string(digits), 16, 64)
	if !hasEnd || err != nil || len(digits) > maxChunkDigits || bytes.IndexByte(line, '\r') >= 0 {
		return errChunkSize
	}
	b.remaining, b.state = size, bodyChunk
	if size == 0 {
		b.remaining, b.state = maxTrailers, bodyTrailers
	}
	return nil
}

// parseTrailerLine parses a line behind the last chunk, of which an empty one is the last. Trailer fields are
// ignored.
func (b *bodyScanner) parseTrailerLine(line []byte) (last bool, err error) {
	if !bytes.HasSuffix(line, []byte("\r\n")) {
		return false, errTrailer
	}
	b.remaining -= uint64(len(line))
	return len(line) == len("\r\n"), nil
}
