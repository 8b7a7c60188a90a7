package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"basaltdrum/internal/testutil"
)

// faultyAgent stands in for discovery: some calls fail in one way, and it answers the others.
type faultyAgent struct {
	net.Listener
	mu     sync.Mutex
	fault  string
	left   int // calls that fail yet
	list   string
	rev    int
	conns  []net.Conn
	failed chan struct{} // gets one for each call that fails
}

// faults are the ways in which a call fails, other than by a refused connection.
var faults = []string{"silent", "reset", "status 500", "half, then silent", "half, then closed", "spoilt", "drips"}

// faultyAgents numbers the agents: each has an address of its own, so that no one takes its port while it is
// closed.
var faultyAgents atomic.Int32

func newFaultyAgent(t *testing.T) *faultyAgent {
	t.Helper()
	i := faultyAgents.Add(1)
	ln, err := net.Listen("tcp", fmt.Sprintf("127.1.%d.%d:0", i/250, 1+i%250))
	if err != nil {
		t.Fatal(err)
	}
	a := &faultyAgent{Listener: ln, rev: 10, failed: make(chan struct{}, 1000)}
	t.Cleanup(func() { a.Close(); a.dropAll() })
	go a.serve(ln)
	return a
}

func (a *faultyAgent) serve(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		a.mu.Lock()
		a.conns = append(a.conns, c)
		a.mu.Unlock()
		go func() {
			defer c.Close()
			for br := bufio.NewReader(c); ; {
				r, err := http.ReadRequest(br)
				if err != nil || !a.answer(c, r) {
					return
				}
			}
		}()
	}
}

// dropAll closes all connections.
func (a *faultyAgent) dropAll() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.conns {
		c.Close()
	}
}

// set sets the list, and the number of calls that fail before it is returned.
func (a *faultyAgent) set(fault string, calls int, list string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fault, a.left, a.list, a.rev = fault, calls, list, a.rev+1
}

// answer answers a call, or has it fail; it returns whether the connection stays open.
func (a *faultyAgent) answer(c net.Conn, r *http.Request) bool {
	a.mu.Lock()
	fails, fault := a.left > 0, a.fault
	if fails {
		a.left--
	}
	text := fmt.Sprintf(a.list, a.rev)
	if !fails && r.URL.Query().Get("from") == fmt.Sprint(a.rev) {
		a.mu.Unlock()
		time.Sleep(time.Millisecond) // a hold that ends without changes
		_, err := io.WriteString(c, httpOK(fmt.Sprintf(`{"rev":%s,"all":false,"targets":[]}`, r.URL.Query().Get("from"))))
		return err == nil
	}
	a.mu.Unlock()
	if !fails {
		_, err := io.WriteString(c, httpOK(text))
		return err == nil
	}
	a.failed <- struct{}{}
	whole := httpOK(text)
	switch fault {
	case "reset":
		c.(*net.TCPConn).SetLinger(0)
	case "status 500":
		_, err := io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	case "half, then silent":
		io.WriteString(c, whole[:len(whole)-9])
		io.Copy(io.Discard, c)
	case "half, then closed":
		io.WriteString(c, whole[:len(whole)-9])
	case "spoilt":
		_, err := io.WriteString(c, httpOK(text[:len(text)-2]))
		return err == nil
	case "drips": // a byte at a time, never to its end
		for i := 0; i < len(whole)-1; i++ {
			if _, err := io.WriteString(c, whole[i:i+1]); err != nil {
				return false
			}
			time.Sleep(10 * time.Millisecond)
		}
		io.Copy(io.Discard, c)
	case "silent":
		io.Copy(io.Discard, c)
	}
	return false
}

func httpOK(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// However calls to discovery fail, whenever and how often, the change that discovery has then is known after the
// next call: requests are forwarded to the server that joined, and not to the one that is draining.
func TestChangeIsKnownAfterFailedCalls(t *testing.T) {
	for _, asked := range []bool{false, true} {
		for _, fault := range append([]string{"refused"}, faults...) {
			for _, when := range []string{"start", "middle", "move"} {
				for _, times := range []int{1, 3} {
					t.Run(fmt.Sprint("asked=", asked, " ", fault, " ", when, " ", times), func(t *testing.T) {
						t.Parallel()
						changeAfterFailures(t, asked, fault, when, times)
					})
				}
			}
		}
	}
}

func changeAfterFailures(t *testing.T, asked bool, fault, when string, times int) {
	old, joined := testutil.NewServer(t, testutil.Echo), testutil.NewServer(t, testutil.Echo)
	before := testutil.CompleteList(testutil.ListEntry("s1", old.Address(), "in_service"))
	after := testutil.CompleteList(testutil.ListEntry("s1", old.Address(), "terminating"), testutil.ListEntry("s2", joined.Address(), "in_service"))
	ag, first := newFaultyAgent(t), newFaultyAgent(t)
	addr := ag.Addr().String()
	if fault == "refused" && when != "middle" {
		ag.Close()
	}
	cfg := testConfig(before)
	cfg.Settings.PollDiscovery, cfg.Settings.PollWithin = asked, 400*time.Millisecond
	cfg.Discovery = addr
	begin := func() { // the calls fail from now on
		if fault != "refused" {
			ag.set(fault, times, after)
		}
	}
	first.set("", 0, before)
	switch when {
	case "start":
		begin()
	case "middle":
		ag.set("", 0, before)
	case "move":
		begin()
		cfg.Discovery = first.Addr().String()
	}
	refused := make(chan struct{}, 1000)
	n, _ := startNode(t, cfg, func(n *Node) {
		n.discovery.After = func(d time.Duration) <-chan time.Time { // follows a call that failed at once
			refused <- struct{}{}
			return time.After(d)
		}
		n.discovery.Hold, n.discovery.Grace, n.discovery.StartupWait = 100*time.Millisecond, 100*time.Millisecond, testutil.Limit
	})
	c, sent := dial(t, n), 0
	ask := func() { sent++; c.Get(fmt.Sprint("r", sent)); c.Expect(t, 200, "") }
	if when != "start" {
		testutil.Until(t, "the first list", n.loop.ready.Load)
		ask()
	}
	switch {
	case when == "middle" && fault == "refused":
		ag.Close()
		ag.dropAll()
	case when == "middle":
		begin()
	case when == "move":
		n.discovery.SetAddress(addr)
	}
	if fault == "refused" {
		for range times {
			testutil.Wait(t, refused, "a call that is refused")
		}
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { ln.Close() })
		ag.set("", 0, after)
		go ag.serve(ln)
	} else {
		for range times {
			testutil.Wait(t, ag.failed, "a call that fails")
		}
	}
	untilListed(t, n, "s2")
	seen := old.Received()
	for range 5 {
		ask()
	}
	if old.Received() != seen || joined.Received() != 5 {
		t.Errorf("%d requests came to the server that drains, %d of 5 to the one that joined", old.Received()-seen, joined.Received())
	}
}
