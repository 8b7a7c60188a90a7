package http1

import (
	"errors"
	"strings"
	"testing"
	"time"
)

// The scanner reads the framing of the body from the lines of a head, and rejects ambiguous lines.
func TestHeadScannerReadsTheFraming(t *testing.T) {
	const post, post10 = "POST /a HTTP/1.1\r\n", "POST /a HTTP/1.0\r\n"
	for _, row := range []struct {
		name   string
		text   string
		length int64 // of the body
		err    error
	}{
		{"no body", "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", 0, nil},
		{"lines that end by LF", "POST /a HTTP/1.1\nContent-Length: 3\n\n", 3, nil},
		{"a length", post + "Content-Length: 3\r\n\r\n", 3, nil},
		{"the same length twice", post + "Content-Length: 3\r\nContent-Length: 3\r\n\r\n", 3, nil},
		{"two lengths", post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\n", 0, errContentLength},
		{"a negative length", post + "Content-Length: -1\r\n\r\n", 0, errContentLength},
		{"a length in HTTP/1.0", post10 + "Content-Length: 3\r\n\r\n", 3, nil},
		{"chunks", post + "Transfer-Encoding: chunked\r\n\r\n", chunkedLength, nil},
		{"chunks twice", post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", 0, errCoding},
		{"another coding", post + "Transfer-Encoding: gzip, chunked\r\n\r\n", 0, errCoding},
		{"chunks in HTTP/1.0", post10 + "Transfer-Encoding: chunked\r\n\r\n", 0, errCodingInHTTP10},
		{
			"a length before chunks",
			post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", 0, errLengthAndCoding,
		},
		{"a folded field", post + "X: a\r\n b\r\n\r\n", 0, nil},
		{"a folded length", post + "Content-Length: 3\r\n 4\r\n\r\n", 0, errFoldedFraming},
		{"a fold after the request line", post + " a\r\n\r\n", 0, errFieldLine},
		{"a field without a colon", post + "Host\r\n\r\n", 0, errFieldLine},
		{"no version", "POST /a\r\n\r\n", 0, errRequestLine},
	} {
		t.Run(row.name, func(t *testing.T) {
			var h headScanner
			h.start(time.Second)
			var complete bool
			var err error
			for line := range strings.Lines(row.text) {
				if complete, err = h.parseLine([]byte(line), false); err != nil {
					break
				}
			}
			if !errors.Is(err, row.err) || err == nil && !complete {
				t.Fatalf("got complete %v, error %v; want error %v", complete, err, row.err)
			}
			if err == nil && (h.current.bodyLength != row.length || h.current.FirstByte != time.Second) {
				t.Errorf("got %+v, want body length %d and first byte at 1s", h.current, row.length)
			}
		})
	}
}

// A line whose end is skipped may be any field except Content-Length and Transfer-Encoding.
func TestHeadScannerRejectsTruncatedFraming(t *testing.T) {
	for _, row := range []struct {
		name string
		line string
		err  error
	}{
		{"a field", "X: a", nil},
		{"a field's name", "X", nil},
		{"a length", "Content-Length: 3", errContentLength},
		{"a coding", "Transfer-Encoding: chunked", errCoding},
	} {
		t.Run(row.name, func(t *testing.T) {
			h := headScanner{inFields: true}
			if complete, err := h.parseLine([]byte(row.line), true); complete || !errors.Is(err, row.err) {
				t.Errorf("got complete %v, error %v; want false, %v", complete, err, row.err)
			}
		})
	}
}

// The start of a head discards all state of the previous head.
func TestHeadScannerStartResetsIt(t *testing.T) {
	var h headScanner
	h.start(1)
	for _, line := range []string{"POST /a HTTP/1.0\r\n", "Content-Length: 3\r\n", "\r\n"} {
		if _, err := h.parseLine([]byte(line), false); err != nil {
			t.Fatal(err)
		}
	}
	h.start(2)
	if want := (headScanner{current: RequestHead{FirstByte: 2}}); h != want {
		t.Errorf("got %+v, want %+v", h, want)
	}
}
