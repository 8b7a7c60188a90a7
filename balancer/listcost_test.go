package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// A change of one entry costs about as much in a long list as in a short one. The least of many short samples
// is taken, which hardly depends on what else the machine does.
func TestListChangeCostsLittleInALongList(t *testing.T) {
	const short, long, most = 100, 3200, 10
	costs := map[int]time.Duration{short: math.MaxInt64, long: math.MaxInt64}
	nodes, lists := map[int]*Balancer{}, map[int][]Endpoint{}
	for n := range costs {
		lists[n] = longList(n)
		nodes[n] = newBalancer(t, func(s *Settings) { s.Tier, s.Replicas = 1, 10 })
		nodes[n].Handle(0, EndpointUpdate{Complete: true, Endpoints: lists[n]})
	}
	for sample := range 300 {
		for n, b := range nodes {
			costs[n] = min(costs[n], listChangeCost(b, lists[n][sample*7%n]))
		}
	}
	t.Logf("a change takes %v of %d servers, %v of %d", costs[short], short, costs[long], long)
	if costs[long] > most*costs[short] {
		t.Errorf("a change takes %v of %d servers and %v of %d, want at most %d times as long",
			costs[short], short, costs[long], long, most)
	}
}

func longList(n int) (list []Endpoint) {
	for i := range n {
		list = append(list, Endpoint{ID: fmt.Sprintf("s%04d", i), Zone: fmt.Sprint("z", i%3)})
	}
	return list
}

// listChangeCost is how long one of a few changes takes, in which a server leaves and comes back.
func listChangeCost(b *Balancer, s Endpoint) time.Duration {
	const changes = 6
	begin := time.Now()
	for i := range changes {
		s.State = []EndpointState{Removed, Ready}[i%2]
		b.Handle(0, EndpointUpdate{Endpoints: []Endpoint{s}})
	}
	return time.Since(begin) / changes
}
