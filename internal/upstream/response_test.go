package upstream

import (
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"basaltdrum/balancer"
	"basaltdrum/internal/http1"
	"basaltdrum/internal/testutil"
)

// responseCase is a response of a server, or a missing one, and the expected outcome.
type responseCase struct {
	name, response string // the response without the prefix "HTTP/1.1 ", unless the table says otherwise
	end            connectionEnd
	want           balancer.AttemptResult
	body           string // of a successful response
	reusable       bool   // the connection stays in the pool
}

// connectionEnd is what happens to a connection after a response.
type connectionEnd int

const (
	staysOpen        connectionEnd = iota
	serverCloses                   // immediately
	serverResets                   // immediately
	nodeCloses                     // the server waits for the close
	deadlinePasses                 // the node closes at the attempt's deadline
	attemptCancelled               // the node closes on cancellation of the attempt
)

const (
	unframedResponse    = "HTTP/1.1 200 OK\r\n\r\nok"
	unframedOldResponse = "HTTP/1.0 200 OK\r\n\r\nok"
)

var (
	longestBody = strings.Repeat("x", http1.MaxBodyBytes)
	longestHead = "HTTP/1.1 200 OK\r\nX-Pad: " + strings.Repeat("p", maxResponseOverhead-28) + "\r\n\r\n"
)

// servedResponses are successful responses, each with the body "ok".
var servedResponses = []responseCase{
	{name: "served", response: "200 OK\r\nContent-Length: 2\r\n\r\nok", want: balancer.Success, reusable: true},
	{
		name:     "served in chunks",
		response: "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		want:     balancer.Success, reusable: true,
	},
	{
		name: "served with as many fields as are allowed",
		response: "200 OK\r\nContent-Length: 2\r\n" + strings.Repeat("A:b\r\n", http1.MaxFieldLines-1) +
			"\r\nok",
		want: balancer.Success, reusable: true,
	},
	{
		name:     "served and closed",
		response: "200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok",
		want:     balancer.Success, end: nodeCloses,
	},
	{
		name:     "served after 100",
		response: "100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		want:     balancer.Success, reusable: true,
	},
	{
		name:     "served, with bytes after it",
		response: "200 OK\r\nContent-Length: 2\r\n\r\nok\xff\x00noise\r\n\r\n",
		want:     balancer.Success, end: nodeCloses,
	},
	{
		name:     "served twice",
		response: "200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno",
		want:     balancer.Success, end: nodeCloses,
	},
	{
		name:     "served with a malformed X-Load",
		response: "200 OK\r\nX-Load: %%%\r\nX-Load: =,=\r\nContent-Length: 2\r\n\r\nok",
		want:     balancer.Success, reusable: true,
	},
	{
		name: "served after 103 and 102",
		response: "103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" +
			"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		want: balancer.Success, reusable: true,
	},
}

// errorResponses are rejections and server errors.
var errorResponses = []responseCase{
	{
		name:     "error",
		response: "500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
		want:     balancer.ServerError, reusable: true,
	},
	{
		name:     "rejected",
		response: "503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		want:     balancer.Rejected, reusable: true,
	},
	{
		name:     "rejected with 504",
		response: "504 Gateway Timeout\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		want:     balancer.Rejected, reusable: true,
	},
	{
		name:     "503 that may have run",
		response: "503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
		want:     balancer.ServerError, reusable: true,
	},
	{
		name:     "504 that may have run",
		response: "504 Gateway Timeout\r\nX-Not-Run: 0\r\nContent-Length: 0\r\n\r\n",
		want:     balancer.ServerError, reusable: true,
	},
	{
		name:     "500 with X-Not-Run",
		response: "500 Internal Server Error\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		want:     balancer.ServerError, reusable: true,
	},
	{
		name:     "rejected, truncated body",
		response: "503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 9\r\n\r\ncut",
		want:     balancer.ServerError, end: serverCloses,
	},
	{
		name:     "rejected without a length",
		response: "503 Service Unavailable\r\nX-Not-Run: 1\r\n\r\nno",
		want:     balancer.ServerError, end: nodeCloses,
	},
	{
		name:     "rejected with 3 GB",
		response: "503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 3000000000\r\n\r\nand so on",
		want:     balancer.ServerError, end: nodeCloses,
	},
	{
		name:     "rejected in malformed chunks",
		response: "503 Service Unavailable\r\nX-Not-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		want:     balancer.ServerError, end: nodeCloses,
	},
	{
		name:     "error declared too long",
		response: "500 Internal Server Error\r\nContent-Length: 3000000000\r\n\r\nand so on",
		want:     balancer.ServerError, end: nodeCloses,
	},
}

// lostResponses are not valid responses: they are truncated, too long or malformed.
var lostResponses = []responseCase{
	{name: "reset", end: serverResets, want: balancer.ConnectionLost},
	{name: "truncated head", response: "200 OK\r\nContent-Le", want: balancer.ConnectionLost, end: serverCloses},
	{
		name:     "truncated body",
		response: "200 OK\r\nContent-Length: 9\r\n\r\nok",
		want:     balancer.ConnectionLost, end: serverCloses,
	},
	{
		name:     "truncated chunks",
		response: "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		want:     balancer.ConnectionLost, end: serverCloses,
	},
	{
		name:     "too long",
		response: "200 OK\r\nContent-Length: 65537\r\n\r\n" + longestBody + "x",
		want:     balancer.ConnectionLost, end: nodeCloses,
	},
	{
		name:     "declared too long",
		response: "200 OK\r\nContent-Length: 3000000000\r\n\r\nand so on",
		want:     balancer.ConnectionLost, end: nodeCloses,
	},
	{
		name:     "head too long",
		response: "200 OK\r\n" + strings.Repeat("X-Pad: pppp\r\n", maxResponseOverhead/10),
		want:     balancer.ConnectionLost, end: nodeCloses,
	},
	{
		name:     "too many fields, and no end",
		response: "200 OK\r\n" + strings.Repeat("A:b\r\n", http1.MaxFieldLines+1),
		want:     balancer.ConnectionLost, end: nodeCloses,
	},
	{
		name:     "too many fields",
		response: "200 OK\r\nContent-Length: 2\r\n" + strings.Repeat("A:b\r\n", http1.MaxFieldLines) + "\r\nok",
		want:     balancer.ConnectionLost, end: nodeCloses,
	},
	{
		name:     "line too long",
		response: "200 OK\r\nX-Pad: " + strings.Repeat("p", 2*maxResponseOverhead),
		want:     balancer.ConnectionLost, end: nodeCloses,
	},
	{
		name:     "endless 1xx",
		response: strings.Repeat("102 Processing\r\n\r\nHTTP/1.1 ", maxResponseOverhead/20),
		want:     balancer.ConnectionLost, end: nodeCloses,
	},
	{
		name:     "two lengths",
		response: "200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
		want:     balancer.ConnectionLost, end: nodeCloses,
	},
	{
		name:     "a negative length",
		response: "200 OK\r\nContent-Length: -2\r\n\r\nok",
		want:     balancer.ConnectionLost, end: nodeCloses,
	},
	{
		name:     "no status line",
		response: "OK 200\r\nContent-Length: 2\r\n\r\nok",
		want:     balancer.ConnectionLost, end: nodeCloses,
	},
	{
		name:     "line without a colon",
		response: "200 OK\r\nno colon\r\nContent-Length: 2\r\n\r\nok",
		want:     balancer.ConnectionLost, end: nodeCloses,
	},
	{
		name:     "malformed chunks",
		response: "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\nzz\r\nok\r\n0\r\n\r\n",
		want:     balancer.ConnectionLost, end: nodeCloses,
	},
	{name: "not HTTP", response: "what?\r\n\r\n", want: balancer.ConnectionLost, end: nodeCloses},
}

// unframedSuccesses are complete responses without a length. Their text includes the HTTP version.
var unframedSuccesses = []responseCase{
	{name: "closed", response: unframedResponse, end: serverCloses, want: balancer.Success, body: "ok"},
	{
		name:     "closed as declared",
		response: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok",
		end:      serverCloses, want: balancer.Success, body: "ok",
	},
	{
		name:     "closed after 100",
		response: "HTTP/1.1 100 Continue\r\n\r\n" + unframedResponse,
		end:      serverCloses, want: balancer.Success, body: "ok",
	},
	{name: "closed, no body", response: "HTTP/1.1 200 OK\r\n\r\n", end: serverCloses, want: balancer.Success},
	{name: "closed, HTTP/1.0", response: unframedOldResponse, end: serverCloses, want: balancer.Success, body: "ok"},
	{
		name:     "closed, HTTP/1.0 that keeps alive",
		response: "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n\r\nok",
		end:      serverCloses, want: balancer.Success, body: "ok",
	},
	{
		name:     "closed, the longest head and body",
		response: longestHead + longestBody,
		end:      serverCloses, want: balancer.Success, body: longestBody,
	},
}

// unframedFailures are other responses without a length, or with a malformed one. Their text includes the HTTP version.
var unframedFailures = []responseCase{
	{
		name: "closed, too long", response: unframedResponse + longestBody,
		end: serverCloses, want: balancer.ConnectionLost,
	},
	{
		name:     "closed, chunks in HTTP/1.0",
		response: "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		end:      serverCloses, want: balancer.ConnectionLost,
	},
	{
		name:     "closed, transfer coding in HTTP/1.0",
		response: "HTTP/1.0 200 OK\r\ntransfer-encoding: gzip\r\n\r\nok",
		end:      serverCloses, want: balancer.ConnectionLost,
	},
	{
		name:     "closed, unknown transfer coding",
		response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok",
		end:      serverCloses, want: balancer.ConnectionLost,
	},
	{
		name:     "closed, empty Content-Length",
		response: "HTTP/1.1 200 OK\r\nContent-Length: \r\n\r\nok",
		end:      serverCloses, want: balancer.ConnectionLost,
	},
	{
		name:     "closed, Content-Length is not a number",
		response: "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\nok",
		end:      serverCloses, want: balancer.ConnectionLost,
	},
	{name: "closed in the head", response: "HTTP/1.1 200 OK\r\n", end: serverCloses, want: balancer.ConnectionLost},
	{name: "closed in the version", response: "HTTP/1", end: serverCloses, want: balancer.ConnectionLost},
	{
		name:     "closed, an error",
		response: "HTTP/1.1 500 Internal Server Error\r\n\r\n",
		end:      serverCloses, want: balancer.ServerError,
	},
	{
		name:     "closed, 503 with X-Not-Run",
		response: "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n\r\n",
		end:      serverCloses, want: balancer.ServerError,
	},
	{name: "reset", response: unframedResponse, end: serverResets, want: balancer.ConnectionLost},
	{name: "reset, HTTP/1.0", response: unframedOldResponse, end: serverResets, want: balancer.ConnectionLost},
	{name: "reset, no body", response: "HTTP/1.1 200 OK\r\n\r\n", end: serverResets, want: balancer.ConnectionLost},
	{
		name:     "endless",
		response: strings.Repeat(unframedResponse, http1.MaxBodyBytes/len("ok")),
		end:      nodeCloses, want: balancer.ConnectionLost,
	},
	{name: "open until the deadline", response: unframedResponse, end: deadlinePasses, want: balancer.TimedOut},
	{
		name: "open until the attempt is cancelled", response: unframedResponse,
		end: attemptCancelled, want: balancer.Cancelled,
	},
}

// Each response, or missing one, yields its attempt result, and leaves the connection in the pool or closes it.
func TestAttemptResults(t *testing.T) {
	for _, test := range slices.Concat(servedResponses, errorResponses, lostResponses) {
		t.Run(test.name, func(t *testing.T) {
			if test.response != "" {
				test.response = "HTTP/1.1 " + test.response
			}
			if test.want == balancer.Success {
				test.body = "ok"
			}
			testResponse(t, test)
		})
	}
}

// The end of the connection completes a response without a length only if the server closed the connection: a reset,
// the node's own close and a body that is too long do not complete it. Such a connection is never reused.
func TestResponsesWithoutALength(t *testing.T) {
	if len(longestHead) != maxResponseOverhead {
		t.Fatalf("the longest head has %d bytes, want %d", len(longestHead), maxResponseOverhead)
	}
	for _, test := range slices.Concat(unframedSuccesses, unframedFailures) {
		t.Run(test.name, func(t *testing.T) { testResponse(t, test) })
	}
}

// testResponse makes an attempt at a server that responds as the case says, and checks the outcome.
func testResponse(t *testing.T, test responseCase) {
	responded := make(chan struct{})
	server := testutil.NewServer(t, func(conn net.Conn, _ *http.Request, _ string) bool {
		io.WriteString(conn, test.response)
		close(responded)
		switch test.end {
		case staysOpen, serverCloses:
		case serverResets:
			conn.(*net.TCPConn).SetLinger(0)
		default:
			io.Copy(io.Discard, conn)
		}
		return test.end == staysOpen
	})
	pool := newTestPool(10)
	a := newTestAttempt(t, pool, server.Address())
	switch test.end {
	case deadlinePasses:
		a.Deadline = pool.clock.Now() + 200*time.Millisecond
	case attemptCancelled:
		go func() { <-responded; a.cancel() }()
	default:
	}
	outcome := a.do(t)
	if outcome.Result != test.want || string(outcome.Body) != test.body {
		t.Errorf("result %v with a body of %d bytes, want %v with %d bytes",
			outcome.Result, len(outcome.Body), test.want, len(test.body))
	}
	stats, wantIdle := pool.Stats(), 0
	if test.reusable {
		wantIdle = 1
	}
	if stats.Open != wantIdle || stats.Idle != wantIdle || stats.IdleInstances != wantIdle {
		t.Errorf("the pool has %+v, want %d idle connections and no others", stats, wantIdle)
	}
}
