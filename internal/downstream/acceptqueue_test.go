package downstream

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"basaltdrum/internal/monotime"
	"basaltdrum/internal/testutil"
)

// fullTest is a listener that always has a connection in its queue, and a set of connections that is full of open
// requests. Its clock advances only when the test says so.
type fullTest struct {
	*Listener
	elapsed   atomic.Int64  // time of the clock
	clockRead chan struct{} // receives a value when the clock is read
	open      []*Conn
}

func newFullTest(t *testing.T, queue func(*fullTest) net.Listener) *fullTest {
	t.Helper()
	f := &fullTest{clockRead: make(chan struct{}, 1)}
	clock := monotime.Simulated(func() time.Duration {
		notify(f.clockRead)
		return time.Duration(f.elapsed.Load())
	}, func() time.Duration { return 0 })
	limits := testLimits(20)
	conns := NewConns(clock, limits, func() int { return 0 })
	f.Listener = NewListener(queue(f), conns, 0, testutil.DiscardLog())
	f.queueEmptyAt = clock.Now()
	for !conns.atHardLimit() {
		node, client := net.Pipe()
		t.Cleanup(func() { client.Close() })
		conn := newConn(node, conns, 0)
		conns.ConnStateChanged(conn, http.StateNew)
		conns.setPhase(conn, PhaseActive)
		f.open = append(f.open, conn)
	}
	conns.TakeCounts()
	conns.unserved.Store(0)
	return f
}

// closeOne closes one of the connections with an open request.
func (f *fullTest) closeOne() {
	f.open[0].Close()
	f.open = f.open[1:]
}

// accept returns a channel that receives the result of Accept, once Accept has found that there is no descriptor.
func (f *fullTest) accept(t *testing.T) <-chan error {
	t.Helper()
	testutil.Wait(t, f.clockRead, "an earlier use of the clock")
	result := make(chan error, 1)
	go func() {
		_, err := f.Accept()
		result <- err
	}()
	testutil.Wait(t, f.clockRead, "the check of the descriptors")
	return result
}

func (f *fullTest) closedUnread() int {
	counts, _, _ := f.conns.TakeCounts()
	return counts.ClosedUnread
}

// queueOf returns a listener that always has the node's end of a connection.
func queueOf(*fullTest) net.Listener {
	node, _ := net.Pipe()
	return readyListener{conn: node}
}

// A full node waits for a descriptor before it accepts the next connection. It closed each new connection unread, and
// hundreds of busy clients, which connected again at once, left nearly none to others.
func TestAcceptWaitsForADescriptor(t *testing.T) {
	f := newFullTest(t, queueOf)
	result := f.accept(t)
	f.closeOne()
	if err := testutil.Wait(t, result, "the connection"); err != nil {
		t.Fatal(err)
	}
	if counts, _, _ := f.conns.TakeCounts(); counts.ClosedUnread != 0 || counts.AcceptDelayed != 1 {
		t.Errorf("got %+v, want one delayed accept and no connection closed unread", counts)
	}
}

// A connection that may have waited in the queue for too long is closed unread, as its client may have little time
// left. Once the queue has been empty, the listener waits again.
func TestConnectionsAreClosedUnreadAfterALongWait(t *testing.T) {
	var blocks atomic.Int64 // how long the next accept blocks
	f := newFullTest(t, func(f *fullTest) net.Listener {
		return blockingListener{queueOf(f), func() { f.elapsed.Add(blocks.Swap(0)) }}
	})
	f.elapsed.Store(int64(maxQueueAge))
	result := f.accept(t)
	testutil.Until(t, "connections to be closed unread", func() bool { return f.closedUnread() > 0 })
	blocks.Store(int64(minBlockedAccept))
	testutil.Until(t, "an accept that blocks", func() bool { return blocks.Load() == 0 })
	f.closedUnread()
	for range 20 { // uses of the clock; there are fewer than ten for a connection that is closed
		testutil.Wait(t, f.clockRead, "a use of the clock")
	}
	if got := f.closedUnread(); got > 1 {
		t.Errorf("%d connections were closed unread once the queue had been empty, want one at most", got)
	}
	f.closeOne()
	if err := testutil.Wait(t, result, "the connection"); err != nil {
		t.Fatal(err)
	}
}

// The close of the listener and the start of draining end the wait for a descriptor.
func TestWaitForADescriptorEndsWithTheListener(t *testing.T) {
	for name, end := range map[string]func(*fullTest){
		"closed":   func(f *fullTest) { f.closeOnce.Do(func() { close(f.closed) }) },
		"draining": func(f *fullTest) { f.drainOnce.Do(func() { close(f.draining) }) },
	} {
		f := newFullTest(t, func(f *fullTest) net.Listener {
			return closedListener{queueOf(f)}
		})
		result := f.accept(t)
		end(f)
		if err := testutil.Wait(t, result, "the end of Accept, "+name); err == nil {
			t.Errorf("%s: got a connection, want an error", name)
		}
	}
}

// blockingListener calls a function in each accept.
type blockingListener struct {
	net.Listener
	block func()
}

func (l blockingListener) Accept() (net.Conn, error) {
	l.block()
	return l.Listener.Accept()
}

// closedListener has been closed.
type closedListener struct{ net.Listener }

func (closedListener) Accept() (net.Conn, error) { return nil, net.ErrClosed }
func (closedListener) Close() error              { return nil }
