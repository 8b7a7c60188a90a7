package downstream

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"basaltdrum/internal/testutil"
)

// neverEnds is a linger timeout that no test reaches.
const neverEnds = time.Hour

// newLingerConns returns an empty set with six descriptors for connections from clients. They linger for lingerTimeout,
// and may be evicted after gracePeriod.
func newLingerConns(lingerTimeout, gracePeriod time.Duration) *Conns {
	limits := testLimits(8)
	limits.GracePeriods.Lingering = gracePeriod
	conns := newTestConns(limits, 0)
	conns.lingerTimeout = lingerTimeout
	return conns
}

// evictAllLingering leaves no descriptor for connections, so that all that linger are evicted.
func evictAllLingering(conns *Conns) {
	limits := conns.budget.limits
	limits.Descriptors, limits.UpstreamReserve = 0, 0
	conns.SetLimits(limits)
}

// awaitGoroutines waits until the goroutines of evicted connections have ended.
func awaitGoroutines(t *testing.T, ended []chan struct{}) {
	t.Helper()
	for _, end := range ended {
		testutil.Wait(t, end, "the end of an evicted connection's goroutine")
	}
}

// startLingering adds a connection that lingers and returns once its client has read the FIN. The returned channel is
// closed when the goroutine that lingers has ended. That goroutine calls afterLinger if CloseWrite returns.
func startLingering(t *testing.T, conns *Conns, afterLinger func()) (ended chan struct{}) {
	t.Helper()
	conn, client := connPair(t, conns, 0)
	conns.ConnStateChanged(conn, http.StateNew)
	ended = make(chan struct{})
	go func() {
		defer close(ended)
		defer conn.Close()
		_ = conn.CloseWrite()
		afterLinger()
	}()
	testutil.ExpectClosed(t, client, "the sending side of the connection")
	return ended
}

// Guards against new connections that are closed unread because lingering ones, which were evicted and are closed, are
// still counted.
func TestEvictedLingeringConnectionHoldsNoDescriptor(t *testing.T) {
	conns := newLingerConns(neverEnds, 0)
	const lingering = 20
	var ended []chan struct{}
	for range lingering {
		if conns.atHardLimit() {
			t.Fatalf("connection %d would be closed unread", len(ended))
		}
		ended = append(ended, startLingering(t, conns, func() {}))
	}
	const open = 6
	awaitGoroutines(t, ended[:lingering-open])
	if got := conns.Count(); got != open {
		t.Errorf("%d connections are counted, want %d", got, open)
	}
	if got, want := conns.UpstreamAllowance(), conns.budget.usable()-open; got != want {
		t.Errorf("upstream connections may use %d descriptors, want %d", got, want)
	}
	evictAllLingering(conns)
	awaitGoroutines(t, ended[lingering-open:])
}

// Guards against a new connection that is closed unread although lingering ones may be closed in its place: their grace
// period has ended since the last change of a connection.
func TestLingeringConnectionMakesRoomForANewOne(t *testing.T) {
	conns := newLingerConns(neverEnds, neverEnds)
	var ended []chan struct{}
	for !conns.atHardLimit() {
		ended = append(ended, startLingering(t, conns, func() {}))
	}
	conns.budget.limits.GracePeriods.Lingering = 0
	if conns.atHardLimit() {
		t.Error("a new connection would be closed unread, want a lingering one to be closed")
	}
	if conns.counts.ClosedUnread != 1 {
		t.Errorf("%d connections are counted as closed unread, want the one within the grace period",
			conns.counts.ClosedUnread)
	}
	evictAllLingering(conns)
	awaitGoroutines(t, ended)
}

// Guards against goroutines of net/http that outlive their evicted connections: CloseWrite ends its goroutine, so that
// net/http does not start to sleep.
func TestLingeringGoroutineEndsWithItsConnection(t *testing.T) {
	for _, row := range []struct {
		name          string
		lingerTimeout time.Duration
		evict         bool
	}{
		{"evicted", neverEnds, true},
		{"timed out", time.Millisecond, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			conns := newLingerConns(row.lingerTimeout, 0)
			ended := startLingering(t, conns, func() { t.Error("CloseWrite returned") })
			if row.evict {
				evictAllLingering(conns)
			}
			testutil.Wait(t, ended, "the end of the goroutine")
		})
	}
}

// Guards against a version of net/http whose goroutines do not end as CloseWrite needs: a client whose request is not
// read to its end gets its response and a FIN, and the server reports the connection as closed once it is evicted.
func TestServerReportsAnEvictedLingeringConnectionAsClosed(t *testing.T) {
	conns := newLingerConns(neverEnds, 0)
	closed := make(chan struct{})
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		}),
		ConnState: func(conn net.Conn, state http.ConnState) {
			if conns.ConnStateChanged(conn, state); state == http.StateClosed {
				close(closed)
			}
		},
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	go server.Serve(NewListener(ln, conns, 0, testutil.DiscardLog()))
	client := testutil.Dial(t, ln.Addr().String())
	io.WriteString(client, "POST /note/k HTTP/1.1\r\nHost: h\r\nContent-Length: 60000000\r\n\r\nthe first part")
	client.Expect(t, http.StatusRequestEntityTooLarge, "")
	testutil.ExpectClosed(t, client.Reader, "the sending side of the connection")
	evictAllLingering(conns)
	testutil.Wait(t, closed, "the report of the close")
}
