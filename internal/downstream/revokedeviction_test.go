package downstream

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"basaltdrum/internal/monotime"
	"basaltdrum/internal/testutil"
)

// interruptedConn calls a function after each read from the kernel, before the read returns.
type interruptedConn struct {
	*net.TCPConn
	afterRead func()
}

func (c interruptedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.afterRead()
	return n, err
}

// Bytes of a request that are read just before their connection is evicted, and recorded just after, revoke the
// eviction. The connection must not count as being evicted any more: it keeps its descriptor, and otherwise none is
// evicted in its place.
func TestRevokedEvictionIsNotCounted(t *testing.T) {
	conns := newTestConns(testLimits(2), 1)
	conns.budget.limits.GracePeriods = GracePeriods{}
	conn, client := connPair(t, conns, 0)
	conns.ConnStateChanged(conn, http.StateNew)
	conn.Conn = interruptedConn{conn.Conn.(*net.TCPConn), func() { conns.EvictIdle() }}
	io.WriteString(client, "GET")
	if text := make([]byte, 3); !readFull(conn, text) || string(text) != "GET" {
		t.Fatalf("read %q, want the eviction to be revoked and the bytes to be read", text)
	}
	if conns.counts.Evicted != 1 {
		t.Fatalf("%d connections were evicted between the read and its return, want 1", conns.counts.Evicted)
	}
	if conns.budget.evicting != 0 {
		t.Errorf("%d connections count as being evicted, want 0", conns.budget.evicting)
	}
}

// Guards against a full node that evicts nobody after a revoked eviction: another connection is evicted instead, and
// not the one whose request has just begun, however long it waited for it.
func TestAnotherConnectionIsEvictedAfterARevokedEviction(t *testing.T) {
	machine := testutil.NewMachineClocks()
	limits := testLimits(2) // one for connections from clients
	conns := NewConns(monotime.Simulated(machine.Elapsed, machine.Unix), limits, func() int { return 1 })
	conn, client := connPair(t, conns, 0)
	other, _ := connPair(t, conns, 0)
	conns.ConnStateChanged(conn, http.StateNew)
	machine.Advance(time.Millisecond)
	conns.ConnStateChanged(other, http.StateNew)
	machine.Advance(2 * limits.GracePeriods.PartialRequest)
	conn.Conn = interruptedConn{conn.Conn.(*net.TCPConn), func() {
		if conns.SetLimits(limits); !conn.activity.beingEvicted || other.activity.beingEvicted {
			t.Error("the connection that has waited the longest was not evicted")
		}
	}}
	io.WriteString(client, "GET")
	if text := make([]byte, 3); !readFull(conn, text) || string(text) != "GET" {
		t.Fatalf("read %q, want the eviction to be revoked and the bytes to be read", text)
	}
	if conn.activity.beingEvicted || !other.activity.beingEvicted || conns.OverLimit() {
		t.Errorf("evicting the connection: %v, the other one: %v; over the limit: %v; want false, true, false",
			conn.activity.beingEvicted, other.activity.beingEvicted, conns.OverLimit())
	}
}
