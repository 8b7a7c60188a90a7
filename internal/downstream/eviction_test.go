package downstream

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"basaltdrum/internal/socketpeek"
	"basaltdrum/internal/testutil"
)

// sendByte writes a byte on one end of a connection and reads it on the other end.
func sendByte(t *testing.T, from, to net.Conn) {
	t.Helper()
	to.SetReadDeadline(time.Now().Add(testutil.Timeout))
	if _, err := from.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if _, err := to.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
}

// A connection is evicted only while it waits for a request. It is not evicted once bytes of a request have been read
// that net/http has not reported yet, nor once net/http has read the first byte of the next request before it reports
// StateIdle.
func TestConnectionWithStartedRequestIsNotEvicted(t *testing.T) {
	conns := newTestConns(testLimits(2), 1)
	conn, client := connPair(t, conns, 0)
	other, _ := connPair(t, conns, 0)
	sendByte(t, client, conn) // a request
	conns.ConnStateChanged(conn, http.StateNew)
	conns.ConnStateChanged(conn, http.StateActive)
	sendByte(t, conn, client) // its response
	sendByte(t, client, conn) // the next request's first byte
	conns.ConnStateChanged(conn, http.StateIdle)
	conns.ConnStateChanged(other, http.StateNew) // exceeds the limit by one
	if conn.activity.beingEvicted || !conns.OverLimit() {
		t.Fatal("a connection with a started request was evicted")
	}
	sendByte(t, client, conn)
	sendByte(t, conn, client)
	conns.budget.limits.GracePeriods.Idle = testutil.Timeout
	conns.ConnStateChanged(conn, http.StateIdle)
	if conn.activity.beingEvicted || !conns.OverLimit() {
		t.Fatal("an idle connection was evicted within its grace period")
	}
	conns.budget.limits.GracePeriods.Idle = 0
	conns.ConnStateChanged(other, http.StateActive)
	if !conn.activity.beingEvicted || conns.OverLimit() {
		t.Fatal("the idle connection was not evicted after its grace period")
	}
	conn.SetReadDeadline(time.Time{}) // net/http does so after it has reported StateIdle
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the wait for a request ended with error %v, want %v", err, os.ErrDeadlineExceeded)
	}
	conns.ConnStateChanged(conn, http.StateClosed)
	if conns.budget.evicting != 0 || len(conns.conns) != 1 {
		t.Errorf("%d of %d connections are being evicted, want none of 1", conns.budget.evicting, len(conns.conns))
	}
}

// A request whose bytes are unread in the kernel counts as started: a close would reset the connection.
func TestConnectionWithUnreadBytesIsNotEvicted(t *testing.T) {
	conns := newTestConns(testLimits(2), 1)
	conn, client := connPair(t, conns, 0)
	conns.ConnStateChanged(conn, http.StateNew)
	conns.ConnStateChanged(conn, http.StateIdle)
	io.WriteString(client, "GET")
	testutil.Until(t, "arrival of the bytes", func() bool { return socketpeek.IsReadable(conn.Conn) })
	if conns.EvictIdle(); conn.activity.beingEvicted {
		t.Error("a connection with unread bytes was evicted")
	}
	if text := make([]byte, 3); !readFull(conn, text) || string(text) != "GET" {
		t.Errorf("read %q, want %q", text, "GET")
	}
	conn.Write([]byte("response"))
	if conns.EvictIdle(); !conn.activity.beingEvicted {
		t.Error("the connection was not evicted once the request was answered")
	}
}

// Unread bytes in the kernel, which may be the rest of a request, prevent the abort of a read whose grace period is
// over.
func TestReadIsNotAbortedWhileBytesAreUnread(t *testing.T) {
	limits := testLimits(2)
	limits.GracePeriods.PartialRequest = 0
	conns := newTestConns(limits, 2)
	conn, client := connPair(t, conns, 0)
	io.WriteString(client, "GET")
	if text := make([]byte, 3); !readFull(conn, text) {
		t.Fatal("the first part of the request could not be read")
	}
	io.WriteString(client, " /v")
	testutil.Until(t, "arrival of the rest", func() bool { return socketpeek.IsReadable(conn.Conn) })
	conns.ConnStateChanged(conn, http.StateNew) // exceeds the limit by one
	unresponsive, _ := net.Pipe()
	conns.ConnStateChanged(newConn(unresponsive, conns, 0), http.StateNew)
	if conn.activity.beingEvicted {
		t.Error("the read was aborted while the rest of the request was unread")
	}
	if text := make([]byte, 3); !readFull(conn, text) || string(text) != " /v" {
		t.Errorf("read %q, want %q", text, " /v")
	}
	conns.ConnStateChanged(newConn(unresponsive, conns, 0), http.StateNew)
	if !conn.activity.beingEvicted {
		t.Error("the read was not aborted once no bytes were unread")
	}
}

// The request of a client that has just connected may be in transit: its connection is not evicted within the grace
// period.
func TestNewConnectionHasGracePeriodWhileDraining(t *testing.T) {
	serverEnd, clientEnd := net.Pipe()
	defer clientEnd.Close()
	defer serverEnd.Close()
	conns := newTestConns(testLimits(10), 0)
	conn := newConn(serverEnd, conns, 0)
	conns.budget.limits.GracePeriods.New = testutil.Timeout
	conns.ConnStateChanged(conn, http.StateNew)
	if conns.EvictIdle() != 1 || conn.activity.beingEvicted {
		t.Error("a new connection was evicted within its grace period")
	}
	conns.budget.limits.GracePeriods.New = 0
	if conns.EvictIdle(); !conn.activity.beingEvicted {
		t.Error("the connection was not evicted after its grace period")
	}
}

// A connection is reported as being evicted from the start of its eviction until it is closed.
func TestConnectionsBeingEvictedAreReported(t *testing.T) {
	conns := newTestConns(testLimits(10), 0)
	conns.budget.limits.GracePeriods = GracePeriods{}
	conn, _ := connPair(t, conns, 0)
	for _, step := range []struct {
		name           string
		do             func()
		open, evicting int
	}{
		{"connected", func() { conns.ConnStateChanged(conn, http.StateNew) }, 1, 0},
		{"evicted", func() { conns.EvictIdle() }, 1, 1},
		{"closed", func() { conns.ConnStateChanged(conn, http.StateClosed) }, 0, 0},
	} {
		step.do()
		if _, open, evicting := conns.TakeCounts(); open != step.open || evicting != step.evicting {
			t.Errorf("%s: %d connections, %d of them being evicted; want %d, %d",
				step.name, open, evicting, step.open, step.evicting)
		}
	}
}

// The least useful connections are evicted first, and one with an open request never. Each rank has its own grace
// period.
func TestEvictionRankAndGracePeriod(t *testing.T) {
	const started, none = true, false
	grace := GracePeriods{Lingering: 1, PartialRequest: 2, New: 3, Idle: 4}
	for _, row := range []struct {
		name           string
		phase          Phase
		requestStarted bool
		rank           evictionRank
		grace          time.Duration
	}{
		{"last response written", PhaseLingering, none, rankLingering, 1},
		{"last response written, more bytes read", PhaseLingering, started, rankLingering, 1},
		{"head read", PhaseReading, started, rankPartialRequest, 2},
		{"connected, first bytes read", PhaseNew, started, rankPartialRequest, 2},
		{"answered, first bytes of the next request read", PhaseIdle, started, rankPartialRequest, 2},
		{"connected", PhaseNew, none, rankNew, 3},
		{"answered", PhaseIdle, none, rankIdle, 4},
		{"waits for its response", PhaseActive, started, notEvictable, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			rank := activity{phase: row.phase}.rank(func() bool { return row.requestStarted })
			if rank != row.rank {
				t.Fatalf("rank %d, want %d", rank, row.rank)
			}
			if got := grace.forRank(rank); rank != notEvictable && got != row.grace {
				t.Errorf("grace period %d, want %d", got, row.grace)
			}
		})
	}
}

// A connection is exempt from eviction until its grace period is over, which is shorter under pressure.
func TestConnectionsAreExemptWithinTheirGracePeriod(t *testing.T) {
	const period = 100 * time.Millisecond
	grace := GracePeriods{Lingering: period, PartialRequest: period, New: period, Idle: period}
	for _, row := range []struct {
		name    string
		rank    evictionRank
		age     time.Duration
		divisor time.Duration
		want    bool
	}{
		{"within the grace period", rankIdle, period - 1, 1, false},
		{"at the end of the grace period", rankIdle, period, 1, true},
		{"within the shortened period", rankIdle, period/pressureGraceDivisor - 1, pressureGraceDivisor, false},
		{"at the end of the shortened period", rankIdle, period / pressureGraceDivisor, pressureGraceDivisor, true},
		{"request open", notEvictable, time.Hour, pressureGraceDivisor, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			const since = time.Minute
			a := activity{since: since}
			if got := a.isEvictable(row.rank, since+row.age, grace, row.divisor); got != row.want {
				t.Errorf("evictable: %v, want %v", got, row.want)
			}
		})
	}
}

// While the node drains, connections that wait for a request are idle, except new ones within their grace period.
func TestIdleConnections(t *testing.T) {
	const started, none = true, false
	grace := GracePeriods{New: 100 * time.Millisecond}
	for _, row := range []struct {
		name           string
		phase          Phase
		requestStarted bool
		age            time.Duration
		want           bool
	}{
		{"answered", PhaseIdle, none, 0, true},
		{"answered, first bytes of the next request read", PhaseIdle, started, 0, true}, // evict checks the bytes
		{"connected, within the grace period", PhaseNew, none, grace.New - 1, false},
		{"connected, nothing read", PhaseNew, none, grace.New, true},
		{"connected, first bytes read", PhaseNew, started, time.Hour, false},
		{"head read", PhaseReading, started, time.Hour, false},
		{"waits for its response", PhaseActive, started, time.Hour, false},
		{"last response written", PhaseLingering, none, time.Hour, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			idle := activity{phase: row.phase}.isIdle(row.age, grace, func() bool { return row.requestStarted })
			if idle != row.want {
				t.Errorf("idle: %v, want %v", idle, row.want)
			}
		})
	}
}
