package servermodel

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"
)

// TestSeededRunsStayTheSame guards against unintended changes of the model: it compares hashes of all that can be
// observed in seeded runs with hashes from before the package was split into several files.
func TestSeededRunsStayTheSame(t *testing.T) {
	warm := Settings{
		Cores: 2, Speed: 0.85, ConcurrencyLimit: 13, QueueLimit: 2, SlowStartFloor: 0.35, SlowStartCalls: 60,
		Knee: 4, Contention: 0.6, DegradeAt: 8.6, DegradeAfter: 400 * time.Millisecond, DegradeFactor: 2.5,
		RecoverBelow: 0.5, RecoverAfter: 300 * time.Millisecond,
	}
	for _, tt := range []struct {
		name      string
		settings  Settings
		slowStart bool
		want      uint64
	}{
		{"all mechanisms, warm", warm, false, 0x752116784eff88eb},
		{"all mechanisms, slow start", warm, true, 0x537dd97891311966},
		{"no mechanism", Settings{Cores: 3, Speed: 1.1, ConcurrencyLimit: 50}, false, 0x6db369429677afd9},
		{"slow start alone", Settings{
			Cores: 3, Speed: 1.1, ConcurrencyLimit: 5, QueueLimit: 60, SlowStartFloor: 0.2, SlowStartCalls: 300,
		}, true, 0x5a53c16e9cbd6fc5},
	} {
		if got, changes := hashOfRun(tt.settings, tt.slowStart); got != tt.want {
			t.Errorf("%s: hash %#x, want %#x (degraded or recovered %d times)", tt.name, got, tt.want, changes)
		}
	}
}

// hashOfRun offers calls in bursts to a server and completes them at the times of NextCompletion. It returns a hash of
// all that can be observed, and how many times the server degraded or recovered.
func hashOfRun(settings Settings, slowStart bool) (hash uint64, changes int) {
	rng := rand.New(rand.NewPCG(1, 2))
	observed := fnv.New64a()
	s := New(settings, 0, slowStart)
	degraded := false
	record := func(now time.Duration, result any) {
		fmt.Fprintln(observed, now, result, s.InFlight(), s.Degraded(), s.SlowStartFraction())
		if s.Degraded() != degraded {
			degraded = !degraded
			changes++
		}
	}
	now := time.Duration(0)
	for id := range 3000 {
		pause := 120 * time.Millisecond
		if id%500 < 150 {
			pause = 4 * time.Millisecond
		}
		now += time.Duration(rng.ExpFloat64() * float64(pause))
		for at, found := s.NextCompletion(); found && at <= now; at, found = s.NextCompletion() {
			record(at, s.Complete(at))
		}
		call := Call{ID: id, Work: time.Duration(rng.ExpFloat64() * float64(30*time.Millisecond))}
		if id%3 == 0 {
			call.OffCPU = time.Duration(rng.ExpFloat64() * float64(20*time.Millisecond))
		}
		record(now, s.Offer(now, call))
	}
	return observed.Sum64(), changes
}
