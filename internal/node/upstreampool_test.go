package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"basaltdrum/balancer"
)

// testPool is an upstream pool that reuses connections without a delay.
func testPool(most int) *upstreamPool {
	b := newUpstreamPool(testConfig(""), newClock(), most)
	b.reuseDelay = 0
	return b
}

// testInstance puts a server that is named by its address into the pool's list.
func testInstance(b *upstreamPool, endpoint string) endpointInstance {
	t := listEntry{Endpoint: balancer.Endpoint{ID: endpoint, State: balancer.Ready}, address: endpoint}
	b.updateEndpoints([]listEntry{t}, false)
	return t.instance()
}

// instanceOf is a server as testInstance names it.
func instanceOf(s *fakeServer) endpointInstance {
	return endpointInstance{uid: s.addr(), address: s.addr()}
}

// testAttempt is an attempt at an address with plenty of time.
func testAttempt(t *testing.T, b *upstreamPool, endpoint string) *attempt {
	ctx, cancel := context.WithCancel(t.Context())
	now := b.clock.now()
	return &attempt{
		ctx: ctx, cancel: cancel, instance: testInstance(b, endpoint), sentAt: now, deadline: now + limit,
		request: &request{id: "id", method: "POST", target: "/note/k", body: []byte("body")},
	}
}

// doAttempt makes an attempt that must end within the limit.
func doAttempt(t *testing.T, b *upstreamPool, a *attempt) attemptOutcome {
	t.Helper()
	end := make(chan attemptOutcome, 1)
	go func() { end <- b.do(a) }()
	return wait(t, end, "the attempt's end")
}

// adopt puts a connection among the idle ones.
func (b *upstreamPool) adopt(nc net.Conn, to endpointInstance) {
	waiter := make(chan upstreamReply, 1)
	b.open++
	c := b.startReader(nc, to, waiter)
	b.mu.Lock()
	defer b.mu.Unlock()
	c.waiter = nil
	b.idle[to] = append(b.idle[to], c)
}

// A node short of descriptors closes idle connections first; its own lack of them is no fault of the server.
func TestUpstreamConnectionsBeyondTheBudget(t *testing.T) {
	hold, got := make(chan struct{}), make(chan struct{}, 1)
	one, two := newServer(t, echo), newServer(t, func(c net.Conn, r *http.Request, body string) bool {
		got <- struct{}{}
		<-hold
		return echo(c, r, body)
	})
	b := testPool(1)
	if r := doAttempt(t, b, testAttempt(t, b, one.addr())); r.result != balancer.Success {
		t.Fatalf("ending %d", r.result)
	}
	end := make(chan attemptOutcome, 1)
	go func() { end <- b.do(testAttempt(t, b, two.addr())) }()
	wait(t, got, "the attempt that took the idle one's place")
	if r := doAttempt(t, b, testAttempt(t, b, one.addr())); r.result != balancer.NotSent {
		t.Errorf("with no descriptor left: ending %d, want NotSent", r.result)
	}
	close(hold)
	if r := wait(t, end, "the attempt"); r.result != balancer.Success {
		t.Errorf("ending %d", r.result)
	}
	if one.received() != 1 || b.connections() != 1 {
		t.Errorf("%d requests at the first server, %d connections open", one.received(), b.connections())
	}
}

func TestIdleConnectionsCloseBeforeTheServersDo(t *testing.T) {
	s := newServer(t, echo)
	b := testPool(10)
	b.idleTimeout = 20 * time.Millisecond
	doAttempt(t, b, testAttempt(t, b, s.addr()))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go b.closeExpired(ctx)
	until(t, "the close", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.open == 0 && len(b.idle) == 0
	})
	if full := testPool(1); full.idleTimeout >= testConfig("").ConnIdle {
		t.Errorf("kept for %v", full.idleTimeout)
	}
}

// A second copy of a response is no response to the next request, however late during the reuse delay it comes:
// that request goes on another connection, and the one on which the copy comes is closed.
func TestLateSecondResponseIsDiscarded(t *testing.T) {
	conns := make(chan net.Conn, 10)
	s := newServer(t, func(c net.Conn, r *http.Request, body string) bool {
		conns <- c
		return echo(c, r, body)
	})
	b := newUpstreamPool(testConfig(""), newClock(), 10)
	if b.reuseDelay <= 0 || b.reuseDelay >= b.idleTimeout {
		t.Fatalf("connections rest for %v and stay for %v", b.reuseDelay, b.idleTimeout)
	}
	b.reuseDelay = 100 * limit
	send := func(id string) attemptOutcome {
		a := testAttempt(t, b, s.addr())
		a.request.id = id
		return doAttempt(t, b, a)
	}
	if r := send("one"); string(r.body) != "for one" {
		t.Fatalf("got %q", r.body)
	}
	first := wait(t, conns, "the first connection")
	if r := send("two"); string(r.body) != "for two" || s.accepted() != 2 {
		t.Errorf("got %q on %d connections", r.body, s.accepted())
	}
	reply200(first, "for one")
	until(t, "the close", func() bool { return b.connections() == 1 })
	b.mu.Lock()
	for _, c := range b.idle[instanceOf(s)] {
		c.reusableAt = 0
	}
	b.mu.Unlock()
	if r := send("three"); string(r.body) != "for three" || s.accepted() != 2 {
		t.Errorf("got %q on %d connections", r.body, s.accepted())
	}
}

func TestConnectionClosedWhileIdleIsNotUsed(t *testing.T) {
	closing := make(chan struct{}, 100)
	s := newServer(t, func(c net.Conn, r *http.Request, body string) bool {
		reply200(c, "ok") // keeps alive, as far as the node can tell
		c.Close()
		closing <- struct{}{}
		return false
	})
	n, _ := startNode(t, testConfig(completeList(entry("s1", s.addr(), "in_service"))), nil)
	c := dial(t, n)
	for i := range 50 {
		c.send("POST", "/note/k", fmt.Sprint("n", i), "x", "60")
		c.want(t, 200, "ok")
		wait(t, closing, "the close")
	}
	if s.received() != 50 || s.accepted() != 50 {
		t.Errorf("%d requests on %d connections, want 50 on 50", s.received(), s.accepted())
	}
}

// A new server at the address of one that was removed does not inherit its connections, nor does a restarted one:
// whatever is still to come on them belongs to the old instance.
func TestConnectionsBelongToOneInstanceOfAServer(t *testing.T) {
	s, got, release := newHoldingServer(t, "held")
	n, _ := startNode(t, testConfig(completeList(entry("s1", s.addr(), "in_service"))), nil)
	held, c := dial(t, n), dial(t, n)
	held.get("held")
	wait(t, got, "the attempt")
	c.get("one")
	c.want(t, 200, "for one")
	for i, next := range []string{
		entry("s2", s.addr(), "in_service"),
		strings.Replace(entry("s2", s.addr(), "in_service"), `"boot_ms":0`, `"boot_ms":5`, 1),
	} {
		l := listOf(t, true, next)
		want := l.entries[0] // copied before the loop, which sets its start time, owns the list
		n.loop.post(listReceived{l})
		before := s.accepted()
		until(t, "the list to be taken", func() bool {
			n.upstream.mu.Lock()
			defer n.upstream.mu.Unlock()
			got := n.upstream.endpoints["s2"]
			got.StartedAt = 0 // set by the loop
			return got == want
		})
		if i == 0 { // a connection that was busy when the server went
			release()
			held.want(t, 200, "for held")
		}
		c.get(fmt.Sprint("next-", i))
		c.want(t, 200, fmt.Sprint("for next-", i))
		if s.accepted() != before+1 {
			t.Errorf("life %d: %d connections after %d, want one more", i, s.accepted(), before)
		}
	}
}

func TestDrainingServerGetsNoNewRequests(t *testing.T) {
	a, b := newServer(t, echo), newServer(t, echo)
	ag := newRegistryAgent(t)
	cfg := testConfig(completeList(entry("s1", a.addr(), "in_service"), entry("s2", b.addr(), "in_service")))
	cfg.Discovery = ag.Addr().String()
	n, _ := startNode(t, cfg, nil)
	c := dial(t, n)
	i := 0
	ask := func() {
		i++
		c.get(fmt.Sprint("r", i))
		c.want(t, 200, fmt.Sprint("for r", i))
	}
	for a.received() == 0 || b.received() == 0 {
		ask()
	}
	for _, state := range []string{"terminating", "terminated"} {
		ag.set(false, `{"rev":%d,"all":false,"targets":[`+entry("s1", a.addr(), state)+`]}`)
		for version := ag.rev; !strings.Contains(wait(t, ag.calls, "the next watch"), fmt.Sprint("from=", version)); {
		}
		until(t, "the idle connections to be closed", func() bool {
			n.upstream.mu.Lock()
			defer n.upstream.mu.Unlock()
			for h, idle := range n.upstream.idle {
				if h.address == a.addr() && len(idle) > 0 {
					return false
				}
			}
			return true
		})
		before := a.received()
		for range 30 {
			ask()
		}
		if a.received() != before {
			t.Errorf("%s: %d requests reached the server", state, a.received()-before)
		}
	}
}

// A connection that was established too late for its attempt serves the next one.
func TestLateConnectionIsPooled(t *testing.T) {
	s := newServer(t, echo)
	b := testPool(10)
	held := holdDials(b)
	a := testAttempt(t, b, s.addr())
	end := make(chan attemptOutcome, 1)
	go func() { end <- b.do(a) }()
	wait(t, held.dialed, "the connection")
	a.request.markDeparted()
	close(held.release)
	wait(t, end, "the attempt's end")
	if r := doAttempt(t, b, testAttempt(t, b, s.addr())); r.result != balancer.Success || s.accepted() != 1 || s.received() != 1 {
		t.Errorf("ending %d, %d connections, %d requests", r.result, s.accepted(), s.received())
	}
}

// A peek that a signal interrupts is repeated until it has a result: the poller has reported readability before,
// and does so only once.
func TestInterruptedPeekIsRepeated(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(theirs net.Conn)
		has  bool
	}{
		{"data", func(theirs net.Conn) { theirs.Write([]byte("x")) }, true},
		{"a close", func(theirs net.Conn) { theirs.Close() }, true},
		{"nothing", func(net.Conn) {}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			theirs, ours := connPair(t)
			if c.do(theirs); c.has {
				until(t, "it to arrive", func() bool { return hasUnreadOrClosed(ours) })
			}
			interrupted := failing(syscall.EINTR, 2)
			recv := func(fd int, p []byte, flags int) (int, syscall.Sockaddr, error) {
				if err := interrupted(); err != nil {
					return -1, nil, err
				}
				return syscall.Recvfrom(fd, p, flags)
			}
			var has bool
			err := rawConn(ours).Control(func(fd uintptr) { has = hasUnreadBy(recv, fd) })
			if err != nil || has != c.has {
				t.Errorf("something there: %v (%v), want %v", has, err, c.has)
			}
		})
	}
}
