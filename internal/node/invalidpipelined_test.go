package node

import (
	"io"
	"net/http"
	"testing"

	"basaltdrum/internal/testutil"
)

// Requests that were read after an invalid request still get their responses. An invalid request closes the connection
// only if no request was read after it or the error is in its body.
func TestRequestsPipelinedAfterAnInvalidOneAreAnswered(t *testing.T) {
	t.Parallel()
	const (
		body    = "Host: h\r\nX-Request-Id: bad\r\nX-Deadline: 60\r\nContent-Length: 3\r\n\r\nabc"
		chunked = "Host: h\r\nX-Request-Id: bad\r\nX-Deadline: 60\r\nTransfer-Encoding: chunked\r\n\r\n"
	)
	for _, row := range []struct {
		name, invalid string
		status        int
		closes        bool
	}{
		{
			"unknown class",
			"GET /nowhere/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: bad\r\nX-Deadline: 60\r\n\r\n", 404, false,
		},
		{"unknown class with an unread body", "POST /nowhere/k HTTP/1.1\r\n" + body, 404, false},
		{"unread chunks", "POST /nowhere/k HTTP/1.1\r\n" + chunked + "3\r\nabc\r\n0\r\n\r\n", 404, false},
		{"no deadline", "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: bad\r\n\r\n", 400, false},
		{"GET with a body", "GET /view/k HTTP/1.1\r\n" + body, 400, true},
		{"invalid chunks", "POST /note/k HTTP/1.1\r\n" + chunked + "x\r\nabc\r\n0\r\n\r\n", 400, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			server := testutil.NewServer(t, testutil.Echo)
			n, _ := startNode(t, configWithServers(server), nil)
			client := dial(t, n)
			io.WriteString(client, row.invalid+testutil.RequestText("behind"))
			if response, _ := client.Response(t); response.StatusCode != row.status || response.Close != row.closes {
				t.Fatalf("got %d, close %v; want %d, %v", response.StatusCode, response.Close, row.status, row.closes)
			}
			if row.closes {
				testutil.ExpectClosed(t, client, "the connection after an error in the body")
				return
			}
			client.Expect(t, http.StatusOK, "for behind")
			io.WriteString(client, row.invalid)
			if response, _ := client.Response(t); response.StatusCode != row.status || !response.Close {
				t.Fatalf("alone: got %d, close %v; want %d, true", response.StatusCode, response.Close, row.status)
			}
		})
	}
}

// While there are too many connections, the response to an invalid request closes its connection, also if others were
// read after it. Clients with batches of them kept the descriptors of a full node until each batch was answered.
func TestInvalidRequestClosesItsConnectionBeyondTheLimit(t *testing.T) {
	t.Parallel()
	const limit = 4
	n, _ := startNode(t, testConfig(testutil.CompleteList()), func(n *Node) {
		limits := downstreamLimits(n.cfg)
		limits.Descriptors, limits.UpstreamReserve, limits.RejectReserve = 2*limit, limit, 10*limit
		limits.GracePeriods = evictNothing
		n.frontend.conns.SetLimits(limits)
	})
	const invalid = "GET /nowhere/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: bad\r\nX-Deadline: 60\r\n\r\n"
	for range limit {
		dial(t, n)
	}
	testutil.Until(t, "the connections", func() bool { return n.frontend.conns.Count() == limit })
	client := dial(t, n)
	io.WriteString(client, invalid+invalid)
	if response, _ := client.Response(t); response.StatusCode != http.StatusNotFound || !response.Close {
		t.Errorf("got %d, close %v; want %d, true", response.StatusCode, response.Close, http.StatusNotFound)
	}
	testutil.ExpectClosed(t, client.Reader, "the connection after an invalid request")
}
