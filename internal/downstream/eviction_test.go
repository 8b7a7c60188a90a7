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

// sendByte has one end of a connection write a byte and the other one read it.
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

// A connection is evicted only while it waits for a request: not once a request has been read that net/http has
// not reported yet, nor once the first byte of the next request was read early, after a response.
func TestEvictionSparesARequestBegun(t *testing.T) {
	conns := newTestConns(testLimits(2), 1)
	conn, client := connPair(t, conns, 0)
	other, _ := connPair(t, conns, 0)
	sendByte(t, client, conn) // a request
	conns.ConnStateChanged(conn, http.StateNew)
	conns.ConnStateChanged(conn, http.StateActive)
	sendByte(t, conn, client) // its response
	sendByte(t, client, conn) // the next request's first byte
	conns.ConnStateChanged(conn, http.StateIdle)
	conns.ConnStateChanged(other, http.StateNew) // one too many
	if conn.activity.evicting || !conns.OverLimit() {
		t.Fatal("a connection with a request on it was evicted")
	}
	sendByte(t, client, conn)
	sendByte(t, conn, client)
	conns.budget.limits.GracePeriods.Idle = testutil.Timeout
	conns.ConnStateChanged(conn, http.StateIdle)
	if conn.activity.evicting || !conns.OverLimit() {
		t.Fatal("a connection idle for a moment only was evicted")
	}
	conns.budget.limits.GracePeriods.Idle = 0
	conns.ConnStateChanged(other, http.StateActive)
	if !conn.activity.evicting || conns.OverLimit() {
		t.Fatal("the idle connection was not evicted")
	}
	conn.SetReadDeadline(time.Time{}) // net/http does so after it has reported that the connection is idle
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the wait for a request ended by %v", err)
	}
	conns.ConnStateChanged(conn, http.StateClosed)
	if conns.budget.evicting != 0 || len(conns.conns) != 1 {
		t.Errorf("%d of %d connections are being evicted, want none of 1", conns.budget.evicting, len(conns.conns))
	}
}

// A request that is unread in the kernel counts as begun: a close would reset the connection.
func TestEvictionSparesUnreadBytes(t *testing.T) {
	conns := newTestConns(testLimits(2), 1)
	conn, client := connPair(t, conns, 0)
	conns.ConnStateChanged(conn, http.StateNew)
	conns.ConnStateChanged(conn, http.StateIdle)
	io.WriteString(client, "GET")
	testutil.Until(t, "the bytes to arrive", func() bool { return socketpeek.IsReadable(conn.Conn) })
	if conns.EvictIdle(); conn.activity.evicting {
		t.Error("evicted with a request on it")
	}
	if text := make([]byte, 3); !readFull(conn, text) || string(text) != "GET" {
		t.Errorf("read %q", text)
	}
	conn.Write([]byte("response"))
	if conns.EvictIdle(); !conn.activity.evicting {
		t.Error("not evicted once it is answered")
	}
}

// The rest of a request that is unread in the kernel protects the connection, though the first part arrived so
// long ago that the read would be aborted.
func TestReadAbortSparesUnreadBytes(t *testing.T) {
	limits := testLimits(2)
	limits.GracePeriods.PartialRequest = 0
	conns := newTestConns(limits, 2)
	conn, client := connPair(t, conns, 0)
	io.WriteString(client, "GET")
	if text := make([]byte, 3); !readFull(conn, text) {
		t.Fatal("the first part is not read")
	}
	io.WriteString(client, " /v")
	testutil.Until(t, "the rest to arrive", func() bool { return socketpeek.IsReadable(conn.Conn) })
	conns.ConnStateChanged(conn, http.StateNew) // one too many
	silent, _ := net.Pipe()
	conns.ConnStateChanged(newConn(silent, conns, 0), http.StateNew)
	if conn.activity.evicting {
		t.Error("aborted with the rest of a request unread")
	}
	if text := make([]byte, 3); !readFull(conn, text) || string(text) != " /v" {
		t.Errorf("read %q", text)
	}
	conns.ConnStateChanged(newConn(silent, conns, 0), http.StateNew)
	if !conn.activity.evicting {
		t.Error("not aborted once all is read")
	}
}

// A client whose connection was accepted a moment ago has its request on the way: the connection is not evicted
// unread.
func TestNewConnectionIsReadWhileDraining(t *testing.T) {
	ours, theirs := net.Pipe()
	defer theirs.Close()
	defer ours.Close()
	conns := newTestConns(testLimits(10), 0)
	conn := newConn(ours, conns, 0)
	conns.budget.limits.GracePeriods.New = testutil.Timeout
	conns.ConnStateChanged(conn, http.StateNew)
	if conns.EvictIdle() != 1 || conn.activity.evicting {
		t.Error("evicted at once")
	}
	conns.budget.limits.GracePeriods.New = 0
	if conns.EvictIdle(); !conn.activity.evicting {
		t.Error("never evicted")
	}
}

// What is least useful is evicted first, and an open request never; each kind has its own grace period.
func TestEvictionRankAndGracePeriod(t *testing.T) {
	const begun, nothing = true, false
	grace := GracePeriods{Lingering: 1, PartialRequest: 2, New: 3, Idle: 4}
	for _, row := range []struct {
		name         string
		phase        Phase
		requestBegun bool
		rank         evictionRank
		grace        time.Duration
	}{
		{"last response written", PhaseLingering, nothing, rankLingering, 1},
		{"last response written, more has come", PhaseLingering, begun, rankLingering, 1},
		{"head read", PhaseReading, begun, rankPartialRequest, 2},
		{"connected, first bytes read", PhaseNew, begun, rankPartialRequest, 2},
		{"answered, first bytes of the next request read", PhaseIdle, begun, rankPartialRequest, 2},
		{"connected", PhaseNew, nothing, rankNew, 3},
		{"answered", PhaseIdle, nothing, rankIdle, 4},
		{"waits for its response", PhaseActive, begun, notEvictable, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			rank := activity{phase: row.phase}.rank(func() bool { return row.requestBegun })
			if rank != row.rank {
				t.Fatalf("rank %d, want %d", rank, row.rank)
			}
			if got := grace.forRank(rank); rank != notEvictable && got != row.grace {
				t.Errorf("a grace period of %d, want %d", got, row.grace)
			}
		})
	}
}

// A connection is exempt until its grace period is over, which comes sooner under pressure.
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
		{"at its end", rankIdle, period, 1, true},
		{"within the shortened grace period", rankIdle, period/pressureGraceDivisor - 1, pressureGraceDivisor, false},
		{"at the shortened end", rankIdle, period / pressureGraceDivisor, pressureGraceDivisor, true},
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

// While the node drains, what waits for a request is quiet, but a client that has just connected is not yet.
func TestQuietConnections(t *testing.T) {
	const begun, nothing = true, false
	grace := GracePeriods{New: 100 * time.Millisecond}
	for _, row := range []struct {
		name         string
		phase        Phase
		requestBegun bool
		age          time.Duration
		want         bool
	}{
		{"answered", PhaseIdle, nothing, 0, true},
		{"answered, first bytes of the next request read", PhaseIdle, begun, 0, true}, // evict looks at the bytes
		{"connected a moment ago", PhaseNew, nothing, grace.New - 1, false},
		{"connected, nothing has come", PhaseNew, nothing, grace.New, true},
		{"connected, first bytes read", PhaseNew, begun, time.Hour, false},
		{"head read", PhaseReading, begun, time.Hour, false},
		{"waits for its response", PhaseActive, begun, time.Hour, false},
		{"last response written", PhaseLingering, nothing, time.Hour, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			quiet := activity{phase: row.phase}.isIdle(row.age, grace, func() bool { return row.requestBegun })
			if quiet != row.want {
				t.Errorf("quiet: %v, want %v", quiet, row.want)
			}
		})
	}
}
