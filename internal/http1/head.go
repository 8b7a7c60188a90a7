package http1

import (
	"bytes"
	"hash/maphash"
	"net/http"
	"strconv"
	"time"
)

// Limits on the lines of heads.
const (
	maxRequestLine   = MaxHeaderBytes + 4<<10 // bytes; the limit of net/http for a complete head
	maxBufferedField = 256                    // bytes buffered of a field line; a valid Content-Length is shorter
)

// chunkedLength is the bodyLength of a chunked body, as in http.Request.ContentLength.
const chunkedLength = -1

// RequestHead describes one request whose head the scanner has parsed completely.
type RequestHead struct {
	FirstByte  time.Duration // clock time when its first byte was read
	wait       time.Duration // how long the client waits for the response, from the first byte; 0: not known
	lineHash   uint64        // hash of the request line
	bodyLength int64         // in bytes, or chunkedLength
}

// matches reports whether this is the head of the request that net/http has read.
func (h RequestHead) matches(r *http.Request) bool {
	line := maphash.String(requestLineSeed, r.Method+" "+r.RequestURI+" "+r.Proto)
	return h.lineHash == line && h.bodyLength == r.ContentLength
}

// requestLineSeed is the seed for the hashes of request lines.
var requestLineSeed = maphash.MakeSeed()

// fieldKind is the kind of a header field, which decides whether the field may be folded.
type fieldKind int

const (
	fieldNone    fieldKind = iota // no field precedes
	fieldFraming                  // Content-Length or Transfer-Encoding
	fieldOther
)

// withoutLineEnd strips the line ending of a line in a head, which net/http accepts with or without CR.
func withoutLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

// headScanner parses the head of one request line by line (RFC 9112, sections 2 to 6). It parses only what the framing
// of the body depends on, and the deadline.
type headScanner struct {
	current       RequestHead
	inFields      bool // the request line has been parsed
	http10        bool
	isPost        bool
	hasLength     bool
	hasCoding     bool
	fieldLines    int       // number of lines with fields so far
	previousField fieldKind // of the previous line
}

// start starts the head of the next request, whose first byte was read at the given clock time.
func (h *headScanner) start(at time.Duration) {
	*h = headScanner{current: RequestHead{FirstByte: at}}
}

// lineLimit returns how many bytes of the next line are buffered, and the error for a longer line. If the error is nil,
// the rest of a longer line is skipped.
func (h *headScanner) lineLimit() (limit int, tooLong error) {
	if !h.inFields {
		return maxRequestLine, errRequestLine
	}
	return maxBufferedField, nil
}

// allowsLine reports whether a line may start with a byte: the head has ended, or may have more lines with fields.
func (h *headScanner) allowsLine(first byte) bool {
	return h.fieldLines < MaxFieldLines || first == '\r' || first == '\n'
}

// parseLine parses a complete line and reports whether it ends the head. If truncated is true, the end of the line was
// skipped.
func (h *headScanner) parseLine(line []byte, truncated bool) (complete bool, err error) {
	line = withoutLineEnd(line)
	switch {
	case !h.inFields:
		return false, h.parseRequestLine(line)
	case len(line) == 0:
		return true, h.endHead()
	default:
		h.fieldLines++
		return false, h.parseFieldLine(line, truncated)
	}
}

func (h *headScanner) parseRequestLine(line []byte) error {
	method, rest, _ := bytes.Cut(line, []byte(" "))
	_, proto, _ := bytes.Cut(rest, []byte(" "))
	version, isHTTP1 := bytes.CutPrefix(proto, []byte("HTTP/1."))
	if !isHTTP1 || len(version) != 1 {
		return errRequestLine
	}
	h.current.lineHash = maphash.Bytes(requestLineSeed, line)
	h.http10 = version[0] == '0'
	h.isPost = string(method) == http.MethodPost
	h.inFields = true
	return nil
}

func (h *headScanner) parseFieldLine(line []byte, truncated bool) error {
	if line[0] == ' ' || line[0] == '\t' {
		return h.parseFoldedLine()
	}
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found && !truncated {
		return errFieldLine
	}
	value = bytes.Trim(value, " \t")
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		h.previousField = fieldFraming
		return h.parseContentLength(value, truncated)
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		h.previousField = fieldFraming
		return h.parseTransferEncoding(value, truncated)
	case bytes.EqualFold(name, []byte("X-Deadline")):
		h.current.wait, _ = ParseDeadline(string(value)) // what is malformed is rejected later
	}
	h.previousField = fieldOther
	return nil
}

// parseFoldedLine parses a line that continues the field line before it (obs-fold, RFC 9112, section 5.2).
func (h *headScanner) parseFoldedLine() error {
	switch h.previousField {
	case fieldNone:
		return errFieldLine
	case fieldFraming:
		return errFoldedFraming
	default:
		return nil
	}
}

func (h *headScanner) parseContentLength(value []byte, truncated bool) error {
	length, err := strconv.ParseUint(string(value), 10, 63)
	differs := h.hasLength && int64(length) != h.current.bodyLength
	if err != nil || truncated || differs {
		return errContentLength
	}
	h.hasLength, h.current.bodyLength = true, int64(length)
	return nil
}

func (h *headScanner) parseTransferEncoding(value []byte, truncated bool) error {
	if h.hasCoding || truncated || !bytes.EqualFold(value, []byte("chunked")) {
		return errCoding
	}
	h.hasCoding = true
	return nil
}

// endHead checks that the framing fields of a complete head are consistent, and sets the length of a chunked body.
func (h *headScanner) endHead() error {
	switch {
	case h.hasCoding && h.hasLength:
		return errLengthAndCoding
	case h.hasCoding && h.http10:
		return errCodingInHTTP10
	case h.hasCoding:
		h.current.bodyLength = chunkedLength
	}
	return nil
}
