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

// callFault is a way in which a call to discovery fails.
type callFault string

const (
	callRefused         callFault = "refused"
	callSilent          callFault = "silent"
	callReset           callFault = "reset"
	callStatus500       callFault = "status 500"
	callTruncatedSilent callFault = "truncated, then silent"
	callTruncatedClosed callFault = "truncated, then closed"
	callMalformed       callFault = "malformed"
	callDrips           callFault = "drips" // a byte at a time, never to its end
)

var callFaults = []callFault{
	callRefused, callSilent, callReset, callStatus500,
	callTruncatedSilent, callTruncatedClosed, callMalformed, callDrips,
}

// faultyAgent stands in for discovery: some calls fail in one way, and it answers the others.
type faultyAgent struct {
	net.Listener
	mu       sync.Mutex
	fault    callFault
	failures int // calls that fail yet
	list     string
	version  int
	conns    []net.Conn
	failed   chan struct{} // gets one for each call that fails
}

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
	a := &faultyAgent{Listener: ln, version: 10, failed: make(chan struct{}, 1000)}
	t.Cleanup(func() { a.Close(); a.closeConns() })
	go a.serve(ln)
	return a
}

// listenAgain has an agent listen at the address that it had until it was closed.
func (a *faultyAgent) listenAgain(t *testing.T) {
	t.Helper()
	ln, err := net.Listen("tcp", a.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go a.serve(ln)
}

// serve accepts connections until the listener is closed.
func (a *faultyAgent) serve(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		a.mu.Lock()
		a.conns = append(a.conns, c)
		a.mu.Unlock()
		go a.serveConn(c)
	}
}

// serveConn answers the calls of a connection until it ends or one fails.
func (a *faultyAgent) serveConn(c net.Conn) {
	defer c.Close()
	for reader := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(reader)
		if err != nil || !a.answer(c, r) {
			return
		}
	}
}

// closeConns closes all connections.
func (a *faultyAgent) closeConns() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.conns {
		c.Close()
	}
}

// set sets the list, and the number of calls that fail before it is returned.
func (a *faultyAgent) set(fault callFault, calls int, list string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fault, a.failures, a.list = fault, calls, list
	a.version++
}

// answer answers a call, or has it fail; it returns whether the connection stays open.
func (a *faultyAgent) answer(c net.Conn, r *http.Request) bool {
	a.mu.Lock()
	fails, fault, version := a.failures > 0, a.fault, fmt.Sprint(a.version)
	if fails {
		a.failures--
	}
	text := fmt.Sprintf(a.list, a.version)
	a.mu.Unlock()
	if fails {
		a.failed <- struct{}{}
		return fault.play(c, text)
	}
	if r.URL.Query().Get("from") == version {
		time.Sleep(time.Millisecond) // the hold, which ends without changes
		text = fmt.Sprintf(`{"rev":%s,"all":false,"targets":[]}`, version)
	}
	_, err := io.WriteString(c, httpOK(text))
	return err == nil
}

// play has a call fail whose response would have been a list; it returns whether the connection stays open.
func (f callFault) play(c net.Conn, list string) bool {
	const missing = 9 // bytes of a truncated response
	response := httpOK(list)
	switch f {
	case callReset:
		c.(*net.TCPConn).SetLinger(0)
	case callStatus500:
		_, err := io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	case callTruncatedSilent:
		io.WriteString(c, response[:len(response)-missing])
		io.Copy(io.Discard, c)
	case callTruncatedClosed:
		io.WriteString(c, response[:len(response)-missing])
	case callMalformed:
		_, err := io.WriteString(c, httpOK(list[:len(list)-2]))
		return err == nil
	case callDrips:
		for i := range len(response) - 1 {
			if _, err := io.WriteString(c, response[i:i+1]); err != nil {
				return false
			}
			time.Sleep(10 * time.Millisecond) // the response's pace is the fault
		}
		io.Copy(io.Discard, c)
	default: // callSilent
		io.Copy(io.Discard, c)
	}
	return false
}

func httpOK(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// faultMoment is when calls to discovery begin to fail.
type faultMoment string

const (
	atTheStart    faultMoment = "at the start" // of the node
	whileWatching faultMoment = "while watching"
	afterAMove    faultMoment = "after a move" // of the watch to another address
)

// failedCalls is a row of TestChangeIsKnownAfterFailedCalls: calls to discovery fail while its list changes.
type failedCalls struct {
	polled bool
	fault  callFault
	moment faultMoment
	times  int
}

// However calls to discovery fail, whenever and how often, the change that discovery has then is known after the
// next call: requests are forwarded to the server that joined, and not to the one that is draining.
func TestChangeIsKnownAfterFailedCalls(t *testing.T) {
	t.Parallel()
	for _, polled := range []bool{false, true} {
		for _, fault := range callFaults {
			for _, moment := range []faultMoment{atTheStart, whileWatching, afterAMove} {
				for _, times := range []int{1, 3} {
					row := failedCalls{polled, fault, moment, times}
					t.Run(fmt.Sprintf("polled=%v,%s,%s,%d times", polled, fault, moment, times), func(t *testing.T) {
						t.Parallel()
						row.run(t)
					})
				}
			}
		}
	}
}

// failedCallsTest is a node whose calls to discovery fail for a while.
type failedCallsTest struct {
	failedCalls
	node          *Node
	agent         *faultyAgent // whose calls fail
	before, after string       // its lists before and after the change
	lists         listRecorder
	waits         chan struct{} // gets one for each call that failed at once
}

// run runs a row.
func (row failedCalls) run(t *testing.T) {
	draining, joined := testutil.NewServer(t, testutil.Echo), testutil.NewServer(t, testutil.Echo)
	f := &failedCallsTest{
		failedCalls: row,
		agent:       newFaultyAgent(t),
		before:      testutil.CompleteList(inService("s1", draining)),
		after:       testutil.CompleteList(terminating("s1", draining), inService("s2", joined)),
		waits:       make(chan struct{}, 1000),
	}
	f.start(t)
	c := dial(t, f.node)
	if f.moment != atTheStart {
		testutil.Until(t, "the first list", f.node.loop.ready.Load)
		c.SendGet("before")
		c.Expect(t, 200, "")
	}
	f.beginFaults()
	f.awaitFaults(t)
	f.lists.untilListed(t, "s2")
	received := draining.RequestCount()
	for i := range 5 {
		c.SendGet(fmt.Sprint("after-", i))
		c.Expect(t, 200, "")
	}
	if draining.RequestCount() != received || joined.RequestCount() != 5 {
		t.Errorf("%d requests came to the server that drains, %d of 5 to the one that joined",
			draining.RequestCount()-received, joined.RequestCount())
	}
}

// start starts the node, with calls that fail from the first one on if the row says so.
func (f *failedCallsTest) start(t *testing.T) {
	cfg := testConfig(f.before)
	cfg.Settings.PollDiscovery, cfg.Settings.PollWithin = f.polled, 400*time.Millisecond
	cfg.Discovery = f.agent.Addr().String()
	switch f.moment {
	case atTheStart:
		f.fail()
	case whileWatching:
		f.agent.set("", 0, f.before)
	case afterAMove:
		f.fail()
		other := newFaultyAgent(t)
		other.set("", 0, f.before)
		cfg.Discovery = other.Addr().String()
	}
	f.node, _ = startNode(t, cfg, func(n *Node) {
		f.lists.record(n)
		n.discovery.After = func(d time.Duration) <-chan time.Time {
			f.waits <- struct{}{}
			return time.After(d)
		}
		n.discovery.Hold, n.discovery.Grace = 100*time.Millisecond, 100*time.Millisecond
		n.discovery.StartupWait = testutil.Timeout
	})
}

// fail has calls to the agent fail from now on, beside a list that has changed.
func (f *failedCallsTest) fail() {
	if f.fault == callRefused {
		f.agent.Close()
		f.agent.closeConns()
	} else {
		f.agent.set(f.fault, f.times, f.after)
	}
}

// beginFaults has the node's calls fail, if they don't since its start.
func (f *failedCallsTest) beginFaults() {
	switch f.moment {
	case atTheStart:
	case whileWatching:
		f.fail()
	case afterAMove:
		f.node.discovery.SetAddress(f.agent.Addr().String())
	}
}

// awaitFaults waits until as many calls have failed as the row says. An agent that refused them is back then.
func (f *failedCallsTest) awaitFaults(t *testing.T) {
	if f.fault != callRefused {
		for range f.times {
			testutil.Wait(t, f.agent.failed, "a call that fails")
		}
		return
	}
	for range f.times {
		testutil.Wait(t, f.waits, "a call that is refused")
	}
	f.agent.set("", 0, f.after)
	f.agent.listenAgain(t)
}
