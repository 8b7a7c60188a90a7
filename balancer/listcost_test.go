package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// A change of one entry costs about as much in a long list as in a short one. The test compares the minimum
// of many short samples, which hardly depends on the other load of the machine.
func TestListChangeCostsLittleInALongList(t *testing.T) {
	const short, long, maxRatio = 100, 3200, 10
	costs := map[int]time.Duration{short: math.MaxInt64, long: math.MaxInt64}
	balancers, lists := map[int]*Balancer{}, map[int][]Endpoint{}
	for n := range costs {
		lists[n] = zonedList(n)
		balancers[n] = newBalancer(t, func(s *Settings) { s.Tier, s.Replicas = 1, 10 })
		balancers[n].Handle(0, EndpointUpdate{Complete: true, Endpoints: lists[n]})
	}
	for sample := range 300 {
		for n, b := range balancers {
			costs[n] = min(costs[n], measureListChange(b, lists[n][sample*7%n]))
		}
	}
	t.Logf("a change takes %v in a list of %d endpoints and %v in one of %d",
		costs[short], short, costs[long], long)
	if costs[long] > maxRatio*costs[short] {
		t.Errorf("a change takes %v in a list of %d endpoints, %v in one of %d, want at most %d times as long",
			costs[short], short, costs[long], long, maxRatio)
	}
}

// zonedList returns a list of n endpoints in three zones.
func zonedList(n int) (list []Endpoint) {
	for i := range n {
		list = append(list, Endpoint{ID: fmt.Sprintf("s%04d", i), Zone: fmt.Sprint("z", i%3)})
	}
	return list
}

// measureListChange returns the mean duration of a change, over a few changes in which an endpoint is removed
// and added again.
func measureListChange(b *Balancer, ep Endpoint) time.Duration {
	const changes = 6
	start := time.Now()
	for i := range changes {
		ep.State = []EndpointState{Removed, Ready}[i%2]
		b.Handle(0, EndpointUpdate{Endpoints: []Endpoint{ep}})
	}
	return time.Since(start) / changes
}
