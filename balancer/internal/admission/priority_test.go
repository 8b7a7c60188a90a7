package admission

import (
	"testing"
)

// classWith returns a class with this weight and these counts; all classes have the same latency.
func classWith(weight, arrivals, onTime float64) *Class {
	class := newClass()
	class.PriorityWeight = weight
	class.Traffic = &Traffic{arrivals: arrivals, onTime: onTime}
	return class
}

// In overload the class with the lowest priority weight is rejected first, even if too few requests are
// queued to choose among. With nothing shed every class may use the whole limit, and no class loses more than
// half of it.
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
				t.Errorf("limit share: got %.2f, want %v to %v", got, c.least, c.most)
			}
		})
	}
}

func TestPriorityFollowsValueAndLatency(t *testing.T) {
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
		lowerIsRetry  bool
	}{
		{"a response that takes less time", usual, slow, false},
		{"the worst-served class", worst, usual, false},
		{"a first attempt against a retry", late, late, true},
		{"a retry without any value", usual, usual, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			high, low := priorities.priority(c.higher, false), priorities.priority(c.lower, c.lowerIsRetry)
			if high <= low {
				t.Errorf("priority: got %v, want more than %v", high, low)
			}
		})
	}
}

// The counts of all classes decay with each request of any class.
func TestArrivalsDecay(t *testing.T) {
	first, second := classWith(1, 0, 0), classWith(1, 0, 0)
	priorities := Priorities{Classes: []*Class{first, second}}
	priorities.observeArrival(first)
	first.Traffic.ObserveOnTime()
	for range 1000 {
		priorities.observeArrival(second)
	}
	if first.Traffic.arrivals > 0.001 || first.Traffic.onTime > 0.001 {
		t.Errorf("after 1,000 requests of another class: got %v arrivals and %v responses, want at most 0.001",
			first.Traffic.arrivals, first.Traffic.onTime)
	}
	if got := second.Traffic.arrivals; got < 99 || got > 101 {
		t.Errorf("count after %v arrivals: got %.1f, want about 100", 1000, got)
	}
	if share := priorities.limitShare(first, false, 0); share != 1 {
		t.Errorf("limit share with nothing shed: got %v, want 1", share)
	}
}
