package standin

import (
	"testing"
)

func TestRotationKeepsTheListWhole(t *testing.T) {
	r := NewRotation(0, 12, "127.0.0.1:1")
	l := newList(r.entries)
	listed := func() int { return len(l.since(-1).Entries) }
	for i := range 3 * 12 {
		l.change(r.Next())
		if n := listed(); n < 11 || n > 12 || i%3 == 2 && n != 12 {
			t.Fatalf("after %d changes %d servers are listed", i+1, n)
		}
	}
	l.change(r.ChangeZone(false))
	for range 3 * 12 {
		l.change(r.Next())
		if n := listed(); n < 9 || n > 10 {
			t.Fatalf("%d servers are listed without a zone of 2", n)
		}
	}
	l.change(r.ChangeZone(true))
	if n := listed(); n != 12 {
		t.Fatalf("%d servers are listed after the return", n)
	}
	for _, target := range l.since(-1).Entries {
		if target.BootMS == 0 {
			t.Errorf("%s has not started anew", target.UID)
		}
	}
}
