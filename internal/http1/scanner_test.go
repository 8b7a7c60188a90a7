package http1

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// scan returns a scanner that was fed a text in pieces of size bytes (0: all at once).
func scan(text string, size int) *RequestScanner {
	s := &RequestScanner{}
	if size == 0 {
		size = max(1, len(text))
	}
	for piece := range slices.Chunk([]byte(text), size) {
		s.Feed(piece, 0)
	}
	return s
}

// readRequestsByHTTP reads requests as the server of net/http does, until one is invalid. A request whose body is
// invalid is included.
func readRequestsByHTTP(text string) (requests []*http.Request) {
	br := bufio.NewReader(strings.NewReader(text))
	for {
		if len(requests) > 0 && requests[len(requests)-1].Method == http.MethodPost {
			blank, _ := br.Peek(maxBlankBytes)
			br.Discard(len(blank) - len(strings.TrimLeft(string(blank), "\r\n")))
		}
		r, err := http.ReadRequest(br)
		if err != nil {
			return requests
		}
		requests = append(requests, r)
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return requests
		}
	}
}

// checkScanner checks that the scanner's result does not depend on the size of the pieces, and that the scanner finds
// the same requests as net/http, up to the first request that one of them rejects.
func checkScanner(t *testing.T, text string) {
	t.Helper()
	want := scan(text, 0)
	for _, size := range []int{1, 2, 3, 7, 64} {
		got := scan(text, size)
		if !slices.Equal(got.heads, want.heads) || !errors.Is(got.err, want.err) || got.errInBody != want.errInBody ||
			got.position != want.position || got.head != want.head || got.body != want.body {
			t.Fatalf("in pieces of %d bytes: got %+v, want %+v as for all at once", size, got, want)
		}
	}
	for _, r := range readRequestsByHTTP(text) {
		if len(want.heads) == 0 {
			break
		}
		if _, err := want.TakeHead(r); err != nil {
			t.Fatalf("net/http reads %s %s of length %d, scanner: %v", r.Method, r.RequestURI, r.ContentLength, err)
		}
	}
}

// chunkedPost is the head of a POST with a chunked body.
const chunkedPost = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"

// scannerTexts are streams of requests, with the number of heads that the scanner accepts and its error.
var scannerTexts = []struct {
	name  string
	text  string
	heads int
	err   error
}{
	{"nothing", "", 0, nil},
	{"one request", "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", 1, nil},
	{"lines that end by LF", "GET /a HTTP/1.1\nHost: h\n\nGET /b HTTP/1.0\r\n\r\n", 2, nil},
	{"folded fields", "GET /a HTTP/1.1\r\nX: a\r\n b\r\n\t\r\nY:\r\n\r\nGET /b HTTP/1.1\r\n\r\n", 2, nil},
	{
		"bodies with a length, and a partial request",
		"POST /a HTTP/1.1\r\ncontent-LENGTH: \t3 \r\n\r\nabcPOST /b HTTP/1.1\r\nContent-Length: 0\r\n\r\nG", 2, nil,
	},
	{
		"the same length twice, and a blank line after the POST",
		"POST /a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\na\r\n\r\nGET /b HTTP/1.1\r\n\r\n", 2, nil,
	},
	{
		"too many line endings after a POST",
		"POST /a HTTP/1.1\r\nContent-Length: 1\r\n\r\na\r\n\r\n\r\nGET /b HTTP/1.1\r\n\r\n", 1, errRequestLine,
	},
	{"a blank line after a GET", "GET /a HTTP/1.1\r\n\r\n\r\nGET /b HTTP/1.1\r\n\r\n", 1, errRequestLine},
	{
		"chunks with an extension and trailers",
		"POST /a HTTP/1.1\r\nTransfer-Encoding: CHUNKED\r\n\r\n3;x\r\n\r\n0\r\n0\r\nA: b\r\n\r\n\r\n\r\n" +
			"GET /b HTTP/1.1\r\n\r\n", 2, nil,
	},
	{
		"no chunk, followed by a partial body",
		chunkedPost + "0\r\n\r\nPOST /b HTTP/1.1\r\nContent-Length: 2\r\n\r\na", 2, nil,
	},
	{"a space after a chunk's size", chunkedPost + "2 \r\nok\r\n0\r\n\r\n", 1, errChunkSize},
	{"a chunk longer than its size", chunkedPost + "2\r\nok0\r\n\r\n", 1, errChunkEnd},
	{"a trailer that ends by LF", chunkedPost + "0\r\nA: b\n\nGET /b HTTP/1.1\r\n\r\n", 1, errTrailer},
	{
		"a coding and a length",
		"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n0\r\n\r\n", 0, errLengthAndCoding,
	},
	{
		"a coding on HTTP/1.0",
		"POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 0, errCodingInHTTP10,
	},
	{"an unknown coding", "POST /a HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", 0, errCoding},
	{"a folded length", "POST /a HTTP/1.1\r\nContent-Length:\r\n 1\r\n\r\na", 0, errContentLength},
	{"a length with a fold after it", "POST /a HTTP/1.1\r\nContent-Length: 1\r\n \r\n\r\na", 0, errFoldedFraming},
	{"a fold after the request line", "POST /a HTTP/1.1\r\n Content-Length: 1\r\n\r\na", 0, errFieldLine},
	{
		"a length in a long line",
		"POST /a HTTP/1.1\r\nContent-Length: 1" + strings.Repeat(" ", maxBufferedField) + "\r\n\r\na",
		0, errContentLength,
	},
	{"a long field name", "GET /a HTTP/1.1\r\n" + strings.Repeat("N", maxBufferedField) + ": v\r\n\r\n", 1, nil},
	{"a long target", "GET /" + strings.Repeat("a", maxRequestLine) + " HTTP/1.1\r\n\r\n", 0, errRequestLine},
	{"another version", "GET /a HTTP/2.0\r\n\r\n", 0, errRequestLine},
	{"as many fields as are allowed", "GET /a HTTP/1.1\r\n" + repeatLine(MaxFieldLines) + "\r\n", 1, nil},
	{"a field too many", "GET /a HTTP/1.1\r\n" + repeatLine(MaxFieldLines+1) + "\r\n", 0, errTooManyFields},
	{
		"a folded line too many",
		"GET /a HTTP/1.1\r\n" + repeatLine(MaxFieldLines) + " folded\r\n\r\n", 0, errTooManyFields,
	},
	{"as many trailers as are allowed", chunkedPost + "0\r\n" + repeatLine(MaxFieldLines) + "\r\n", 1, nil},
	{"a trailer too many", chunkedPost + "0\r\n" + repeatLine(MaxFieldLines+1) + "\r\n", 1, errTooManyFields},
	{
		"as many fields and trailers as are allowed, in two requests",
		strings.Repeat("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"+repeatLine(MaxFieldLines-1)+
			"\r\n0\r\n"+repeatLine(MaxFieldLines)+"\r\n", 2), 2, nil,
	},
	{
		"too many pipelined requests",
		strings.Repeat("GET /a HTTP/1.1\r\n\r\n", maxPipelinedHeads+1), maxPipelinedHeads, errTooManyPipelined,
	},
}

// repeatLine returns a number of lines with short fields.
func repeatLine(lines int) string { return strings.Repeat("A:b\r\n", lines) }

func TestScannerFollowsRequestsInAnyFragments(t *testing.T) {
	for _, c := range scannerTexts {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := scan(c.text, 0)
			if len(s.heads) != c.heads || !errors.Is(s.err, c.err) {
				t.Errorf("got %d heads and error %v, want %d and %v", len(s.heads), s.err, c.heads, c.err)
			}
			checkScanner(t, c.text)
		})
	}
}

// A head is cut off after MaxFieldLines lines, also after an error in it, and a body at an error. net/http would hold
// ten times the bytes of short fields: 250 clients that sent thousands of them took a node over its memory limit.
func TestScannerAcceptsALimitedNumberOfFields(t *testing.T) {
	const requestLine = "GET /a HTTP/1.1\r\n"
	for _, c := range []struct{ name, accepted, rest string }{
		{"no error", requestLine + repeatLine(MaxFieldLines) + "\r\nGET /b HTTP/1.1\r\n", ""},
		{"a field too many", requestLine + repeatLine(MaxFieldLines), repeatLine(MaxFieldLines)},
		{
			"an error in the first field",
			requestLine + "Content-Length: x\r\n" + repeatLine(MaxFieldLines-1), repeatLine(MaxFieldLines),
		},
		{"an error in the request line", "GET\r\n" + repeatLine(MaxFieldLines), repeatLine(MaxFieldLines)},
		{"an error in the last field", requestLine + repeatLine(MaxFieldLines-1) + "C\r\n", "A:b\r\n\r\n"},
		{"an error in a body", chunkedPost + "x\r\n", "0\r\n\r\n"},
		{"a trailer too many", chunkedPost + "0\r\n" + repeatLine(MaxFieldLines), "A:b\r\n\r\n"},
	} {
		for _, size := range []int{1, 7, len(c.accepted) + len(c.rest)} {
			s, accepted := &RequestScanner{}, 0
			for piece := range slices.Chunk([]byte(c.accepted+c.rest), size) {
				n := s.Feed(piece, 0)
				if n > 0 && accepted >= len(c.accepted) {
					t.Errorf("%s: accepts bytes after others that are not accepted", c.name)
				}
				accepted += n
			}
			if accepted != len(c.accepted) || (s.CutOff() != nil) != (c.rest != "") {
				t.Errorf("%s, in pieces of %d: %d bytes are accepted, cut off: %v; want %d of %d bytes",
					c.name, size, accepted, s.CutOff(), len(c.accepted), len(c.accepted)+len(c.rest))
			}
		}
	}
}

func FuzzScannerAgreesWithHTTP(f *testing.F) {
	for _, c := range scannerTexts {
		f.Add(c.text)
	}
	f.Fuzz(checkScanner)
}

// The recorded time of each request is that of its own first byte, not of line endings before it or of the end of the
// previous request.
func TestScannerRecordsTheFirstByteOfEachRequest(t *testing.T) {
	s := &RequestScanner{}
	for i, part := range []string{
		"P", "OST /a HTTP/1.1\r\nContent-Le", "ngth: 1\r\n\r", "\n", "a", "\r\n",
		"GET /b HTTP/1.1\r\n\r\nG", "ET /c HTTP/1.1\r\n\r\n",
	} {
		s.Feed([]byte(part), time.Duration(i+1))
	}
	var got []time.Duration
	for _, h := range s.heads {
		got = append(got, h.FirstByte)
	}
	if want := []time.Duration{1, 7, 7}; !slices.Equal(got, want) || s.err != nil {
		t.Errorf("got first bytes at %v and error %v, want %v and none", got, s.err, want)
	}
	if s.line != nil || s.MidRequest() {
		t.Errorf("between requests, a buffer of %d bytes is held; want none, and no request in progress", cap(s.line))
	}
}

// The earliest deadline counts of the requests whose heads are complete and which net/http has not read. What is no
// deadline counts as none.
func TestScannerFindsTheEarliestPipelinedDeadline(t *testing.T) {
	const start = time.Minute // clock time of all bytes
	request := func(deadline string) string {
		return "POST /a HTTP/1.1\r\nContent-Length: 4\r\nx-dEADLINE:" + deadline + "\r\n\r\nbody"
	}
	for _, c := range []struct {
		name, text string
		want       time.Duration // from start; 0: none
	}{
		{"no request", "", 0},
		{"one request", request(" 1.5 "), 1500 * time.Millisecond},
		{"the last one", request("6") + request("7") + request("0.25"), 250 * time.Millisecond},
		{"the one in the middle", request("6") + request("1") + request("7"), time.Second},
		{"beside one without a deadline", "GET / HTTP/1.1\r\n\r\n" + request("2"), 2 * time.Second},
		{"beside invalid ones", request("-1") + request("0") + request("1e-3") + request("3"), 3 * time.Second},
		{"only invalid ones", request("-1") + request(""), 0},
		{"an incomplete head", request("6") + "GET / HTTP/1.1\r\nX-Deadline: 1\r\n", 6 * time.Second},
		{"an incomplete body", request("6") + strings.TrimSuffix(request("1"), "dy"), time.Second},
	} {
		scanner := &RequestScanner{}
		scanner.Feed([]byte(c.text), start)
		at, found := scanner.PipelinedDeadline()
		if found != (c.want > 0) || found && at != start+c.want {
			t.Errorf("%s: got %v, %v; want %v after the start", c.name, at, found, c.want)
		}
	}
	scanner := scan(request("1")+request("2"), 0)
	for _, want := range []time.Duration{time.Second, 2 * time.Second} {
		if at, found := scanner.PipelinedDeadline(); at != want || !found {
			t.Errorf("got %v, %v, want %v", at, found, want)
		}
		scanner.heads = scanner.heads[1:]
	}
}
