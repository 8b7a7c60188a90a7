package downstream

import (
	"io"
	"net"
	"net/http"
	"testing"
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
