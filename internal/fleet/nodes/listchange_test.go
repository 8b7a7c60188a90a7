package nodes

import (
	"testing"
	"time"
)

// A change is in force at a node that has applied its version or a newer one.
func TestAppliedAt(t *testing.T) {
	first, second := time.Unix(1, 0), time.Unix(2, 0)
	h := &hollow{applied: []appliedVersion{{3, first}, {5, second}}}
	for _, test := range []struct {
		name string
		rev  int64
		want time.Time // zero: not applied
	}{
		{"older than the first", 2, first},
		{"the first", 3, first},
		{"superseded by a newer one", 4, second},
		{"the last", 5, second},
		{"not applied yet", 6, time.Time{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if at, applied := h.appliedAt(test.rev); applied == test.want.IsZero() || !at.Equal(test.want) {
				t.Errorf("appliedAt() = %v, %v; want %v", at, applied, test.want)
			}
		})
	}
}

// The times of a change are those of the nodes of its service. Each group of changes has separate figures.
func TestInForceByGroup(t *testing.T) {
	changedAt := time.Unix(100, 0)
	after := func(delay time.Duration) *hollow {
		return &hollow{applied: []appliedVersion{{2, changedAt.Add(delay)}}}
	}
	hollows := &Hollows{services: 2, nodes: []*hollow{
		after(10 * time.Millisecond), after(50 * time.Millisecond), after(30 * time.Millisecond), {},
	}}
	figures := hollows.inForceByGroup([]ListChange{
		{Group: "first", Service: 0, Rev: 2, AtNS: changedAt.UnixNano()},
		{Group: "second", Service: 1, Rev: 2, AtNS: changedAt.UnixNano()},
	})
	first, second := figures["first"], figures["second"]
	if first.Changes != 1 || first.Applied != 2 || first.Missed != 0 {
		t.Errorf("first group %+v, want one change that 2 nodes applied and none missed", first)
	}
	if first.Half.Worst != 10 || first.All.Worst != 30 {
		t.Errorf("first group %+v, want 10 ms at half of the nodes and 30 ms at all", first)
	}
	if second.Changes != 1 || second.Applied != 1 || second.Missed != 1 || second.All.Worst != 50 {
		t.Errorf("second group %+v, want one change that one node applied after 50 ms and one missed", second)
	}
}
