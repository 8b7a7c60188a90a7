package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"basaltdrum/internal/http1"
	"basaltdrum/internal/testutil"
)

// The work hint is optional: an invalid one neither fails the request nor reaches the module.
func TestInvalidWorkHintsAreIgnored(t *testing.T) {
	t.Parallel()
	for text, want := range map[string]time.Duration{
		"": 0, "328477": 328477 * time.Microsecond, "0.5": 500, "-3": 0, "0": 0, "NaN": 0, "Inf": 0, "1e300": 0,
		"many": 0, "12 ms": 0,
	} {
		if got := parseWorkHint(text); got != want {
			t.Errorf("hint %q: got %v, want %v", text, got, want)
		}
	}
}

// Method, target, request ID, idempotency key and body reach the server unchanged, and its response body reaches the
// client unchanged.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	t.Parallel()
	type seen struct {
		r    *http.Request
		body string
	}
	received := make(chan seen, 10)
	responseBody := strings.Repeat("\x00\xff binary \r\n", 5000)
	server := testutil.NewServer(t, func(conn net.Conn, r *http.Request, body string) bool {
		received <- seen{r, body}
		return testutil.RespondOK(conn, responseBody)
	})
	n, _ := startNode(t, configWithServers(server), func(n *Node) { n.upstream.ReuseDelay = 0 })
	client := dial(t, n)
	long := strings.Repeat("b\r\n\x00", http1.MaxBodyBytes/4)
	for i, target := range []string{"/keyed/a%2fB?q=%20%41&&x", `/keyed/"odd"|{};,`, "/keyed/", "/keyed//x/../y?"} {
		id := fmt.Sprint("id-", i)
		fmt.Fprintf(client, "POST %s HTTP/1.1\r\nHost: h\r\nx-request-id: %s\r\nIdempotency-Key: K+/=%d\r\n"+
			"X-Deadline: 20.5\r\nContent-Length: %d\r\n\r\n%s", target, id, i, len(long), long)
		client.Expect(t, 200, responseBody)
		got := testutil.Wait(t, received, "the request")
		if got.r.Method != "POST" || got.r.RequestURI != target || got.body != long ||
			got.r.Header.Get("X-Request-Id") != id || got.r.Header.Get("Idempotency-Key") != fmt.Sprint("K+/=", i) {
			t.Errorf("got %s %s %v at the server, want it as sent", got.r.Method, got.r.RequestURI, got.r.Header)
		}
		var left float64
		if fmt.Sscan(got.r.Header.Get("X-Deadline"), &left); !(left > 0 && left <= 20.5) {
			t.Errorf("got X-Deadline %q, want more than 0 and at most 20.5", got.r.Header.Get("X-Deadline"))
		}
	}
	client.SendGet("get")
	client.Expect(t, 200, responseBody)
	got := testutil.Wait(t, received, "the request")
	if got.r.Method != "GET" || got.body != "" || got.r.Header["Idempotency-Key"] != nil || got.r.ContentLength != 0 {
		t.Errorf("got %s %v at the server, want a GET without key and body", got.r.Method, got.r.Header)
	}
	if server.ConnCount() != 1 {
		t.Errorf("got %d connections for sequential requests, want 1", server.ConnCount())
	}
}

// validFields are the header fields that every request needs.
const validFields = "Host: h\r\nX-Request-Id: new\r\nX-Deadline: 60\r\n"

// invalidRequests are requests that the node rejects. status is that of the response; 0: an error status or no
// response, and a close.
var invalidRequests = []struct {
	name, text string
	status     int
}{
	{"no id", "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Deadline: 60\r\n\r\n", 400},
	{"two ids", "GET /view/k HTTP/1.1\r\nX-Request-Id: b\r\n" + validFields + "\r\n", 400},
	{"an id in use", "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: used\r\nX-Deadline: 60\r\n\r\n", 409},
	{"no deadline", "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: new\r\n\r\n", 400},
	{
		"a deadline that is not a number",
		"GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: new\r\nX-Deadline: NaN\r\n\r\n", 400,
	},
	{
		"a deadline in the past",
		"GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: new\r\nX-Deadline: -1\r\n\r\n", 400,
	},
	{
		"an infinite deadline",
		"GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: new\r\nX-Deadline: 1e300\r\n\r\n", 400,
	},
	{
		"a deadline in hexadecimal",
		"GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: new\r\nX-Deadline: 0x1p4\r\n\r\n", 400,
	},
	{
		"a deadline with an underscore",
		"GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: new\r\nX-Deadline: 1_0\r\n\r\n", 400,
	},
	{
		"a deadline far beyond the class's",
		"GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: new\r\nX-Deadline: 121\r\n\r\n", 400,
	},
	{"two deadlines", "GET /view/k HTTP/1.1\r\nX-Deadline: 5\r\n" + validFields + "\r\n", 400},
	{"no class", "GET / HTTP/1.1\r\n" + validFields + "\r\n", 404},
	{"a class that does not exist", "POST /notes/k HTTP/1.1\r\n" + validFields + "Content-Length: 2\r\n\r\nok", 404},
	{"a target that is not a path", "GET http://h/view/k HTTP/1.1\r\n" + validFields + "\r\n", 404},
	{"POST for an idempotent class", "POST /view/k HTTP/1.1\r\n" + validFields + "Content-Length: 0\r\n\r\n", 405},
	{"GET for a non-idempotent class", "GET /note/k HTTP/1.1\r\n" + validFields + "\r\n", 405},
	{
		"a key for a non-idempotent class",
		"POST /note/k HTTP/1.1\r\nIdempotency-Key: k\r\n" + validFields + "Content-Length: 0\r\n\r\n", 400,
	},
	{"no key", "POST /keyed/k HTTP/1.1\r\n" + validFields + "Content-Length: 0\r\n\r\n", 400},
	{
		"two keys",
		"POST /keyed/k HTTP/1.1\r\nIdempotency-Key: k\r\nIdempotency-Key: k\r\n" + validFields +
			"Content-Length: 0\r\n\r\n", 400,
	},
	{"GET with a body", "GET /view/k HTTP/1.1\r\n" + validFields + "Content-Length: 2\r\n\r\nok", 400},
	{"OPTIONS *", "OPTIONS * HTTP/1.1\r\n" + validFields + "\r\n", 405},
	{"POST for readiness", "POST /health/ready HTTP/1.1\r\n" + validFields + "Content-Length: 0\r\n\r\n", 405},
	{"a negative length", "POST /note/k HTTP/1.1\r\n" + validFields + "Content-Length: -1\r\n\r\n", 400},
	{"an incomplete body", "POST /note/k HTTP/1.1\r\n" + validFields + "Content-Length: 10\r\n\r\nhalf", 400},
	{"another method", "DELETE /view/k HTTP/1.1\r\n" + validFields + "\r\n", 405},
	{"a long body", "POST /note/k HTTP/1.1\r\n" + validFields + "Content-Length: 65537\r\n\r\n", 413},
	{
		"an incomplete chunked body",
		"POST /note/k HTTP/1.1\r\n" + validFields + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", 400,
	},
	{"a request hidden in another", "POST /note/k HTTP/1.1\r\n" + validFields + "Content-Length: 5\r\n" +
		"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /view/k HTTP/1.1\r\nHost: h\r\n" +
		"X-Request-Id: hidden\r\nX-Deadline: 60\r\n\r\n", 400},
	{"not HTTP", "hello\r\n\r\n", 400},
	{"a long header", "GET /view/k HTTP/1.1\r\nX: " + strings.Repeat("x", 64<<10) + "\r\n" + validFields + "\r\n", 431},
	{"incomplete headers", "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Req", 0},
}

// Invalid requests get an error status, their connection is closed, and they do not reach a server. Each row holds a
// request of its own in flight: a shared one would time out while parallel rows wait for the slots of other tests.
func TestInvalidRequestsAreRejected(t *testing.T) {
	t.Parallel()
	for _, c := range invalidRequests {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			checkDuringRequest(t, func(client *testutil.Client) {
				checkRejection(t, client, c.text, c.status)
			})
		})
	}
	t.Run("incomplete body and a half-close", func(t *testing.T) {
		t.Parallel()
		checkDuringRequest(t, func(client *testutil.Client) {
			io.WriteString(client, "POST /note/k HTTP/1.1\r\n"+validFields+"Content-Length: 10\r\n\r\nhalf")
			client.Conn.(*net.TCPConn).CloseWrite()
			io.Copy(io.Discard, client.Reader) // a response or none, and then a close
		})
	})
}

// checkDuringRequest runs a check on a new connection to a node while the request with the id "used" is in flight. It
// then checks that no other request has reached the server, and that this request gets its response.
func checkDuringRequest(t *testing.T, check func(*testutil.Client)) {
	t.Helper()
	server, arrived, release := testutil.NewHoldingServer(t, "")
	n, _ := startNode(t, configWithServers(server), func(n *Node) {
		n.frontend.server.ReadTimeout = time.Second
	})
	first := dial(t, n)
	first.SendGet("used")
	testutil.Wait(t, arrived, "the attempt")
	check(dial(t, n))
	if server.RequestCount() != 1 {
		t.Errorf("got %d requests at the server, want only the valid one", server.RequestCount())
	}
	release()
	first.Expect(t, http.StatusOK, "for used")
}

// checkRejection sends an invalid request, and checks the status of the response and that the connection is closed.
func checkRejection(t *testing.T, client *testutil.Client, text string, status int) {
	t.Helper()
	go io.WriteString(client, text)
	if status == 0 {
		response, err := io.ReadAll(client)
		if err != nil || len(response) > 0 && !strings.HasPrefix(string(response), "HTTP/1.1 4") {
			t.Errorf("got response %q, error %v; want status 4xx or no response, and a close", response, err)
		}
		return
	}
	client.Expect(t, status, "")
	testutil.ExpectClosed(t, client.Reader, "the connection of an invalid request")
}

// A request that the module cannot forward is rejected at once with Retry-After, even if its deadline is far away.
func TestRejectionIsImmediateWithRetryAfter(t *testing.T) {
	t.Parallel()
	cfg := testConfig(testutil.CompleteList(testutil.ListEntry("s1", testutil.ClosedPort(t), "in_service")))
	n, _ := startNode(t, cfg, nil)
	client := dial(t, n)
	start := time.Now()
	client.Send("POST", "/note/k", "x", "x", "60")
	response, _ := client.Response(t)
	if response.StatusCode != 503 || response.Header.Get("Retry-After") == "" || time.Since(start) > testutil.Timeout {
		t.Errorf("got %d, Retry-After %q after %v; want 503 with Retry-After at once",
			response.StatusCode, response.Header.Get("Retry-After"), time.Since(start))
	}
}

// A client may give its last attempt all the time that it has left, so that its deadline is longer than usual. The node
// must not conclude from this that the first attempts of other clients, which have shorter deadlines, are retries past
// their latency objective, which are rejected at once.
func TestLongLastAttemptDoesNotMakeFirstAttemptsCountAsRetries(t *testing.T) {
	t.Parallel()
	server, received, release := testutil.NewHoldingServer(t, "held")
	n, _ := startNode(t, configWithServers(server), nil)
	client := dial(t, n)
	sendView := func(id, deadline string) {
		t.Helper()
		client.Send("GET", "/view/k", id, "", deadline)
		client.Expect(t, 200, "for "+id)
	}
	for i := range 5 {
		sendView(fmt.Sprint("first-", i), "25")
	}
	sendView("last", "59.9")
	var busy []*testutil.Client // while these are in flight, there is capacity for a first attempt but not for a retry
	holdMore := func(count int) {
		for range count {
			i := len(busy)
			busy = append(busy, dial(t, n))
			busy[i].Send("POST", "/note/k", fmt.Sprint("held-", i), "x", "60")
			testutil.Wait(t, received, "an attempt")
		}
	}
	holdMore(4) // of the five requests that a new node admits to one server
	for i := range 5 {
		sendView(fmt.Sprint("another-", i), "25")
	}
	holdMore(4) // successful responses have raised the limit
	sendView("another-5", "25")
	client.Send("GET", "/view/k", "repeat", "", "20") // of the class's deadline of 60 s, 40 s have passed
	if response, _ := client.Response(t); response.StatusCode != 503 || response.Header.Get("Retry-After") == "" {
		t.Errorf("retry past its latency objective: got %d, Retry-After %q; want 503 with Retry-After",
			response.StatusCode, response.Header.Get("Retry-After"))
	}
	release()
	for i, b := range busy {
		b.Expect(t, 200, fmt.Sprint("for held-", i))
	}
}
