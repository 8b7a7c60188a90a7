// Package servermodel is a queueing model of one server, for simulations in tests. Only tests import it (the
// recovery tests of the root package); no program does.
//
// The model does no I/O and has no clock: its caller passes the time in. A server holds a bounded number of calls.
// Calls that need its cores share them equally (processor sharing); the others wait for something elsewhere and
// only occupy a slot. The model covers the causes of lasting overload: a limited queue, slow start, contention,
// and metastable degradation, where a server that was overloaded for a while stays slow until it has been nearly
// idle for a while. A server does not notice that a client has given up: it finishes the work.
package servermodel

import (
	"math"
	"time"
)

// Settings describe a server. Zero values switch a feature off.
type Settings struct {
	Cores int     // calls that are worked on at full speed
	Speed float64 // work done in a second by a core, in seconds of work
	Slots int     // calls held at once, in work and waiting elsewhere
	Queue int     // calls held beyond that, until a slot is free

	// A cold server begins at the part ColdFrom of its speed and has all of it after WarmCalls calls.
	ColdFrom  float64
	WarmCalls int

	// Each call in work beyond Knee costs the part Contention of a core's speed, as with a shared lock.
	Knee       int
	Contention float64

	// A server that holds DegradeAt calls or more for DegradeAfter is slower by the factor DegradeSlower,
	// until it has held at most the part RecoverBelow of DegradeAt for RecoverAfter.
	DegradeAt     float64
	DegradeAfter  time.Duration
	DegradeSlower float64
	RecoverBelow  float64
	RecoverAfter  time.Duration
}

// Call is a call offered to a server.
type Call struct {
	ID        int
	Work      time.Duration // time on an idle core of speed 1
	Elsewhere time.Duration // wait after the work, which needs no core
}

// Server is the state of one server. Its methods take the time now, which must not go back.
type Server struct {
	set      Settings
	now      time.Duration
	working  []*held
	waiting  []*held
	queue    []*held
	done     int // calls that were finished since the start
	degraded bool
	since    time.Duration // since when it is crowded, or, once degraded, nearly idle; negative: it is not
	cold     bool
}

// held is a call that the server holds.
type held struct {
	call Call
	left float64       // work, in seconds
	end  time.Duration // of the wait elsewhere
}

// New returns a server that starts at the time now, cold if so told.
func New(set Settings, now time.Duration, cold bool) *Server {
	return &Server{set: set, now: now, cold: cold, since: -1}
}

// Held is how many calls the server holds.
func (s *Server) Held() int { return len(s.working) + len(s.waiting) + len(s.queue) }

// Degraded says that the server is slow until it has rested.
func (s *Server) Degraded() bool { return s.degraded }

// Offer hands the server a call, which it takes unless it is full.
func (s *Server) Offer(now time.Duration, c Call) bool {
	s.advance(now)
	if s.Held() >= s.set.Slots+s.set.Queue {
		return false
	}
	h := &held{call: c, left: c.Work.Seconds()}
	if len(s.working)+len(s.waiting) < s.set.Slots {
		s.working = append(s.working, h)
	} else {
		s.queue = append(s.queue, h)
	}
	s.watchCrowd()
	return true
}

// Next is when the server is next to be asked for finished calls, if it holds any.
func (s *Server) Next() (at time.Duration, any bool) {
	at = s.workEnds()
	for _, h := range s.waiting {
		at = min(at, h.end)
	}
	return at, at < math.MaxInt64
}

// workEnds is when the work of a call ends next, if nothing changes until then.
func (s *Server) workEnds() time.Duration {
	at := time.Duration(math.MaxInt64)
	rate := s.rate()
	for _, h := range s.working {
		at = min(at, s.now+time.Duration(math.Ceil(h.left/rate*float64(time.Second))))
	}
	return at
}

// Finish brings the server up to now and returns the calls that have been finished.
func (s *Server) Finish(now time.Duration) (ids []int) {
	s.advance(now)
	kept := s.waiting[:0]
	for _, h := range s.waiting {
		if h.end <= now {
			ids = append(ids, h.call.ID)
			s.done++
		} else {
			kept = append(kept, h)
		}
	}
	s.waiting = kept
	for len(s.queue) > 0 && len(s.working)+len(s.waiting) < s.set.Slots {
		s.working = append(s.working, s.queue[0])
		s.queue = s.queue[1:]
	}
	s.watchCrowd()
	return ids
}

// rate is the work that each call in work gets done in a second.
func (s *Server) rate() float64 {
	n := float64(len(s.working))
	speed := s.set.Speed * s.Warmth() * min(1, float64(s.set.Cores)/max(1, n))
	if over := n - float64(s.set.Knee); s.set.Knee > 0 && over > 0 {
		speed /= 1 + s.set.Contention*over/float64(s.set.Cores)
	}
	if s.degraded {
		speed /= s.set.DegradeSlower
	}
	return speed
}

// Warmth is the part of its speed that the server has.
func (s *Server) Warmth() float64 {
	if !s.cold || s.set.WarmCalls == 0 {
		return 1
	}
	return min(1, s.set.ColdFrom+(1-s.set.ColdFrom)*float64(s.done)/float64(s.set.WarmCalls))
}

// roundingError is the work that may be left of a call that has ended, in seconds.
const roundingError = 1e-8

// advance does the work up to now.
func (s *Server) advance(now time.Duration) {
	for s.now < now {
		until := min(now, max(s.now+1, min(s.workEnds(), s.changeAt())))
		did := s.rate() * (until - s.now).Seconds()
		s.now = until
		kept := s.working[:0]
		for _, h := range s.working {
			if h.left -= did; h.left > roundingError {
				kept = append(kept, h)
				continue
			}
			h.end = until + h.call.Elsewhere
			s.waiting = append(s.waiting, h)
		}
		s.working = kept
		s.changeIfDue()
	}
}

// watchCrowd notes since when the server is crowded or nearly idle.
func (s *Server) watchCrowd() {
	if s.set.DegradeAt == 0 {
		return
	}
	n := float64(s.Held())
	counts := !s.degraded && n >= s.set.DegradeAt || s.degraded && n <= s.set.RecoverBelow*s.set.DegradeAt
	switch {
	case !counts:
		s.since = -1
	case s.since < 0:
		s.since = s.now
	}
}

// changeAt is when the server degrades or recovers if nothing changes until then.
func (s *Server) changeAt() time.Duration {
	if s.since < 0 {
		return math.MaxInt64
	}
	if s.degraded {
		return s.since + s.set.RecoverAfter
	}
	return s.since + s.set.DegradeAfter
}

func (s *Server) changeIfDue() {
	if s.changeAt() <= s.now {
		s.degraded = !s.degraded
		s.since = -1
		s.watchCrowd()
	}
}
