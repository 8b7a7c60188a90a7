package node

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"
)

// Timers fire in the order of their times, whatever order they were set in, and not before they are due.
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
			t.Fatalf("at %d ms the next timer is that of %v", now, at)
		}
		for token, due := queue.takeDue(time.Duration(now) * time.Millisecond); due; {
			if token != strconv.Itoa(now) {
				t.Errorf("%s fired at %d ms", token, now)
			}
			got = append(got, now)
			token, due = queue.takeDue(time.Duration(now) * time.Millisecond)
		}
	}
	if _, left := queue.next(); left || !slices.Equal(got, want) {
		t.Errorf("fired at %v, want %v; timers are left: %v", got, want, left)
	}
}
