package node

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"basaltdrum/internal/http1"
	"basaltdrum/internal/testutil"
)

// chunkedHead returns the head of a POST request with a chunked body.
func chunkedHead(id string) string {
	return "POST /note/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id +
		"\r\nX-Deadline: 60\r\nTransfer-Encoding: chunked\r\n\r\n"
}

// framingServer starts a server that responds with the framing of the request and a hash of its body.
func framingServer(t *testing.T) *testutil.Server {
	return testutil.NewServer(t, func(conn net.Conn, r *http.Request, body string) bool {
		return testutil.RespondOK(conn, describeFraming(r.Method, r.ContentLength, body, r.TransferEncoding, r.Trailer))
	})
}

// describeFraming returns the body of a response of framingServer.
func describeFraming(method string, length int64, body string, coding []string, trailer http.Header) string {
	return fmt.Sprintf("%s %d %x %v %v", method, length, sha256.Sum256([]byte(body)), coding, trailer)
}

// A chunked body is forwarded with a Content-Length, without chunk extensions and trailers. What the client sends after
// it is read as the next request.
func TestChunkedBodiesAreForwardedWithContentLength(t *testing.T) {
	t.Parallel()
	server := framingServer(t)
	n, _ := startNode(t, configWithServers(server), nil)
	full := strings.Repeat("b", http1.MaxBodyBytes)
	for _, c := range []struct{ name, chunks, body string }{
		{"one chunk", "2\r\nok\r\n0\r\n\r\n", "ok"},
		{
			"several chunks",
			"1\r\no\r\n0001\r\nk\r\nA\r\n0123456789\r\na\r\n0123456789\r\n000\r\n\r\n", "ok01234567890123456789",
		},
		{"none", "0\r\n\r\n", ""},
		{"extensions", "2;a=b;c=\"d\"\r\nok\r\n0;" + strings.Repeat("x", 4000) + "\r\n\r\n", "ok"},
		{"trailers", "2\r\nok\r\n0\r\nA: b\r\nContent-Length: 7\r\nX-Request-Id: other\r\n\r\n", "ok"},
		{
			"line ends and a head inside",
			"31\r\n\r\n0\r\n\r\nGET /view/k HTTP/1.1\r\nX-Request-Id: no\r\n\r\n\r\n0\r\n\r\n",
			"\r\n0\r\n\r\nGET /view/k HTTP/1.1\r\nX-Request-Id: no\r\n\r\n",
		},
		{"the longest body", "10000\r\n" + full + "\r\n0\r\n\r\n", full},
		{
			"the longest body in small chunks",
			strings.Repeat("10\r\n0123456789abcdef\r\n", http1.MaxBodyBytes/16) + "0\r\n\r\n",
			strings.Repeat("0123456789abcdef", http1.MaxBodyBytes/16),
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			want := describeFraming("POST", int64(len(c.body)), c.body, nil, nil)
			one := dial(t, n)
			go io.WriteString(one, chunkedHead("complete-"+c.name)+c.chunks+testutil.RequestText("behind-"+c.name))
			one.Expect(t, 200, want)
			one.Expect(t, 200, describeFraming("GET", 0, "", nil, nil))
			expect := dial(t, n)
			head := strings.TrimSuffix(chunkedHead("expect-"+c.name), "\r\n")
			io.WriteString(expect, head+"Expect: 100-continue\r\n\r\n")
			if response, _ := expect.Response(t); response.StatusCode != http.StatusContinue {
				t.Fatalf("got %d, want 100", response.StatusCode)
			}
			go io.WriteString(expect, c.chunks)
			expect.Expect(t, 200, want)
		})
	}
	client := dial(t, n)
	io.WriteString(client, "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: get\r\nX-Deadline: 60\r\n"+
		"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
	client.Expect(t, 200, describeFraming("GET", 0, "", nil, nil))
}

// Parts of requests whose framing is invalid.
var (
	badHead       = "POST /note/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: bad\r\nX-Deadline: 60\r\n"
	badHTTP10Head = strings.Replace(badHead, "HTTP/1.1", "HTTP/1.0", 1) + "Connection: keep-alive\r\n"
	badChunks     = badHead + "Transfer-Encoding: chunked\r\n\r\n"
	hiddenRequest = testutil.RequestText("hidden")
)

// malformedRequest is a request whose framing is invalid, and the status of its response.
type malformedRequest struct {
	name, text string
	status     int
}

var malformedRequests = []malformedRequest{
	{"a length before the coding", badHead + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
	{"a length after the coding", badHead + "transfer-encoding: Chunked\r\ncontent-length: 5\r\n\r\n0\r\n\r\n", 400},
	{
		"a length of 0 and the coding",
		badHead + "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400,
	},
	{
		"two lengths and the coding",
		badHead + "Content-Length: 5\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400,
	},
	{"a coding on HTTP/1.0", badHTTP10Head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
	{
		"a length and a coding on HTTP/1.0",
		badHTTP10Head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400,
	},
	{"two lengths", badHead + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc", 400},
	{"a folded length", badHead + "Content-Length:\r\n 2\r\n\r\nok", 400},
	{"a length with a folded digit", badHead + "Content-Length: 2\r\n 0\r\n\r\nok", 400},
	{"a length with an empty folded line", badHead + "Content-Length: 2\r\n\t\r\n\r\nok", 400},
	{"a folded coding", badHead + "Transfer-Encoding:\r\n chunked\r\n\r\n0\r\n\r\n", 400},
	{"a coding with an empty folded line", badHead + "Transfer-Encoding: chunked\r\n \r\n\r\n0\r\n\r\n", 501},
	{"a coding with a folded second coding", badHead + "Transfer-Encoding: chunked\r\n ,gzip\r\n\r\n0\r\n\r\n", 501},
	{"another coding", badHead + "Transfer-Encoding: gzip\r\n\r\n0\r\n\r\n", 501},
	{"no coding", badHead + "Transfer-Encoding:\r\n\r\n0\r\n\r\n", 501},
	{"identity", badHead + "Transfer-Encoding: identity\r\n\r\n0\r\n\r\n", 501},
	{"a second coding", badHead + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 501},
	{"a doubled coding", badHead + "Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n", 501},
	{
		"a doubled coding in two lines",
		badHead + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 501,
	},
	{"a blank before the colon", badHead + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n", 400},
	{"a size with a sign", badChunks + "+2\r\nok\r\n0\r\n\r\n", 400},
	{"a negative size", badChunks + "-2\r\nok\r\n0\r\n\r\n", 400},
	{"a size with 0x", badChunks + "0x2\r\nok\r\n0\r\n\r\n", 400},
	{"a size that is no number", badChunks + "g\r\nok\r\n0\r\n\r\n", 400},
	{"a blank before a size", badChunks + " 2\r\nok\r\n0\r\n\r\n", 400},
	{"a blank after a size", badChunks + "2 \r\nok\r\n0\r\n\r\n", 400},
	{"a tab after the last size", badChunks + "2\r\nok\r\n0\t\r\n\r\n", 400},
	{"a blank before an extension", badChunks + "2 ;a\r\nok\r\n0\r\n\r\n", 400},
	{"an empty size", badChunks + "\r\nok\r\n0\r\n\r\n", 400},
	{"an extension without a size", badChunks + ";a\r\nok\r\n0\r\n\r\n", 400},
	{"a size that overflows", badChunks + "10000000000000002\r\nok\r\n0\r\n\r\n", 400},
	{"a size with too many digits", badChunks + "00000000000000002\r\nok\r\n0\r\n\r\n", 400},
	{"a size that ends with LF", badChunks + "2\nok\r\n0\r\n\r\n", 400},
	{"CR in an extension", badChunks + "2;a\rb\r\nok\r\n0\r\n\r\n", 400},
	{"an extension too long", badChunks + "2;" + strings.Repeat("x", 4096) + "\r\nok\r\n0\r\n\r\n", 400},
	{
		"extensions too long together",
		badChunks + strings.Repeat("1;"+strings.Repeat("x", 1000)+"\r\no\r\n", 20) + "0\r\n\r\n", 400,
	},
	{"a chunk too long for its size", badChunks + "2\r\nokay\r\n0\r\n\r\n", 400},
	{"a chunk that ends with LF", badChunks + "2\r\nok\n0\r\n\r\n", 400},
	{"a chunk that ends with CR", badChunks + "2\r\nok\rX0\r\n\r\n", 400},
	{"a trailer that ends with LF", badChunks + "2\r\nok\r\n0\r\nA: b\n\n" + hiddenRequest, 400},
	{"trailers that end with LF", badChunks + "2\r\nok\r\n0\r\nA: b\r\n\n" + hiddenRequest, 400},
	{"a trailer without a colon", badChunks + "2\r\nok\r\n0\r\nA\r\n\r\n", 400},
	{"trailers too long", badChunks + "2\r\nok\r\n0\r\n" + strings.Repeat("A: b\r\n", 1000) + "\r\n", 400},
	{"too many trailers", badChunks + "2\r\nok\r\n0\r\n" + repeatLine(http1.MaxFieldLines+1) + "\r\n", 400},
	{"too many fields", badHead + repeatLine(http1.MaxFieldLines) + "\r\n", 400},
	{"too many fields without an end", badHead + repeatLine(2*http1.MaxFieldLines), 400},
	{"too many folded lines", badHead + "A: b\r\n" + strings.Repeat(" c\r\n", http1.MaxFieldLines) + "\r\n", 400},
	{"too many fields after an invalid one", badHead + "Content-Length: x\r\n" + repeatLine(http1.MaxFieldLines), 400},
	{"one byte too many", badChunks + "10001\r\n" + strings.Repeat("b", http1.MaxBodyBytes+1), 413},
	{"too many chunks", badChunks + strings.Repeat("100\r\n"+strings.Repeat("b", 256)+"\r\n", 260), 413},
	{"GET with a body in chunks", "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: bad\r\nX-Deadline: 60\r\n" +
		"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 400},
}

// repeatLine returns a number of lines with short fields.
func repeatLine(lines int) string { return strings.Repeat("A: b\r\n", lines) }

// An error in the framing of a request is answered with an error status and closes the connection. Nothing of the
// request, in its body or after it is forwarded.
func TestFramingErrorsCloseTheConnection(t *testing.T) {
	t.Parallel()
	server := framingServer(t)
	n, _ := startNode(t, configWithServers(server), nil)
	for _, c := range malformedRequests {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			alone := dial(t, n)
			go io.WriteString(alone, c.text+hiddenRequest)
			alone.Expect(t, c.status, "")
			testutil.ExpectClosed(t, alone.Reader, "a connection whose framing is invalid")
			pipelined := dial(t, n)
			go io.WriteString(pipelined, testutil.RequestText("good-"+c.name)+c.text+hiddenRequest)
			pipelined.Expect(t, 200, describeFraming("GET", 0, "", nil, nil))
			pipelined.Expect(t, c.status, "")
			testutil.ExpectClosed(t, pipelined.Reader, "a connection whose framing is invalid")
		})
	}
	t.Run("endless chunks", func(t *testing.T) {
		t.Parallel()
		endless := dial(t, n)
		io.WriteString(endless, badChunks)
		go func() {
			for _, err := io.WriteString(endless, "1\r\nb\r\n"); err == nil; {
				_, err = io.WriteString(endless, strings.Repeat("1\r\nb\r\n", 1000))
			}
		}()
		endless.Expect(t, 413, "")
		testutil.ExpectClosed(t, endless.Reader, "a connection with an endless body")
	})
	t.Cleanup(func() {
		for _, id := range server.RequestIDs() {
			if !strings.HasPrefix(id, "good-") {
				t.Errorf("request %s was forwarded, want only valid requests forwarded", id)
			}
		}
	})
}
