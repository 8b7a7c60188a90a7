package admission

import (
	"testing"
)

// classWith returns a class of equal latency with a weight and counts.
func classWith(weight, arrivals, served float64) *Class {
	class := newClass()
	class.PriorityWeight = weight
	class.Traffic = &Traffic{arrivals: arrivals, served: served}
	return class
}

// In overload the lowest priority weight is rejected first, also where too few requests are queued to choose
// among; with nothing shed every class may fill the limit, and no class loses more than half of it.
func TestLimitIsSharedByPriorityWeight(t *testing.T) {
	low, middle, high := classWith(1, 10, 5), classWith(2, 10, 5), classWith(12, 10, 5)
	priorities := Priorities{TotalWeight: 0.6, Classes: []*Class{low, middle, high}}
	for _, c := range []struct {
		name        string
		class       *Class
		shed        float64
		least, most float64
	}{
		{"nothing shed, low weight", low, 0, 1, 1},
		{"nothing shed, high weight", high, 0, 1, 1},
		{"much shed, low weight", low, 0.6, 0.5, 0.7},
		{"much shed, high weight", high, 0.6, 1.3, 2},
		{"all shed, low weight", low, 1, minLimitShare, minLimitShare},
		{"all shed, high weight", high, 1, maxLimitShare, maxLimitShare},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := priorities.limitShare(c.class, false, c.shed); got < c.least || got > c.most {
				t.Errorf("a share of %.2f, want %v to %v", got, c.least, c.most)
			}
		})
	}
}

func TestPriorityFollowsWorthAndLatency(t *testing.T) {
	usual := classWith(1, 10, 5)
	slow := classWith(1, 10, 5)
	for range 200 {
		slow.Latency.Observe(float64(4 * meanLatency))
	}
	worst := classWith(1, 10, 1)
	late := classWith(1, 10, 5)
	late.LateValue = 0.5
	priorities := Priorities{TotalWeight: 1, WorstClassWeight: 0.5, Classes: []*Class{usual, slow, worst, late}}
	for _, c := range []struct {
		name          string
		higher, lower *Class
		retryOfTheLow bool
	}{
		{"an answer that takes less time", usual, slow, false},
		{"the class that is served worst", worst, usual, false},
		{"a first attempt against a retry", late, late, true},
		{"a retry without any worth", usual, usual, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			high, low := priorities.of(c.higher, false), priorities.of(c.lower, c.retryOfTheLow)
			if high <= low {
				t.Errorf("priority %v, want more than %v", high, low)
			}
		})
	}
}

// Counts decay with each request of any class.
func TestArrivalsDecay(t *testing.T) {
	first, second := classWith(1, 0, 0), classWith(1, 0, 0)
	priorities := Priorities{Classes: []*Class{first, second}}
	priorities.observeArrival(first)
	first.Traffic.ObserveOnTime()
	for range 1000 {
		priorities.observeArrival(second)
	}
	if first.Traffic.arrivals > 0.001 || first.Traffic.served > 0.001 {
		t.Errorf("%v arrivals and %v answers are left of one", first.Traffic.arrivals, first.Traffic.served)
	}
	if got := second.Traffic.arrivals; got < 99 || got > 101 {
		t.Errorf("%v arrivals in a row count as %.1f, want about 100", 1000, got)
	}
	if share := priorities.limitShare(first, false, 0); share != 1 {
		t.Errorf("a share of %v with nothing shed", share)
	}
}
