package upstream

import (
	"slices"
	"testing"
	"time"

	"basaltdrum/internal/endpointlist"
)

// Instances of two endpoints.
var (
	instanceA = endpointlist.Instance{UID: "a", Address: "127.0.0.1:1"}
	instanceB = endpointlist.Instance{UID: "b", Address: "127.0.0.1:2"}
)

// newIdleConn returns a connection without a socket that has been idle and reusable since a clock time.
func newIdleConn(instance endpointlist.Instance, since time.Duration) *conn {
	return &conn{instance: instance, idleSince: since, reusableAt: since}
}

// newIdleConns returns connections that became idle in the order of the arguments.
func newIdleConns(conns ...*conn) idleConns {
	idle := idleConns{}
	for _, c := range conns {
		idle.put(c)
	}
	return idle
}

// take returns the connection to the given instance that became idle last, among those that are already reusable.
func TestTakeReturnsTheNewestReusableConnection(t *testing.T) {
	older, newer, other := newIdleConn(instanceA, 1), newIdleConn(instanceA, 2), newIdleConn(instanceB, 3)
	for _, test := range []struct {
		name  string
		conns []*conn
		now   time.Duration
		want  *conn
	}{
		{name: "none is idle", now: 9},
		{name: "only a connection to another instance", conns: []*conn{other}, now: 9},
		{name: "two are reusable", conns: []*conn{older, newer, other}, now: 9, want: newer},
		{name: "the newest becomes reusable at this moment", conns: []*conn{older, newer}, now: 2, want: newer},
		{name: "the newest is not reusable yet", conns: []*conn{older, newer}, now: 1, want: older},
		{name: "none is reusable yet", conns: []*conn{older, newer}, now: 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			idle := newIdleConns(test.conns...)
			if got := idle.take(instanceA, test.now); got != test.want {
				t.Fatalf("took %+v, want %+v", got, test.want)
			}
			left := len(test.conns)
			if test.want != nil {
				left--
			}
			if n := idle.count(); n != left || slices.Contains(idle[instanceA], test.want) && test.want != nil {
				t.Errorf("%d connections are left, want %d, without the taken one", n, left)
			}
		})
	}
}

// An instance whose connection was taken keeps its list until the connection is removed.
func TestListOfAnInstanceIsDeletedWithItsLastConnection(t *testing.T) {
	c := newIdleConn(instanceA, 1)
	idle := newIdleConns(c)
	idle.take(instanceA, 1)
	if _, kept := idle[instanceA]; !kept || idle.count() != 0 {
		t.Errorf("after take: %v, want an empty list of the instance", idle)
	}
	idle.remove(c)
	if len(idle) != 0 {
		t.Errorf("after remove: %v, want no list", idle)
	}
}

func TestRemoveLeavesTheOtherConnections(t *testing.T) {
	first, second, other := newIdleConn(instanceA, 1), newIdleConn(instanceA, 2), newIdleConn(instanceB, 3)
	for _, test := range []struct {
		name   string
		remove *conn
		left   []*conn // to instanceA
	}{
		{"the first", first, []*conn{second}},
		{"the last", second, []*conn{first}},
		{"one of another instance", other, []*conn{first, second}},
		{"one that is in use", newIdleConn(instanceA, 4), []*conn{first, second}},
	} {
		t.Run(test.name, func(t *testing.T) {
			idle := newIdleConns(first, second, other)
			idle.remove(test.remove)
			if !slices.Equal(idle[instanceA], test.left) {
				t.Errorf("remaining connections %v, want %v", idle[instanceA], test.left)
			}
			if newest := idle.newest(instanceA); newest != test.left[len(test.left)-1] {
				t.Errorf("the newest is %+v, want %+v", newest, test.left[len(test.left)-1])
			}
		})
	}
	if c := (idleConns{}).newest(instanceA); c != nil {
		t.Errorf("the newest without connections is %+v, want nil", c)
	}
}

func TestLongestIdleOfAllInstances(t *testing.T) {
	oldest := newIdleConn(instanceB, 1)
	for _, test := range []struct {
		name string
		idle idleConns
		want *conn
	}{
		{"none is idle", idleConns{}, nil},
		{"an empty list alone", idleConns{instanceA: nil}, nil},
		{"of one instance", newIdleConns(oldest, newIdleConn(instanceB, 2)), oldest},
		{"of two instances", newIdleConns(newIdleConn(instanceA, 2), oldest), oldest},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.idle.longestIdle(); got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}

func TestConnectionsExpireOnceTheyWereIdleForTheTimeout(t *testing.T) {
	const timeout = 10
	first, second, other := newIdleConn(instanceA, 1), newIdleConn(instanceA, 2), newIdleConn(instanceB, 3)
	for _, test := range []struct {
		name string
		now  time.Duration
		want []*conn
	}{
		{"just before the first", 10, nil},
		{"the first", 11, []*conn{first}},
		{"two of one instance", 12, []*conn{first, second}},
		{"all", 13, []*conn{first, second, other}},
	} {
		t.Run(test.name, func(t *testing.T) {
			idle := newIdleConns(first, second, other)
			got := idle.expired(test.now, timeout)
			slices.SortFunc(got, func(a, b *conn) int { return int(a.idleSince - b.idleSince) })
			if !slices.Equal(got, test.want) {
				t.Errorf("expired connections %v, want %v", got, test.want)
			}
			if n := idle.count(); n != 3 {
				t.Errorf("%d connections are left, want 3: expired does not remove any", n)
			}
		})
	}
}
