package servermodel

import (
	"slices"
	"testing"
	"time"
)

// drain finishes all calls and tells when the last one ended.
func drain(s *Server) (ids []int, last time.Duration) {
	for at, any := s.NextCompletion(); any; at, any = s.NextCompletion() {
		ids, last = append(ids, s.Complete(at)...), at
	}
	return ids, last
}

func near(t *testing.T, what string, got, want time.Duration) {
	t.Helper()
	if d := got - want; d < -time.Millisecond || d > time.Millisecond {
		t.Errorf("%s after %v, want %v", what, got, want)
	}
}

// Two calls on one core share it, and the wait elsewhere takes no part of it.
func TestCallsShareTheCores(t *testing.T) {
	s := New(Settings{Cores: 1, Speed: 2, ConcurrencyLimit: 4}, 0, false)
	s.Offer(0, Call{ID: 1, Work: 200 * time.Millisecond})
	s.Offer(0, Call{ID: 2, Work: 200 * time.Millisecond, OffCPU: time.Second})
	ids, last := drain(s)
	if !slices.Equal(ids, []int{1, 2}) {
		t.Errorf("finished %v", ids)
	}
	near(t, "the last call ended", last, 1200*time.Millisecond)
}

// A call beyond the slots waits, and one beyond the queue is not taken.
func TestFullServerTakesNoMore(t *testing.T) {
	s := New(Settings{Cores: 2, Speed: 1, ConcurrencyLimit: 2, QueueLimit: 1}, 0, false)
	for id, want := range []bool{true, true, true, false} {
		if got := s.Offer(0, Call{ID: id, Work: 100 * time.Millisecond}); got != want {
			t.Errorf("call %d taken: %v, want %v", id, got, want)
		}
	}
	ids, last := drain(s)
	if len(ids) != 3 {
		t.Errorf("finished %v", ids)
	}
	near(t, "the queued call ended", last, 200*time.Millisecond)
}

// A cold server has a part of its speed, and all of it after some calls.
func TestColdServerWarmsByCalls(t *testing.T) {
	s := New(Settings{Cores: 1, Speed: 1, ConcurrencyLimit: 1, SlowStartFloor: 0.5, SlowStartCalls: 2}, 0, true)
	now := time.Duration(0)
	for i, want := range []time.Duration{200, 134, 100, 100} {
		s.Offer(now, Call{ID: i, Work: 100 * time.Millisecond})
		_, last := drain(s)
		near(t, "a call ended", last-now, want*time.Millisecond)
		now = last
	}
}

// A server crowded for long enough stays slow, though less crowded, until it has rested.
func TestCrowdedServerStaysSlowUntilItHasRested(t *testing.T) {
	s := New(Settings{Cores: 4, Speed: 1, ConcurrencyLimit: 10, DegradeAt: 4, DegradeAfter: time.Second, DegradeFactor: 2,
		RecoverBelow: 0.5, RecoverAfter: 3 * time.Second}, 0, false)
	for id := range 4 {
		s.Offer(0, Call{ID: id, Work: 1500 * time.Millisecond})
	}
	s.Complete(900 * time.Millisecond)
	if s.Degraded() {
		t.Error("degraded before it was crowded for long enough")
	}
	_, last := drain(s)
	near(t, "the crowd ended", last, 2*time.Second)
	s.Offer(last, Call{ID: 9, Work: time.Second})
	_, last = drain(s)
	near(t, "a call on the idle server ended", last, 4*time.Second)
	if s.Complete(4900 * time.Millisecond); !s.Degraded() {
		t.Error("recovered before it had rested for long enough")
	}
	if s.Complete(5100 * time.Millisecond); s.Degraded() {
		t.Error("not recovered after its rest")
	}
}

// Contention makes calls beyond the knee cost more than their share.
func TestContentionBeyondTheKnee(t *testing.T) {
	s := New(Settings{Cores: 2, Speed: 1, ConcurrencyLimit: 10, Knee: 2, Contention: 1}, 0, false)
	for id := range 4 {
		s.Offer(0, Call{ID: id, Work: 100 * time.Millisecond})
	}
	_, last := drain(s)
	near(t, "four calls on two cores ended", last, 400*time.Millisecond)
}
