package fleet

import (
	"fmt"
	"sync"
	"time"
)

// rotation is one list as the run changes it: one server after the other drains, goes and comes back. One
// server at most is out at a time, but for a zone that is lost.
type rotation struct {
	service int

	mu      sync.Mutex
	targets []Target // as they are when in service
	at      int      // the server whose turn it is
	step    int
	lost    bool // the first zone is
}

func newRotation(service, servers int, endpoint string) *rotation {
	r := &rotation{service: service}
	for i := range servers {
		r.targets = append(r.targets, Target{
			UID: fmt.Sprintf("s-%d-%d", service, i), Endpoint: endpoint,
			Zone: zones[i%len(zones)], Model: "m1", Cell: i % 10, State: inService, Capacity: 1,
		})
	}
	return r
}

// next is the next change of one server, or none if all that could change are lost.
func (r *rotation) next() []Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	for range r.targets {
		if !r.lost || r.targets[r.at].Zone != zones[0] {
			break
		}
		r.at, r.step = (r.at+1)%len(r.targets), 0
	}
	t := &r.targets[r.at]
	if r.lost && t.Zone == zones[0] {
		return nil
	}
	news := *t
	news.State = []string{terminating, terminated, inService}[r.step]
	if r.step++; r.step == 3 {
		t.BootMS = time.Now().UnixMilli()
		news.BootMS = t.BootMS
		r.step, r.at = 0, (r.at+1)%len(r.targets)
	}
	return []Target{news}
}

// restart is the last server, started anew.
func (r *rotation) restart() []Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := &r.targets[len(r.targets)-1]
	t.BootMS = time.Now().UnixMilli()
	return []Target{*t}
}

// zone is all servers of the first zone, gone, or back with a new start.
func (r *rotation) zone(back bool) []Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost = !back
	var news []Target
	for i := range r.targets {
		t := &r.targets[i]
		if t.Zone != zones[0] {
			continue
		}
		n := *t
		n.State = terminated
		if back {
			t.BootMS = time.Now().UnixMilli()
			n = *t
		}
		news = append(news, n)
	}
	return news
}
