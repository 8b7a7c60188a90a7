package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"

	"basaltdrum/internal/testutil"
)

const (
	// X-Deadlines of requests, in seconds. Clients of these tests wait for less time than the long one.
	shortDeadline = "0.1"
	longDeadline  = "120"

	// longestObjective lets attempts last until longDeadline.
	longestObjective = 4 * testutil.Timeout
)

// A request that is sent ahead is answered in time although those before it have a later deadline and never get a
// response from their server. A request with 1.5 s was answered after 2.35 s, behind nine with 6 s.
func TestPipelinedRequestIsAnsweredInTime(t *testing.T) {
	t.Parallel()
	for _, mayCancel := range []bool{true, false} {
		t.Run(fmt.Sprint("may cancel ", mayCancel), func(t *testing.T) {
			t.Parallel()
			checkPipelinedDeadline(t, mayCancel)
		})
	}
}

func checkPipelinedDeadline(t *testing.T, mayCancel bool) {
	t.Helper()
	received := make(chan string, 10)
	server := testutil.NewServer(t, func(conn net.Conn, r *http.Request, _ string) bool {
		received <- r.Header.Get("X-Request-Id")
		io.Copy(io.Discard, conn) // returns when the node closes the connection
		return false
	})
	cfg := withObjectives(configWithServers(server), longestObjective)
	cfg.Settings.AllowCancel = mayCancel
	n, _ := startNode(t, cfg, nil)

	atOnce := dial(t, n)
	atOnce.Send("GET", "/view/k", "first", "", longDeadline)
	atOnce.Send("POST", "/note/k", "second", "x", longDeadline)
	atOnce.Send("GET", "/view/k", "short", "", shortDeadline)
	for range 3 {
		atOnce.Expect(t, http.StatusServiceUnavailable, "")
	}

	later := dial(t, n)
	later.Send("POST", "/note/k", "may have run", "x", longDeadline)
	for testutil.Wait(t, received, "the attempt") != "may have run" {
	}
	later.Send("GET", "/view/k", "short, later", "", shortDeadline)
	later.Expect(t, http.StatusBadGateway, "")
	later.Expect(t, http.StatusServiceUnavailable, "")
	if ids := server.RequestIDs(); slices.Contains(ids, "second") {
		t.Errorf("the server got %q, want no request that was handled after the deadline of one behind it", ids)
	}
}

// The response to a request behind an open one is due again after each of them is answered: a request whose deadline
// has not passed is served, whatever was due before it.
func TestRequestAfterADueOneIsServed(t *testing.T) {
	t.Parallel()
	server, received, release := testutil.NewHoldingServer(t, "held")
	n, _ := startNode(t, withObjectives(configWithServers(server), longestObjective), nil)
	client := dial(t, n)
	client.Send("POST", "/note/k", "held", "x", longDeadline)
	testutil.Wait(t, received, "the attempt")
	client.Send("GET", "/view/k", "short", "", shortDeadline)
	client.SendGet("long")
	client.Expect(t, http.StatusBadGateway, "")
	client.Expect(t, http.StatusServiceUnavailable, "")
	client.Expect(t, http.StatusOK, "")
	release()
}
