// The endpoint list: complete lists and changes of it, applied to the servers that are known.

package balancer

import (
	"math"
	"time"
)

// server is a listed server, or one that left with calls of ours still out.
type server struct {
	Endpoint
	listed bool
	calls  int        // own calls in flight
	open   []*attempt // the same calls in order of sending

	streak   int // bad endings in a row
	level    int // doublings of the next ejection
	goods    int // good endings in a row
	until    time.Duration
	slow     float64 // mean log of latency over the class mean
	samples  int
	lastOK   time.Duration
	room     int           // own calls that it had taken when it refused one more
	full     time.Duration // no more than room until then
	refusals int           // in a row
	out      bool          // ruled out for the request at hand
	pooled   bool          // in this node's pool
	credit   credit        // to send to it while it is cold
	failing  map[*learned]fading
}

// isReady says that a server is listed and may be sent requests.
func (s *server) isReady() bool { return s.listed && s.State == Ready }

// takeList applies an update of the endpoint list and cuts the two groups anew.
func (b *Balancer) takeList(e EndpointUpdate) {
	if e.Complete {
		b.replaceServers(e.Endpoints)
	} else {
		b.changeServers(e.Endpoints)
	}
	cut := int(math.Ceil(alpha * float64(b.ready.len())))
	b.whole = groups{b.ready.all[:cut], b.ready.all[cut:]}
	b.width = 0
	if b.window == 0 {
		b.window, b.opening = windowFloor*b.fairServers(), true
	}
	if e.Cached {
		b.askAgain()
	} else {
		b.subFails = 0
	}
	b.release()
}

// changeServers applies the changed entries of the endpoint list, one by one.
func (b *Balancer) changeServers(entries []Endpoint) {
	for _, entry := range entries {
		b.changeServer(entry)
	}
	for _, entry := range entries { // at the end, as a server may be named twice
		if s := b.servers[entry.ID]; s != nil {
			b.forgetServer(s)
		}
	}
}

// changeServer applies a changed entry, and moves its server in the set of ready ones where it has to.
func (b *Balancer) changeServer(entry Endpoint) {
	s := b.servers[entry.ID]
	wasReady := s != nil && s.isReady()
	stays := wasReady && s.State == entry.State && s.Zone == entry.Zone && s.StartedAt == entry.StartedAt
	if wasReady && !stays {
		b.ready.remove(s)
	}
	s = b.update(entry)
	if s.isReady() && !stays {
		b.ready.insert(s)
	}
}

// replaceServers applies a complete endpoint list: a server that it does not name is gone.
func (b *Balancer) replaceServers(entries []Endpoint) {
	for _, s := range b.servers {
		s.listed = false
	}
	for _, entry := range entries {
		b.update(entry)
	}
	ready := make([]*server, 0, len(entries))
	for _, entry := range entries {
		if s := b.servers[entry.ID]; s.isReady() {
			ready = append(ready, s)
		}
	}
	b.ready.replace(ready)
	for _, s := range b.servers {
		b.forgetServer(s)
	}
}

// update takes over an entry of the endpoint list. A new boot time resets what is known of the server.
func (b *Balancer) update(entry Endpoint) *server {
	s := b.servers[entry.ID]
	if s == nil {
		s = &server{}
		b.servers[entry.ID] = s
	} else if s.StartedAt != entry.StartedAt {
		*s = server{calls: s.calls, open: s.open}
	}
	s.Endpoint = entry
	s.listed = entry.State != Removed
	return s
}

// forgetServer drops a server that has left the list once no call to it is out.
func (b *Balancer) forgetServer(s *server) {
	if !s.listed && s.calls == 0 {
		delete(b.servers, s.ID)
	}
}
