package node

import (
	"context"
	"io"
	"net"
	"testing"

	"balancer"
)

// heldDial holds each connection back once it is up, until it is let through: as one that comes up late.
// It does not heed its context, so that whatever happened meanwhile is found at the first byte only.
type heldDial struct{ up, through chan struct{} }

func holdDials(b *upstreamPool) heldDial {
	h := heldDial{make(chan struct{}, 10), make(chan struct{})}
	b.dial = func(_ context.Context, network, address string) (net.Conn, error) {
		nc, err := net.Dial(network, address)
		h.up <- struct{}{}
		<-h.through
		return nc, err
	}
	return h
}

// sink accepts one connection and tells all that came on it once it is closed.
func sink(t *testing.T) (addr string, came <-chan string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	all := make(chan string, 1)
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		text, _ := io.ReadAll(c)
		all <- string(text)
	}()
	return ln.Addr().String(), all
}

// What happens while a connection comes up is heeded at the first byte.
func TestNothingIsBegunThatBecamePointlessWhileTheConnectionCameUp(t *testing.T) {
	now := func(b *upstreamPool, h endpointInstance, change func(*listEntry)) {
		e := listEntry{Endpoint: balancer.Endpoint{ID: h.uid, State: balancer.Ready}, address: h.address, bootMS: h.bootMS}
		change(&e)
		b.updateEndpoints([]listEntry{e}, false)
	}
	for _, c := range []struct {
		name string
		do   func(*upstreamPool, *attempt)
		want balancer.AttemptResult
	}{
		{"drains", func(b *upstreamPool, a *attempt) {
			now(b, a.instance, func(e *listEntry) { e.State = balancer.Draining })
		}, balancer.NotSent},
		{"gone", func(b *upstreamPool, a *attempt) {
			now(b, a.instance, func(e *listEntry) { e.State = balancer.Removed })
		}, balancer.NotSent},
		{"left out of a whole list", func(b *upstreamPool, a *attempt) { b.updateEndpoints(nil, true) }, balancer.NotSent},
		{"started anew", func(b *upstreamPool, a *attempt) { now(b, a.instance, func(e *listEntry) { e.bootMS = 1 }) }, balancer.NotSent},
		{"moved", func(b *upstreamPool, a *attempt) {
			now(b, a.instance, func(e *listEntry) { e.address = "127.0.0.1:2" })
		}, balancer.NotSent},
		{"its caller left", func(b *upstreamPool, a *attempt) { a.request.markDeparted() }, balancer.NotSent},
		{"called off", func(b *upstreamPool, a *attempt) { a.cancel() }, balancer.Cancelled},
		{"repeats are discarded no longer", func(b *upstreamPool, a *attempt) { a.notAfter = b.clock.now() }, balancer.NotSent},
		{"its time is over", func(b *upstreamPool, a *attempt) { a.deadline = b.clock.now() }, balancer.NotSent},
	} {
		t.Run(c.name, func(t *testing.T) {
			addr, came := sink(t)
			b := testBackend(10)
			held := holdDials(b)
			a := testAttempt(b, addr)
			end := make(chan attemptOutcome, 1)
			go func() { end <- b.do(a) }()
			wait(t, held.up, "the connection")
			c.do(b, a)
			close(held.through)
			if r := wait(t, end, "the attempt's end"); r.result != c.want {
				t.Errorf("ending %d, want %d", r.result, c.want)
			}
			b.updateEndpoints(nil, true) // closes what was kept
			if text := wait(t, came, "the close"); text != "" {
				t.Errorf("the server got %q", text)
			}
			if n := b.connections(); n != 0 {
				t.Errorf("%d connections are open", n)
			}
		})
	}
}

// A connection that came up for an attempt in vain serves the next one.
func TestLateConnectionIsKeptForOthers(t *testing.T) {
	s := newServer(t, echo)
	b := testBackend(10)
	held := holdDials(b)
	a := testAttempt(b, s.addr())
	end := make(chan attemptOutcome, 1)
	go func() { end <- b.do(a) }()
	wait(t, held.up, "the connection")
	a.request.markDeparted()
	close(held.through)
	wait(t, end, "the attempt's end")
	if r := run(t, b, testAttempt(b, s.addr())); r.result != balancer.Success || s.opened() != 1 || s.seen() != 1 {
		t.Errorf("ending %d, %d connections, %d requests", r.result, s.opened(), s.seen())
	}
}
