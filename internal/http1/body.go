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

// bodyState is the part of a body that the next byte belongs to.
type bodyState int

const (
	bodyFixedLength bodyState = iota // a body with a Content-Length
	bodyChunkSize                    // the states of a chunked body
	bodyChunk
	bodyChunkEnd
	bodyTrailers
)

// bodyScanner follows the framing of one request's body (RFC 9112, sections 6 and 7). Its owner passes content (a body
// of known length, or a chunk) to skip, and the lines around chunks to parseLine. isLine reports which of them is next.
type bodyScanner struct {
	state     bodyState
	remaining uint64 // bytes left of the body or chunk, or allowed for the rest of the trailers
	trailers  int    // number of trailer lines so far
}

// startFixedLength starts a body of length bytes, which must not be 0.
func (b *bodyScanner) startFixedLength(length int64) {
	b.state, b.remaining = bodyFixedLength, uint64(length)
}

// startChunked starts a chunked body.
func (b *bodyScanner) startChunked() { b.state, b.trailers = bodyChunkSize, 0 }

// isLine reports whether the next bytes belong to a line, and not to the content.
func (b *bodyScanner) isLine() bool { return b.state != bodyFixedLength && b.state != bodyChunk }

// skip skips the bytes of the body or chunk. It returns the bytes after it, and whether the body is complete.
func (b *bodyScanner) skip(p []byte) (rest []byte, complete bool) {
	n := min(b.remaining, uint64(len(p)))
	if b.remaining -= n; b.remaining == 0 {
		if b.state == bodyFixedLength {
			complete = true
		} else {
			b.state = bodyChunkEnd
		}
	}
	return p[n:], complete
}

// lineLimit returns the maximum length of the next line in bytes, and the error for a longer line.
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

// allowsLine reports whether the next line may start with a byte. Only the number of trailer lines is limited.
func (b *bodyScanner) allowsLine(first byte) bool {
	return b.state != bodyTrailers || b.trailers < MaxFieldLines || first == '\r'
}

// parseLine parses a complete line, including its line ending, and reports whether the body is complete.
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
// the line ending or an extension, which is ignored.
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

// parseTrailerLine parses a line after the last chunk and reports whether it is the last one, which is empty. Trailer
// fields are ignored.
func (b *bodyScanner) parseTrailerLine(line []byte) (last bool, err error) {
	if !bytes.HasSuffix(line, []byte("\r\n")) {
		return false, errTrailer
	}
	b.remaining -= uint64(len(line))
	b.trailers++
	return len(line) == len("\r\n"), nil
}
