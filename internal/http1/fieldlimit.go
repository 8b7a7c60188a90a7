package http1

import (
	"bytes"
	"errors"
	"io"
)

// ErrTooManyFields reports a response whose head has more than MaxFieldLines lines of fields.
var ErrTooManyFields = errors.New("the head of the response has too many fields")

// statusDigit is the position of the first digit of the status code in a status line.
const statusDigit = len("HTTP/1.1 ")

// FieldLimitReader reads a response, and fails with ErrTooManyFields before the first line of a head that is beyond
// MaxFieldLines. The heads of interim responses are limited in the same way, each by itself. It stands between the
// connection and the reader of net/http, which allocates memory for the number of fields that it has buffered.
type FieldLimitReader struct {
	io.Reader
	lines      int  // complete lines of the current head, including the status line
	lineLength int  // bytes of the current line so far
	lastByte   byte // of the current line
	interim    bool // the current head is that of an interim response
	pastHeads  bool // the final head is complete
	err        error
}

// Read reads from the underlying reader up to the limit.
func (r *FieldLimitReader) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.Reader.Read(p)
	accepted := r.scan(p[:n])
	if r.err != nil {
		return accepted, r.err
	}
	return n, err
}

// scan follows the lines of the heads in bytes that were read, and returns the number of bytes before the first line
// beyond the limit.
func (r *FieldLimitReader) scan(p []byte) (accepted int) {
	rest := p
	for len(rest) > 0 && !r.pastHeads {
		if r.lineLength == 0 && r.lines > MaxFieldLines && rest[0] != '\r' && rest[0] != '\n' {
			r.err = ErrTooManyFields
			return len(p) - len(rest)
		}
		end := bytes.IndexByte(rest, '\n')
		if end < 0 {
			r.extendLine(rest)
			return len(p)
		}
		r.extendLine(rest[:end])
		r.endLine()
		rest = rest[end+1:]
	}
	return len(p)
}

// extendLine adds bytes to the current line.
func (r *FieldLimitReader) extendLine(part []byte) {
	if len(part) == 0 {
		return
	}
	if digit := statusDigit - r.lineLength; r.lines == 0 && digit >= 0 && digit < len(part) {
		r.interim = part[digit] < '2'
	}
	r.lineLength += len(part)
	r.lastByte = part[len(part)-1]
}

// endLine ends the current line. An empty line, which may have a CR, ends a head.
func (r *FieldLimitReader) endLine() {
	empty := r.lineLength == 0 || r.lineLength == 1 && r.lastByte == '\r'
	r.lineLength = 0
	if !empty || r.lines == 0 {
		r.lines++
		return
	}
	r.lines = 0
	r.pastHeads = !r.interim
}
