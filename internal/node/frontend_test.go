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

// A hint is advisory: an invalid one must neither fail its request nor reach the module.
func TestInvalidWorkHintsAreIgnored(t *testing.T) {
	t.Parallel()
	for text, want := range map[string]time.Duration{
		"": 0, "328477": 328477 * time.Microsecond, "0.5": 500, "-3": 0, "0": 0, "NaN": 0, "Inf": 0, "1e300": 0,
		"many": 0, "12 ms": 0,
	} {
		if got := parseWorkHint(text); got != want {
			t.Errorf("%q: got %v, want %v", text, got, want)
		}
	}
}

// Method, target, id, key and body reach the server as they were sent, and its response reaches the client so.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	t.Parallel()
	type seen struct {
		r    *http.Request
		body string
	}
	got := make(chan seen, 10)
	answerBody := strings.Repeat("\x00\xff binary \r\n", 5000)
	s := testutil.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		got <- seen{r, body}
		return testutil.RespondOK(c, answerBody)
	})
	n, _ := startNode(t, configWithServers(s), func(n *Node) { n.upstream.ReuseDelay = 0 })
	c := dial(t, n)
	long := strings.Repeat("b\r\n\x00", http1.MaxBodyBytes/4)
	for i, target := range []string{"/keyed/a%2fB?q=%20%41&&x", `/keyed/"odd"|{};,`, "/keyed/", "/keyed//x/../y?"} {
		id := fmt.Sprint("id-", i)
		fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nx-request-id: %s\r\nIdempotency-Key: K+/=%d\r\n"+
			"X-Deadline: 20.5\r\nContent-Length: %d\r\n\r\n%s", target, id, i, len(long), long)
		c.Expect(t, 200, answerBody)
		g := testutil.Wait(t, got, "the request")
		if g.r.Method != "POST" || g.r.RequestURI != target || g.body != long ||
			g.r.Header.Get("X-Request-Id") != id || g.r.Header.Get("Idempotency-Key") != fmt.Sprint("K+/=", i) {
			t.Errorf("got %s %s %v", g.r.Method, g.r.RequestURI, g.r.Header)
		}
		var left float64
		if fmt.Sscan(g.r.Header.Get("X-Deadline"), &left); !(left > 0 && left <= 20.5) {
			t.Errorf("X-Deadline %q", g.r.Header.Get("X-Deadline"))
		}
	}
	c.SendGet("get")
	c.Expect(t, 200, answerBody)
	g := testutil.Wait(t, got, "the request")
	if g.r.Method != "GET" || g.body != "" || g.r.Header["Idempotency-Key"] != nil || g.r.ContentLength != 0 {
		t.Errorf("got %s %v", g.r.Method, g.r.Header)
	}
	if s.ConnCount() != 1 {
		t.Errorf("%d connections for requests one after another, want 1", s.ConnCount())
	}
}

// validFields are the fields that every request needs.
const validFields = "Host: h\r\nX-Request-Id: new\r\nX-Deadline: 60\r\n"

// invalidRequests have the status of the response; 0: any error, or none, and a close.
var invalidRequests = []struct {
	name, text string
	status     int
}{
	{"no id", "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Deadline: 60\r\n\r\n", 400},
	{"two ids", "GET /view/k HTTP/1.1\r\nX-Request-Id: b\r\n" + validFields + "\r\n", 400},
	{"an id in use", "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: used\r\nX-Deadline: 60\r\n\r\n", 409},
	{"no deadline", "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: new\r\n\r\n", 400},
	{
		"a deadline that is no number",
		"GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: new\r\nX-Deadline: NaN\r\n\r\n", 400,
	},
	{
		"a deadline in the past",
		"GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: new\r\nX-Deadline: -1\r\n\r\n", 400,
	},
	{
		"a deadline without end",
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
	{"a target that is no path", "GET http://h/view/k HTTP/1.1\r\n" + validFields + "\r\n", 404},
	{"POST for a safe class", "POST /view/k HTTP/1.1\r\n" + validFields + "Content-Length: 0\r\n\r\n", 405},
	{"GET for an unsafe class", "GET /note/k HTTP/1.1\r\n" + validFields + "\r\n", 405},
	{
		"a key for an unsafe class",
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
	{"POST for the health", "POST /health/ready HTTP/1.1\r\n" + validFields + "Content-Length: 0\r\n\r\n", 405},
	{"a negative length", "POST /note/k HTTP/1.1\r\n" + validFields + "Content-Length: -1\r\n\r\n", 400},
	{"half a body", "POST /note/k HTTP/1.1\r\n" + validFields + "Content-Length: 10\r\n\r\nhalf", 400},
	{"another method", "DELETE /view/k HTTP/1.1\r\n" + validFields + "\r\n", 405},
	{"a long body", "POST /note/k HTTP/1.1\r\n" + validFields + "Content-Length: 65537\r\n\r\n", 413},
	{
		"a cut body in chunks",
		"POST /note/k HTTP/1.1\r\n" + validFields + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", 400,
	},
	{"a request hidden in another", "POST /note/k HTTP/1.1\r\n" + validFields + "Content-Length: 5\r\n" +
		"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /view/k HTTP/1.1\r\nHost: h\r\n" +
		"X-Request-Id: hidden\r\nX-Deadline: 60\r\n\r\n", 400},
	{"no HTTP", "hello\r\n\r\n", 400},
	{"a long header", "GET /view/k HTTP/1.1\r\nX: " + strings.Repeat("x", 64<<10) + "\r\n" + validFields + "\r\n", 431},
	{"half-sent headers", "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Req", 0},
}

// An invalid request is rejected, also beside one in flight, and is not forwarded. Each row holds a request of its own
// in flight: that request's time would pass while parallel rows wait for the slots of other tests.
func TestInvalidRequestsAreRejected(t *testing.T) {
	t.Parallel()
	for _, c := range invalidRequests {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			besideRequestInFlight(t, func(client *testutil.Client) {
				checkRejection(t, client, c.text, c.status)
			})
		})
	}
	t.Run("half a body and a half-close", func(t *testing.T) {
		t.Parallel()
		besideRequestInFlight(t, func(cut *testutil.Client) {
			io.WriteString(cut, "POST /note/k HTTP/1.1\r\n"+validFields+"Content-Length: 10\r\n\r\nhalf")
			cut.Conn.(*net.TCPConn).CloseWrite()
			io.Copy(io.Discard, cut.Reader) // a response or none, but the end
		})
	})
}

// besideRequestInFlight runs a check on a new connection to a node while the request with the id "used" is in flight,
// and checks that no other request reached the server and that this one is served afterwards.
func besideRequestInFlight(t *testing.T, check func(*testutil.Client)) {
	t.Helper()
	s, arrived, release := testutil.NewHoldingServer(t, "")
	n, _ := startNode(t, configWithServers(s), func(n *Node) {
		n.frontend.server.ReadTimeout = time.Second
	})
	first := dial(t, n)
	first.SendGet("used")
	testutil.Wait(t, arrived, "the attempt")
	check(dial(t, n))
	if s.RequestCount() != 1 {
		t.Errorf("%d requests reached the server, want only the good one", s.RequestCount())
	}
	release()
	first.Expect(t, http.StatusOK, "for used")
}

// checkRejection sends an invalid request, and checks that it is answered with a status and that the connection ends.
func checkRejection(t *testing.T, c *testutil.Client, text string, status int) {
	t.Helper()
	go io.WriteString(c, text)
	if status == 0 {
		response, err := io.ReadAll(c)
		if err != nil || len(response) > 0 && !strings.HasPrefix(string(response), "HTTP/1.1 4") {
			t.Errorf("%q, %v", response, err)
		}
		return
	}
	c.Expect(t, status, "")
	testutil.ExpectClosed(t, c.Reader, "the connection of an invalid request")
}

// A request that the module does not forward is rejected at once, with Retry-After, though its deadline is far off.
func TestRejectionIsImmediateWithRetryAfter(t *testing.T) {
	t.Parallel()
	cfg := testConfig(testutil.CompleteList(testutil.ListEntry("s1", testutil.ClosedPort(t), "in_service")))
	n, _ := startNode(t, cfg, nil)
	c := dial(t, n)
	begin := time.Now()
	c.Send("POST", "/note/k", "x", "x", "60")
	r, _ := c.Response(t)
	if r.StatusCode != 503 || r.Header.Get("Retry-After") == "" || time.Since(begin) > testutil.Timeout {
		t.Errorf("got %d, Retry-After %q after %v", r.StatusCode, r.Header.Get("Retry-After"), time.Since(begin))
	}
}

// A client gives its last attempt all the time that it has left, more than attempts are usually given. That must
// not make other clients' first attempts look like retries past their latency objective, which are rejected at
// once.
func TestLongLastAttemptDoesNotMakeFirstAttemptsRetries(t *testing.T) {
	t.Parallel()
	s, got, release := testutil.NewHoldingServer(t, "held")
	n, _ := startNode(t, configWithServers(s), nil)
	c := dial(t, n)
	view := func(id, deadline string) {
		t.Helper()
		c.Send("GET", "/view/k", id, "", deadline)
		c.Expect(t, 200, "for "+id)
	}
	for i := range 5 {
		view(fmt.Sprint("first-", i), "25")
	}
	view("last", "59.9")
	var busy []*testutil.Client // with these in flight there is capacity for a first attempt, and none for a retry
	holdMore := func(calls int) {
		for range calls {
			i := len(busy)
			busy = append(busy, dial(t, n))
			busy[i].Send("POST", "/note/k", fmt.Sprint("held-", i), "x", "60")
			testutil.Wait(t, got, "an attempt")
		}
	}
	holdMore(4) // of the five calls that a new node admits to one server
	for i := range 5 {
		view(fmt.Sprint("another-", i), "25")
	}
	holdMore(4) // good answers have opened the window
	view("another-5", "25")
	c.Send("GET", "/view/k", "repeat", "", "20") // the class's deadline of 60 s began 40 s ago
	if r, _ := c.Response(t); r.StatusCode != 503 || r.Header.Get("Retry-After") == "" {
		t.Errorf("a retry past its latency objective: got %d, Retry-After %q",
			r.StatusCode, r.Header.Get("Retry-After"))
	}
	release()
	for i, b := range busy {
		b.Expect(t, 200, fmt.Sprint("for held-", i))
	}
}
