// Package servermodel is a queueing model of one server, for simulations: it has no I/O and no clock of
// its own. A server holds a bounded number of calls. Those that need its cores share them equally
// (processor sharing); the others wait for something elsewhere and hold only their place. The model knows
// the failure modes that make overload last: a limited queue, cold starts, slowdown under contention, and
// metastable degradation, where a server that was crowded for a while stays slow until it has been nearly
// idle for a while. It does not notice that a caller has given up: the work goes on.
package servermodel

import (
	"math"
	"time"
)

// Settings describe a server. Zero values switch a feature off.
type Settings struct {
	Cores            int     // calls that are worked on at full speed
	Speed            float64 // work done in a second by a core, in seconds of work
	ConcurrencyLimit int     // calls held at once, in work and waiting elsewhere
	QueueLimit       int     // calls held beyond that, until a slot is free

	// A cold server begins at the part ColdFrom of its speed and has all of it after WarmCalls calls.
	SlowStartFloor float64
	SlowStartCalls int

	// Each call in work beyond Knee costs the part Contention of a core's speed, as with a shared lock.
	Knee       int
	Contention float64

	// A server that holds DegradeAt calls or more for DegradeAfter is slower by the factor DegradeSlower,
	// until it has held at most the part RecoverBelow of DegradeAt for RecoverAfter.
	DegradeAt     float64
	DegradeAfter  time.Duration
	DegradeFactor float64
	RecoverBelow  float64
	RecoverAfter  time.Duration
}

// Call is a call offered to a server.
type Call struct {
	ID     int
	Work   time.Duration // time on an idle core of speed 1
	OffCPU time.Duration // wait after the work, which needs no core
}

// Server is the state of one server. Its methods take the time now, which must not go back.
type Server struct {
	settings  Settings
	now       time.Duration
	running   []*pending
	blocked   []*pending
	queued    []*pending
	completed int // calls that were finished since the start
	degraded  bool
	since     time.Duration // since when it is crowded, or, once degraded, nearly idle; negative: it is not
	slowStart bool
}

// held is a call that the server holds.
type pending struct {
	call         Call
	remaining    float64       // work, in seconds
	blockedUntil time.Duration // of the wait elsewhere
}

// New returns a server that starts at the time now, cold if so told.
func New(settings Settings, now time.Duration, cold bool) *Server {
	return &Server{settings: settings, now: now, slowStart: cold, since: -1}
}

// Held is how many calls the server holds.
func (s *Server) InFlight() int { return len(s.running) + len(s.blocked) + len(s.queued) }

// Degraded says that the server is slow until it has rested.
func (s *Server) Degraded() bool { return s.degraded }

// Offer hands the server a call, which it takes unless it is full.
func (s *Server) Offer(now time.Duration, c Call) bool {
	s.advance(now)
	if s.InFlight() >= s.settings.ConcurrencyLimit+s.settings.QueueLimit {
		return false
	}
	h := &pending{call: c, remaining: c.Work.Seconds()}
	if len(s.running)+len(s.blocked) < s.settings.ConcurrencyLimit {
		s.running = append(s.running, h)
	} else {
		s.queued = append(s.queued, h)
	}
	s.watchCrowd()
	return true
}

// Next is when the server is next to be asked for finished calls, if it holds any.
func (s *Server) NextCompletion() (at time.Duration, any bool) {
	at = s.nextWorkDone()
	for _, h := range s.blocked {
		at = min(at, h.blockedUntil)
	}
	return at, at < math.MaxInt64
}

// workEnds is when the work of a call ends next, if nothing changes until then.
func (s *Server) nextWorkDone() time.Duration {
	at := time.Duration(math.MaxInt64)
	rate := s.callRate()
	for _, h := range s.running {
		at = min(at, s.now+time.Duration(math.Ceil(h.remaining/rate*float64(time.Second))))
	}
	return at
}

// Finish brings the server up to now and returns the calls that have been finished.
func (s *Server) Complete(now time.Duration) (ids []int) {
	s.advance(now)
	kept := s.blocked[:0]
	for _, h := range s.blocked {
		if h.blockedUntil <= now {
			ids = append(ids, h.call.ID)
			s.completed++
		} else {
			kept = append(kept, h)
		}
	}
	s.blocked = kept
	for len(s.queued) > 0 && len(s.running)+len(s.blocked) < s.settings.ConcurrencyLimit {
		s.running = append(s.running, s.queued[0])
		s.queued = s.queued[1:]
	}
	s.watchCrowd()
	return ids
}

// rate is the work that each call in work gets done in a second.
func (s *Server) callRate() float64 {
	n := float64(len(s.running))
	speed := s.settings.Speed * s.SlowStartFraction() * min(1, float64(s.settings.Cores)/max(1, n))
	if over := n - float64(s.settings.Knee); s.settings.Knee > 0 && over > 0 {
		speed /= 1 + s.settings.Contention*over/float64(s.settings.Cores)
	}
	if s.degraded {
		speed /= s.settings.DegradeFactor
	}
	return speed
}

// Warmth is the part of its speed that the server has.
func (s *Server) SlowStartFraction() float64 {
	if !s.slowStart || s.settings.SlowStartCalls == 0 {
		return 1
	}
	return min(1, s.settings.SlowStartFloor+(1-s.settings.SlowStartFloor)*float64(s.completed)/float64(s.settings.SlowStartCalls))
}

// roundingError is the work that may be left of a call that has ended, in seconds.
const workTolerance = 1e-8

// advance does the work up to now.
func (s *Server) advance(now time.Duration) {
	for s.now < now {
		until := min(now, max(s.now+1, min(s.nextWorkDone(), s.changeAt())))
		did := s.callRate() * (until - s.now).Seconds()
		s.now = until
		kept := s.running[:0]
		for _, h := range s.running {
			if h.remaining -= did; h.remaining > workTolerance {
				kept = append(kept, h)
				continue
			}
			h.blockedUntil = until + h.call.OffCPU
			s.blocked = append(s.blocked, h)
		}
		s.running = kept
		s.changeIfDue()
	}
}

// watchCrowd notes since when the server is crowded or nearly idle.
func (s *Server) watchCrowd() {
	if s.settings.DegradeAt == 0 {
		return
	}
	n := float64(s.InFlight())
	counts := !s.degraded && n >= s.settings.DegradeAt || s.degraded && n <= s.settings.RecoverBelow*s.settings.DegradeAt
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
		return s.since + s.settings.RecoverAfter
	}
	return s.since + s.settings.DegradeAfter
}

func (s *Server) changeIfDue() {
	if s.changeAt() <= s.now {
		s.degraded = !s.degraded
		s.since = -1
		s.watchCrowd()
	}
}
