package servermodel

import (
	"slices"
	"testing"
	"time"
)

// completeAll completes all calls, and returns their ids and the time of the last completion.
func completeAll(s *Server) (ids []int, last time.Duration) {
	for at, found := s.NextCompletion(); found; at, found = s.NextCompletion() {
		ids, last = append(ids, s.Complete(at)...), at
	}
	return ids, last
}

// checkNear checks that a time is within a millisecond of the wanted one.
func checkNear(t *testing.T, what string, got, want time.Duration) {
	t.Helper()
	if d := got - want; d < -time.Millisecond || d > time.Millisecond {
		t.Errorf("%s after %v, want %v", what, got, want)
	}
}

// Two calls on one core share it equally, and a blocked call uses none of it.
func TestCallsShareTheCores(t *testing.T) {
	s := New(Settings{Cores: 1, Speed: 2, ConcurrencyLimit: 4}, 0, false)
	s.Offer(0, Call{ID: 1, Work: 200 * time.Millisecond})
	s.Offer(0, Call{ID: 2, Work: 200 * time.Millisecond, OffCPU: time.Second})
	ids, last := completeAll(s)
	if !slices.Equal(ids, []int{1, 2}) {
		t.Errorf("completed the calls %v, want 1 and 2 in this order", ids)
	}
	checkNear(t, "the last call ended", last, 1200*time.Millisecond)
}

// A call beyond the concurrency limit is queued, and one beyond the queue is rejected.
func TestFullServerRejects(t *testing.T) {
	s := New(Settings{Cores: 2, Speed: 1, ConcurrencyLimit: 2, QueueLimit: 1}, 0, false)
	for id, want := range []bool{true, true, true, false} {
		if got := s.Offer(0, Call{ID: id, Work: 100 * time.Millisecond}); got != want {
			t.Errorf("call %d: accepted is %v, want %v", id, got, want)
		}
	}
	ids, last := completeAll(s)
	if len(ids) != 3 {
		t.Errorf("completed the calls %v, want three", ids)
	}
	checkNear(t, "the queued call ended", last, 200*time.Millisecond)
}

// A server in slow start runs at a fraction of its speed, and at full speed after SlowStartCalls calls.
func TestSlowStartEndsAfterSomeCalls(t *testing.T) {
	s := New(Settings{Cores: 1, Speed: 1, ConcurrencyLimit: 1, SlowStartFloor: 0.5, SlowStartCalls: 2}, 0, true)
	now := time.Duration(0)
	for i, want := range []time.Duration{200, 134, 100, 100} {
		s.Offer(now, Call{ID: i, Work: 100 * time.Millisecond})
		_, last := completeAll(s)
		checkNear(t, "a call ended", last-now, want*time.Millisecond)
		now = last
	}
}

// A server that was overloaded for long enough stays slow after the overload ends, until it has been nearly idle for
// long enough.
func TestDegradedServerStaysSlowUntilItWasNearlyIdle(t *testing.T) {
	s := New(Settings{
		Cores: 4, Speed: 1, ConcurrencyLimit: 10, DegradeAt: 4, DegradeAfter: time.Second, DegradeFactor: 2,
		RecoverBelow: 0.5, RecoverAfter: 3 * time.Second,
	}, 0, false)
	for id := range 4 {
		s.Offer(0, Call{ID: id, Work: 1500 * time.Millisecond})
	}
	s.Complete(900 * time.Millisecond)
	if s.Degraded() {
		t.Error("degraded after 0.9 s of overload, want 1 s first")
	}
	_, last := completeAll(s)
	checkNear(t, "the overload ended", last, 2*time.Second)
	s.Offer(last, Call{ID: 9, Work: time.Second})
	_, last = completeAll(s)
	checkNear(t, "a call on the idle server ended", last, 4*time.Second)
	if s.Complete(4900 * time.Millisecond); !s.Degraded() {
		t.Error("recovered after 2.9 s of being nearly idle, want 3 s first")
	}
	if s.Complete(5100 * time.Millisecond); s.Degraded() {
		t.Error("still degraded after 3.1 s of being nearly idle, want it recovered after 3 s")
	}
}

// Contention makes each running call beyond the knee cost more than its share of the cores.
func TestContentionBeyondTheKnee(t *testing.T) {
	s := New(Settings{Cores: 2, Speed: 1, ConcurrencyLimit: 10, Knee: 2, Contention: 1}, 0, false)
	for id := range 4 {
		s.Offer(0, Call{ID: id, Work: 100 * time.Millisecond})
	}
	_, last := completeAll(s)
	checkNear(t, "four calls on two cores ended", last, 400*time.Millisecond)
}
