package upstream

import (
	"slices"
	"testing"
	"time"

	"basaltdrum/internal/endpointlist"
)

// Two instances of a test.
var (
	instanceA = endpointlist.Instance{UID: "a", Address: "127.0.0.1:1"}
	instanceB = endpointlist.Instance{UID: "b", Address: "127.0.0.1:2"}
)

// newIdleConn returns a connection without a socket that has been idle, and reusable, since a clock time.
func newIdleConn(to endpointlist.Instance, since time.Duration) *conn {
	return &conn{instance: to, idleSince: since, reusableAt: since}
}

// newIdleConns returns connections that became idle in the order of the arguments.
func newIdleConns(conns ...*conn) idleConns {
	idle := idleConns{}
	for _, c := range conns {
		idle.put(c)
	}
	return idle
}

// The connection that became idle last is taken, unless it is not reusable yet, and only by its own instance.
func TestTakeReturnsTheNewestReusableConnection(t *testing.T) {
	older, newer, other := newIdleConn(instanceA, 1), newIdleConn(instanceA, 2), newIdleConn(instanceB, 3)
	for _, c := range []struct {
		name  string
		conns []*conn
		now   time.Duration
		want  *conn
	}{
		{name: "none is idle", now: 9},
		{name: "only to another instance", conns: []*conn{other}, now: 9},
		{name: "two are reusable", conns: []*conn{older, newer, other}, now: 9, want: newer},
		{name: "the newest becomes reusable at this moment", conns: []*conn{older, newer}, now: 2, want: newer},
		{name: "the newest is not reusable yet", conns: []*conn{older, newer}, now: 1, want: older},
		{name: "none is reusable yet", conns: []*conn{older, newer}, now: 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			idle := newIdleConns(c.conns...)
			if got := idle.take(instanceA, c.now); got != c.want {
				t.Fatalf("took %+v, want %+v", got, c.want)
			}
			left := len(c.conns)
			if c.want != nil {
				left--
			}
			if n := idle.count(); n != left || slices.Contains(idle[instanceA], c.want) && c.want != nil {
				t.Errorf("%d connections are left, want %d, without the one taken", n, left)
			}
		})
	}
}

// An instance whose connection was taken keeps its list until the connection comes back or is closed.
func TestListOfAnInstanceIsDeletedWithItsLastConnection(t *testing.T) {
	c := newIdleConn(instanceA, 1)
	idle := newIdleConns(c)
	idle.take(instanceA, 1)
	if _, kept := idle[instanceA]; !kept || idle.count() != 0 {
		t.Errorf("after the take: %v", idle)
	}
	idle.remove(c)
	if len(idle) != 0 {
		t.Errorf("after the close: %v", idle)
	}
}

func TestRemoveLeavesTheOtherConnections(t *testing.T) {
	first, second, other := newIdleConn(instanceA, 1), newIdleConn(instanceA, 2), newIdleConn(instanceB, 3)
	for _, c := range []struct {
		name   string
		remove *conn
		left   []*conn // to instanceA
	}{
		{"the first", first, []*conn{second}},
		{"the last", second, []*conn{first}},
		{"one of another instance", other, []*conn{first, second}},
		{"one that is in use", newIdleConn(instanceA, 4), []*conn{first, second}},
	} {
		t.Run(c.name, func(t *testing.T) {
			idle := newIdleConns(first, second, other)
			idle.remove(c.remove)
			if !slices.Equal(idle[instanceA], c.left) {
				t.Errorf("left are %v, want %v", idle[instanceA], c.left)
			}
			if newest := idle.newest(instanceA); newest != c.left[len(c.left)-1] {
				t.Errorf("the newest is %+v", newest)
			}
		})
	}
	if c := (idleConns{}).newest(instanceA); c != nil {
		t.Errorf("the newest of none is %+v", c)
	}
}

func TestLongestIdleOfAllInstances(t *testing.T) {
	oldest := newIdleConn(instanceB, 1)
	for _, c := range []struct {
		name string
		idle idleConns
		want *conn
	}{
		{"none is idle", idleConns{}, nil},
		{"an empty list alone", idleConns{instanceA: nil}, nil},
		{"of one instance", newIdleConns(oldest, newIdleConn(instanceB, 2)), oldest},
		{"of two instances", newIdleConns(newIdleConn(instanceA, 2), oldest), oldest},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.idle.longestIdle(); got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

func TestConnectionsExpireOnceTheyWereIdleForTheTimeout(t *testing.T) {
	const timeout = 10
	first, second, other := newIdleConn(instanceA, 1), newIdleConn(instanceA, 2), newIdleConn(instanceB, 3)
	for _, c := range []struct {
		name string
		now  time.Duration
		want []*conn
	}{
		{"just before the first", 10, nil},
		{"the first", 11, []*conn{first}},
		{"two of one instance", 12, []*conn{first, second}},
		{"all", 13, []*conn{first, second, other}},
	} {
		t.Run(c.name, func(t *testing.T) {
			idle := newIdleConns(first, second, other)
			got := idle.expired(c.now, timeout)
			slices.SortFunc(got, func(a, b *conn) int { return int(a.idleSince - b.idleSince) })
			if !slices.Equal(got, c.want) {
				t.Errorf("expired are %v, want %v", got, c.want)
			}
			if n := idle.count(); n != 3 {
				t.Errorf("%d connections are left, want all 3: the pool closes them", n)
			}
		})
	}
}
