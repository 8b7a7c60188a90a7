package node

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"basaltdrum/internal/downstream"
	"basaltdrum/internal/http1"
	"basaltdrum/internal/membudget"
	"basaltdrum/internal/testutil"
)

// longBody is the longest body of a request or a response.
var longBody = strings.Repeat("x", http1.MaxBodyBytes)

// limitMemory limits the memory of a node to some bytes of open requests and to one long response. Neither requests nor
// connections have a cost of their own.
func limitMemory(requestBytes int64) func(*Node) {
	return func(n *Node) {
		n.frontend.memory = membudget.New(membudget.Limits{RequestBytes: requestBytes, ResponseSlots: 1}, n.connections)
	}
}

// untilMemoryFree waits until a node holds no memory of requests and responses.
func untilMemoryFree(t *testing.T, n *Node) {
	t.Helper()
	testutil.Until(t, "the memory of the requests to be given back", func() bool {
		stats := n.frontend.memory.TakeStats()
		return stats.Requests == 0 && stats.Bytes == 0 && stats.Responses == 0
	})
}

// memoryCase is a way in which a long request ends.
type memoryCase struct {
	name string
	// respond handles an attempt at the server, once held has received a value. The default responds with a long body.
	respond testutil.Handler
	// end ends the request, whose attempt is in flight, and reads its response if there is one.
	end func(t *testing.T, n *Node, client *testutil.Client, release func())
}

// expectLong releases the attempt, and expects a long response.
func expectLong(t *testing.T, _ *Node, client *testutil.Client, release func()) {
	t.Helper()
	release()
	response, body := client.Response(t)
	if response.StatusCode == http.StatusProcessing { // sent to a client that has half-closed its connection
		response, body = client.Response(t)
	}
	if response.StatusCode != http.StatusOK || body != longBody {
		t.Errorf("got response %d of %d bytes, want 200 and %d", response.StatusCode, len(body), len(longBody))
	}
}

// expectFailed releases the attempt, and expects an error.
func expectFailed(t *testing.T, _ *Node, client *testutil.Client, release func()) {
	t.Helper()
	release()
	client.Expect(t, http.StatusBadGateway, "")
}

var memoryCases = []memoryCase{
	{name: "served", end: expectLong},
	{
		name: "served in chunks",
		respond: func(conn net.Conn, _ *http.Request, _ string) bool {
			_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
				len(longBody), longBody)
			return err == nil
		},
		end: expectLong,
	},
	{
		name: "failed with a long response",
		respond: func(conn net.Conn, _ *http.Request, _ string) bool {
			_, err := fmt.Fprintf(conn, "HTTP/1.1 500 Error\r\nContent-Length: %d\r\n\r\n%s", len(longBody), longBody)
			return err == nil
		},
		end: expectFailed,
	},
	{
		name: "connection lost in the middle of the response",
		respond: func(conn net.Conn, _ *http.Request, _ string) bool {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(longBody), longBody[1:])
			return false
		},
		end: expectFailed,
	},
	{
		name:    "connection lost without a response",
		respond: func(net.Conn, *http.Request, string) bool { return false },
		end:     expectFailed,
	},
	{
		name: "client departed",
		end:  func(_ *testing.T, _ *Node, client *testutil.Client, _ func()) { client.Close() },
	},
	{
		name: "client half-closed",
		end: func(t *testing.T, n *Node, client *testutil.Client, release func()) {
			client.Conn.(*net.TCPConn).CloseWrite()
			testutil.Until(t, "the departure to be detected", func() bool {
				for _, conn := range n.frontend.conns.Status() {
					if conn.Departure == downstream.HalfClosed {
						return true
					}
				}
				return false
			})
			expectLong(t, n, client, release)
		},
	},
	{
		name: "new settings while it is in flight",
		end: func(t *testing.T, n *Node, client *testutil.Client, release func()) {
			cfg := n.cfg
			cfg.Settings.MaxAttempts++
			reload(t, n, cfg)
			expectLong(t, n, client, release)
		},
	},
	{
		name: "answered at the end of a shutdown",
		end: func(t *testing.T, n *Node, client *testutil.Client, _ func()) {
			n.loop.post(shutdownDeadline{})
			client.Expect(t, http.StatusBadGateway, "")
		},
	},
}

// Each way in which a long request ends gives its memory back. Without that, a node would reject every request after a
// while, or hold more than its memory limit and be killed.
func TestMemoryIsGivenBackWhenARequestEnds(t *testing.T) {
	t.Parallel()
	for _, c := range memoryCases {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, chunked request %v", c.name, chunked), func(t *testing.T) {
				t.Parallel()
				c.run(t, chunked)
			})
		}
	}
}

func (c memoryCase) run(t *testing.T, chunked bool) {
	held, released := make(chan struct{}, 1), make(chan struct{})
	t.Cleanup(func() {
		select {
		case <-released:
		default:
			close(released)
		}
	})
	server := testutil.NewServer(t, func(conn net.Conn, r *http.Request, body string) bool {
		if body != longBody {
			t.Errorf("the server received a body of %d bytes, want %d", len(body), len(longBody))
		}
		held <- struct{}{}
		<-released
		if c.respond == nil {
			return testutil.RespondOK(conn, longBody)
		}
		return c.respond(conn, r, body)
	})
	n, _ := startNode(t, withLongObjectives(configWithServers(server)), limitMemory(2*http1.MaxBodyBytes))
	client := dial(t, n)
	sendLong(client, "r", chunked)
	testutil.Wait(t, held, "the attempt")
	if got := n.frontend.memory.TakeStats(); got.Requests != 1 || got.Bytes < http1.MaxBodyBytes {
		t.Errorf("got %+v for a request in flight, want one with its body", got)
	}
	c.end(t, n, client, func() { close(released) })
	untilMemoryFree(t, n)
}

// sendLong sends a request with a long body, with its length or in chunks.
func sendLong(client *testutil.Client, id string, chunked bool) {
	if !chunked {
		client.Send(http.MethodPost, "/note/k", id, longBody, "60")
		return
	}
	fmt.Fprintf(client, "POST /note/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Deadline: 60\r\n"+
		"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", id, len(longBody), longBody)
}

// A long request for which there is no memory is answered with 503 while another one is in flight, and is not
// forwarded. Its connection stays open, and serves a request once there is memory. A node that held such requests went
// over its memory limit and was killed.
func TestRequestBeyondTheMemoryLimitIsRejected(t *testing.T) {
	t.Parallel()
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprint("chunked ", chunked), func(t *testing.T) {
			t.Parallel()
			server, held, release := testutil.NewHoldingServer(t, "first")
			n, _ := startNode(t, withLongObjectives(configWithServers(server)), limitMemory(http1.MaxBodyBytes*3/2))
			first, second := dial(t, n), dial(t, n)
			sendLong(first, "first", false)
			testutil.Wait(t, held, "the first request")
			sendLong(second, "second", chunked)
			response, _ := second.Response(t)
			if response.StatusCode != http.StatusServiceUnavailable || response.Close {
				t.Errorf("got status %d, close %v; want 503 on a connection that stays open",
					response.StatusCode, response.Close)
			}
			if retryAfter := response.Header.Get("Retry-After"); retryAfter == "" {
				t.Error("got no Retry-After, want the one of a node at its limit")
			}
			if got := n.frontend.memory.TakeStats(); got.Requests != 1 || got.Rejected != 1 {
				t.Errorf("got %+v, want one open request and one rejected", got)
			}
			release()
			first.Expect(t, http.StatusOK, "for first")
			untilMemoryFree(t, n)
			sendLong(second, "third", chunked)
			second.Expect(t, http.StatusOK, "for third")
			if ids := server.RequestIDs(); len(ids) != 2 {
				t.Errorf("the server received %q, want the first and the third", ids)
			}
		})
	}
}

// A request is rejected by its declared length, before its body arrives: what bodies will hold counts from the head on.
func TestDeclaredLengthCountsBeforeTheBodyArrives(t *testing.T) {
	t.Parallel()
	n, _ := startNode(t, testConfig(testutil.CompleteList()), limitMemory(http1.MaxBodyBytes*3/2))
	partial := dial(t, n)
	const head = "POST /note/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Deadline: 60\r\nContent-Length: %d\r\n\r\n"
	fmt.Fprintf(partial, head, "partial", http1.MaxBodyBytes)
	testutil.Until(t, "the memory of the body to be reserved", func() bool {
		return n.frontend.memory.TakeStats().Bytes >= http1.MaxBodyBytes
	})
	second := dial(t, n)
	sendLong(second, "second", false)
	second.Expect(t, http.StatusServiceUnavailable, "")
	partial.Close()
	untilMemoryFree(t, n)
}

// A client that stops in the middle of a body gives its memory back when it is evicted.
func TestEvictedPartialRequestGivesItsMemoryBack(t *testing.T) {
	t.Parallel()
	n, _ := startNode(t, testConfig(testutil.CompleteList()), func(n *Node) {
		limitMemory(2 * http1.MaxBodyBytes)(n)
		n.frontend.server.ReadTimeout = 0 // only the eviction ends the request
	})
	client := dial(t, n)
	fmt.Fprintf(client, "POST /note/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nX-Deadline: 60\r\n"+
		"Content-Length: %d\r\n\r\npart", http1.MaxBodyBytes)
	testutil.Until(t, "the memory of the body to be reserved", func() bool {
		return n.frontend.memory.TakeStats().Requests == 1
	})
	testutil.Until(t, "the part of the body to be read and the client evicted", func() bool {
		n.frontend.conns.SetLimits(downstream.Limits{}) // without grace periods, and with room for no connection
		return n.frontend.memory.TakeStats().Requests == 0
	})
	untilMemoryFree(t, n)
}

// A long response waits until another one has been written, and is then forwarded. Without that, the responses that
// arrive at the same time would take the node over its memory limit.
func TestLongResponseWaitsForMemory(t *testing.T) {
	t.Parallel()
	server := testutil.NewServer(t, func(conn net.Conn, _ *http.Request, _ string) bool {
		return testutil.RespondOK(conn, longBody)
	})
	n, _ := startNode(t, withLongObjectives(configWithServers(server)), limitMemory(2*http1.MaxBodyBytes))
	other := n.frontend.memory.Reserve(0)
	if !other.AcquireResponse(nil, nil) {
		t.Fatal("got no memory for a response, want it")
	}
	client := dial(t, n)
	client.SendGet("r")
	testutil.Until(t, "the server to receive the request", func() bool { return server.RequestCount() == 1 })
	if got := n.frontend.memory.TakeStats(); got.Responses != 1 {
		t.Errorf("got %+v, want one response to hold memory", got)
	}
	expectLong(t, n, client, other.Release)
	untilMemoryFree(t, n)
}

// Heads that are not complete leave less memory to requests, until their connections are closed.
func TestIncompleteHeadsLeaveLessMemory(t *testing.T) {
	t.Parallel()
	const headBytes = 8 << 10
	n, _ := startNode(t, testConfig(testutil.CompleteList()), limitMemory(http1.MaxBodyBytes+headBytes))
	partial, client := dial(t, n), dial(t, n)
	fmt.Fprintf(partial, "POST /note/k HTTP/1.1\r\nX-Pad: %s", strings.Repeat("x", headBytes))
	headMemory := n.frontend.conns.IncompleteHeadMemory
	testutil.Until(t, "the head to be read", func() bool {
		return headMemory() >= int64(http1.HeadMemory(headBytes, 0))
	})
	sendLong(client, "first", false)
	client.Expect(t, http.StatusServiceUnavailable, "")
	partial.Close()
	testutil.Until(t, "the connection to be closed", func() bool { return headMemory() == 0 })
	sendLong(client, "second", false)
	testutil.Until(t, "the request to be admitted", func() bool { return n.frontend.memory.TakeStats().Requests == 1 })
}

// At every configuration that is accepted, connections leave memory for several long requests. With the memory and the
// descriptors that the operators set, memory allows more connections than clients hold, a third of the descriptors.
func TestConnectionsLeaveMemoryToRequests(t *testing.T) {
	t.Parallel()
	const wantLong = 8
	for _, memoryMB := range []int{minMemoryMB, 20, 24, 32, 40, 48, 64, 128, 192, 1024, maxMemoryMB} {
		cfg := Config{MemoryMB: memoryMB}
		limits, conns := memoryLimits(cfg), maxDownstreamConns(cfg)
		left := limits.RequestBytes - int64(conns)*limits.Costs.DownstreamConn
		if want := int64(wantLong * (http1.MaxBodyBytes + limits.Costs.Request)); left < want {
			t.Errorf("%d MB: %d connections leave %d bytes, want at least %d", memoryMB, conns, left, want)
		}
		if limits.ResponseSlots < wantLong {
			t.Errorf("%d MB: %d responses may be held, want at least %d", memoryMB, limits.ResponseSlots, wantLong)
		}
		if clients := 1024 / 3; memoryMB >= 32 && conns < clients {
			t.Errorf("%d MB: %d connections are allowed, want at least %d", memoryMB, conns, clients)
		}
	}
}
