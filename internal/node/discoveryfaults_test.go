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

// callFault is a way for a call to discovery to fail.
type callFault string

const (
	callRefused         callFault = "refused"
	callUnanswered      callFault = "unanswered"
	callReset           callFault = "reset"
	callStatus500       callFault = "status 500"
	callTruncatedOpen   callFault = "truncated, then left open"
	callTruncatedClosed callFault = "truncated, then closed"
	callMalformed       callFault = "malformed"
	callDripping        callFault = "dripping" // one byte at a time, never complete
)

var callFaults = []callFault{
	callRefused, callUnanswered, callReset, callStatus500,
	callTruncatedOpen, callTruncatedClosed, callMalformed, callDripping,
}

// faultyAgent is a stand-in for discovery on which a number of calls fail in one way. It answers the other calls.
type faultyAgent struct {
	net.Listener
	mu       sync.Mutex
	fault    callFault
	failures int // number of calls that still fail
	list     string
	version  int
	conns    []net.Conn
	failed   chan struct{} // receives a value for each call that fails
}

// faultyAgents counts the agents. Each agent gets its own IP address, so that no other listener takes its port while it
// is closed.
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

// listenAgain makes a closed agent listen at its previous address again.
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
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		a.mu.Lock()
		a.conns = append(a.conns, conn)
		a.mu.Unlock()
		go a.serveConn(conn)
	}
}

// serveConn answers the calls of a connection until it ends or one fails.
func (a *faultyAgent) serveConn(conn net.Conn) {
	defer conn.Close()
	for reader := bufio.NewReader(conn); ; {
		r, err := http.ReadRequest(reader)
		if err != nil || !a.answer(conn, r) {
			return
		}
	}
}

// closeConns closes all connections.
func (a *faultyAgent) closeConns() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, conn := range a.conns {
		conn.Close()
	}
}

// set sets the list and the number of calls that fail before the list is returned.
func (a *faultyAgent) set(fault callFault, calls int, list string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fault, a.failures, a.list = fault, calls, list
	a.version++
}

// answer answers a call or makes it fail. It reports whether the connection stays open.
func (a *faultyAgent) answer(conn net.Conn, r *http.Request) bool {
	a.mu.Lock()
	fails, fault, version := a.failures > 0, a.fault, fmt.Sprint(a.version)
	if fails {
		a.failures--
	}
	text := fmt.Sprintf(a.list, a.version)
	a.mu.Unlock()
	if fails {
		a.failed <- struct{}{}
		return fault.respond(conn, text)
	}
	if r.URL.Query().Get("from") == version {
		time.Sleep(time.Millisecond) // the agent holds the call, and no change comes
		text = fmt.Sprintf(`{"rev":%s,"all":false,"targets":[]}`, version)
	}
	_, err := io.WriteString(conn, httpOK(text))
	return err == nil
}

// respond makes a call fail whose response would be list. It reports whether the connection stays open.
func (f callFault) respond(conn net.Conn, list string) bool {
	const missing = 9 // bytes that a truncated response lacks
	response := httpOK(list)
	switch f {
	case callReset:
		conn.(*net.TCPConn).SetLinger(0)
	case callStatus500:
		_, err := io.WriteString(conn, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	case callTruncatedOpen:
		io.WriteString(conn, response[:len(response)-missing])
		io.Copy(io.Discard, conn)
	case callTruncatedClosed:
		io.WriteString(conn, response[:len(response)-missing])
	case callMalformed:
		_, err := io.WriteString(conn, httpOK(list[:len(list)-2]))
		return err == nil
	case callDripping:
		for i := range len(response) - 1 {
			if _, err := io.WriteString(conn, response[i:i+1]); err != nil {
				return false
			}
			time.Sleep(10 * time.Millisecond) // the slow response is the fault
		}
		io.Copy(io.Discard, conn)
	default: // callUnanswered; calls that are refused do not reach the agent
		io.Copy(io.Discard, conn)
	}
	return false
}

// httpOK returns an HTTP response with status 200.
func httpOK(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// faultMoment is the time at which calls to discovery start to fail.
type faultMoment string

const (
	atTheStart    faultMoment = "at the start" // of the node
	whileWatching faultMoment = "while watching"
	afterAMove    faultMoment = "after a move" // of the watch to another address
)

// failedCalls is a row of TestListChangeIsAppliedAfterFailedCalls: calls to discovery fail while its list changes.
type failedCalls struct {
	polled bool
	fault  callFault
	moment faultMoment
	times  int
}

// After any number of failed calls to discovery, the node gets a change of the list with the next call, no matter how
// and when the calls fail. It then forwards requests to the added server and not to the draining one.
func TestListChangeIsAppliedAfterFailedCalls(t *testing.T) {
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

// failedCallsTest is a node whose calls to discovery fail temporarily.
type failedCallsTest struct {
	failedCalls
	node          *Node
	agent         *faultyAgent // on which calls fail
	before, after string       // lists of the agent before and after the change
	lists         listRecorder
	retryWaits    chan struct{} // receives a value for each call that failed at once and is retried
}

// run runs one row of the test.
func (row failedCalls) run(t *testing.T) {
	draining, added := testutil.NewServer(t, testutil.Echo), testutil.NewServer(t, testutil.Echo)
	f := &failedCallsTest{
		failedCalls: row,
		agent:       newFaultyAgent(t),
		before:      testutil.CompleteList(inService("s1", draining)),
		after:       testutil.CompleteList(terminating("s1", draining), inService("s2", added)),
		retryWaits:  make(chan struct{}, 1000),
	}
	f.start(t)
	client := dial(t, f.node)
	if f.moment != atTheStart {
		testutil.Until(t, "the first list to be applied", f.node.loop.ready.Load)
		client.SendGet("before")
		client.Expect(t, 200, "")
	}
	f.startFaults()
	f.awaitFaults(t)
	f.lists.untilListed(t, "s2")
	received := draining.RequestCount()
	for i := range 5 {
		client.SendGet(fmt.Sprint("after-", i))
		client.Expect(t, 200, "")
	}
	if draining.RequestCount() != received || added.RequestCount() != 5 {
		t.Errorf("got %d requests at the draining server and %d at the added one, want 0 and 5",
			draining.RequestCount()-received, added.RequestCount())
	}
}

// start starts the node, and makes calls fail from the first one on unless the moment is whileWatching.
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
			f.retryWaits <- struct{}{}
			return time.After(d)
		}
		n.discovery.Hold, n.discovery.Grace = 100*time.Millisecond, 100*time.Millisecond
		n.discovery.StartupWait = testutil.Timeout
	})
}

// fail makes calls to the agent fail from now on, and changes its list.
func (f *failedCallsTest) fail() {
	if f.fault == callRefused {
		f.agent.Close()
		f.agent.closeConns()
	} else {
		f.agent.set(f.fault, f.times, f.after)
	}
}

// startFaults makes the node's calls fail, unless they fail since its start.
func (f *failedCallsTest) startFaults() {
	switch f.moment {
	case atTheStart:
	case whileWatching:
		f.fail()
	case afterAMove:
		f.node.discovery.SetAddress(f.agent.Addr().String())
	}
}

// awaitFaults waits until the number of calls in the row have failed. An agent that refused calls then listens again.
func (f *failedCallsTest) awaitFaults(t *testing.T) {
	if f.fault != callRefused {
		for range f.times {
			testutil.Wait(t, f.agent.failed, "a failing call")
		}
		return
	}
	for range f.times {
		testutil.Wait(t, f.retryWaits, "a refused call")
	}
	f.agent.set("", 0, f.after)
	f.agent.listenAgain(t)
}
