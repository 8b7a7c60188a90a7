package node

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"
)

// Timers fire in the order of their times, in whatever order they were set, and not before they are due.
func TestTimersFireInOrder(t *testing.T) {
	draws := rand.New(rand.NewPCG(1, 2))
	var queue timerQueue
	var want, got []int
	for range 100 {
		ms := draws.IntN(50)
		queue.set(time.Duration(ms)*time.Millisecond, strconv.Itoa(ms))
		want = append(want, ms)
	}
	slices.Sort(want)
	for now := range 50 {
		if at, ok := queue.next(); ok && at < time.Duration(now)*time.Millisecond {
			t.Fatalf("at %d ms: got a timer due at %v, want none overdue", now, at)
		}
		for token, due := queue.takeDue(time.Duration(now) * time.Millisecond); due; {
			if token != strconv.Itoa(now) {
				t.Errorf("got the timer of %s ms fired at %d ms, want it when it is due", token, now)
			}
			got = append(got, now)
			token, due = queue.takeDue(time.Duration(now) * time.Millisecond)
		}
	}
	if _, left := queue.next(); left || !slices.Equal(got, want) {
		t.Errorf("got timers fired at %v, want %v; timers left: %v, want none", got, want, left)
	}
}
