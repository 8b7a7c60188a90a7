package downstream

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"basaltdrum/internal/monotime"
	"basaltdrum/internal/socketpeek"
	"basaltdrum/internal/testutil"
)

// A connection is evicted only while it waits for a request: not once a request has been read that net/http has
// not reported yet, nor once the first byte of the next request was read early, after a response.
func TestEvictionSparesARequestBegun(t *testing.T) {
	f := NewConns(monotime.New(), testLimits(2), func() int { return 1 })
	say := func(from, to net.Conn) {
		t.Helper()
		to.SetReadDeadline(time.Now().Add(testutil.Limit))
		if _, err := from.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		if _, err := to.Read(make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
	}
	a, peer := downstreamPair(t, f, 0)
	b, _ := downstreamPair(t, f, 0)
	say(peer, a) // a request
	f.ConnStateChanged(a, http.StateNew)
	f.ConnStateChanged(a, http.StateActive)
	say(a, peer) // its answer
	say(peer, a) // the next request's first byte
	f.ConnStateChanged(a, http.StateIdle)
	f.ConnStateChanged(b, http.StateNew) // one too many
	if a.evicted || !f.OverLimit() {
		t.Fatal("a connection with a request on it was evicted")
	}
	say(peer, a)
	say(a, peer)
	f.limits.GracePeriods.Idle = testutil.Limit
	f.ConnStateChanged(a, http.StateIdle)
	if a.evicted || !f.OverLimit() {
		t.Fatal("a connection idle for a moment only was evicted")
	}
	f.limits.GracePeriods.Idle = 0
	f.ConnStateChanged(b, http.StateActive)
	if !a.evicted || f.OverLimit() {
		t.Fatal("the idle connection was not evicted")
	}
	a.SetReadDeadline(time.Time{}) // net/http does, after it has said that it is idle
	if _, err := a.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the wait goes on: %v", err)
	}
	f.ConnStateChanged(a, http.StateClosed)
	if f.evicting != 0 || len(f.conns) != 1 {
		t.Errorf("%d leaving of %d", f.evicting, len(f.conns))
	}
}

// A request that is unread in the kernel counts as begun: a close would reset the connection.
func TestEvictionSparesUnreadBytes(t *testing.T) {
	f := NewConns(monotime.New(), testLimits(2), func() int { return 1 })
	c, theirs := downstreamPair(t, f, 0)
	f.ConnStateChanged(c, http.StateNew)
	f.ConnStateChanged(c, http.StateIdle)
	io.WriteString(theirs, "GET")
	testutil.Until(t, "the bytes to arrive", func() bool { return socketpeek.HasUnreadOrClosed(c.Conn) })
	if f.EvictQuiet(); c.evicted {
		t.Error("evicted with a request on it")
	}
	if text := make([]byte, 3); !readsAll(c, text) || string(text) != "GET" {
		t.Errorf("read %q", text)
	}
	c.Write([]byte("answer"))
	if f.EvictQuiet(); !c.evicted {
		t.Error("not evicted once it is answered")
	}
}

// The rest of a request that is unread in the kernel protects the connection, though the first part arrived so
// long ago that the read would be aborted.
func TestReadAbortSparesUnreadBytes(t *testing.T) {
	f := NewConns(monotime.New(), testLimits(2), func() int { return 2 })
	f.limits.GracePeriods.PartialRequest = 0
	c, theirs := downstreamPair(t, f, 0)
	io.WriteString(theirs, "GET")
	if text := make([]byte, 3); !readsAll(c, text) {
		t.Fatal("the first part is not read")
	}
	io.WriteString(theirs, " /v")
	testutil.Until(t, "the rest to arrive", func() bool { return socketpeek.HasUnreadOrClosed(c.Conn) })
	f.ConnStateChanged(c, http.StateNew) // one too many
	other, _ := net.Pipe()
	f.ConnStateChanged(&Conn{Conn: other, conns: f}, http.StateNew)
	if c.evicted {
		t.Error("aborted with the rest of a request unread")
	}
	if text := make([]byte, 3); !readsAll(c, text) || string(text) != " /v" {
		t.Errorf("read %q", text)
	}
	f.ConnStateChanged(&Conn{Conn: other, conns: f}, http.StateNew)
	if !c.evicted {
		t.Error("not aborted once all is read")
	}
}

// A client whose connection was accepted a moment ago has its request on the way: the connection is not evicted
// unread.
func TestNewConnectionIsReadWhileDraining(t *testing.T) {
	one, other := net.Pipe()
	defer other.Close()
	defer one.Close()
	s := NewConns(monotime.New(), testLimits(10), func() int { return 0 })
	c := &Conn{Conn: one, conns: s}
	s.limits.GracePeriods.New = testutil.Limit
	s.ConnStateChanged(c, http.StateNew)
	if s.EvictQuiet() != 1 || c.evicted {
		t.Error("evicted at once")
	}
	s.limits.GracePeriods.New = 0
	if s.EvictQuiet(); !c.evicted {
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
			c := &Conn{requestBegun: row.requestBegun, connActivity: connActivity{phase: row.phase}}
			rank := c.evictionRank()
			if rank != row.rank {
				t.Fatalf("rank %d, want %d", rank, row.rank)
			}
			if got := grace.of(rank); rank != notEvictable && got != row.grace {
				t.Errorf("a grace period of %d, want %d", got, row.grace)
			}
		})
	}
}
