package servermodel

import (
	"math"
	"time"
)

// Call is a call offered to a server.
type Call struct {
	ID     int
	Work   time.Duration // time on an idle core of speed 1
	OffCPU time.Duration // time after the work for which the call is blocked and needs no core
}

// Server is the state of one server, a queue with processor sharing. Its methods take the time now, which must
// not go back.
type Server struct {
	settings    Settings
	now         time.Duration
	running     []*pending // share the cores
	blocked     []*pending // have done their work and wait off the CPU
	queued      []*pending // wait until one of the others ends
	completed   int        // calls since the start
	slowStart   bool
	degradation degradation
}

// pending is a call that was accepted and is not complete.
type pending struct {
	call         Call
	remaining    float64       // work, in seconds
	blockedUntil time.Duration // set once the work is done
}

// New returns a server that starts at the time now, in slow start or at its full speed.
func New(settings Settings, now time.Duration, slowStart bool) *Server {
	s := &Server{settings: settings, now: now, slowStart: slowStart}
	s.degradation = degradation{settings: &s.settings, since: notHolding}
	return s
}

// InFlight is how many calls the server has accepted and not completed, queued ones included.
func (s *Server) InFlight() int { return s.active() + len(s.queued) }

// active is how many calls count towards the concurrency limit.
func (s *Server) active() int { return len(s.running) + len(s.blocked) }

// Degraded says that the server is slow until it has been nearly idle for a while.
func (s *Server) Degraded() bool { return s.degradation.degraded }

// Offer offers a call to the server, and says whether the server accepts it. It rejects the call if its queue
// is full.
func (s *Server) Offer(now time.Duration, c Call) (accepted bool) {
	s.advance(now)
	if s.InFlight() >= s.settings.ConcurrencyLimit+s.settings.QueueLimit {
		return false
	}
	p := &pending{call: c, remaining: c.Work.Seconds()}
	if s.active() < s.settings.ConcurrencyLimit {
		s.running = append(s.running, p)
	} else {
		s.queued = append(s.queued, p)
	}
	s.degradation.observe(s.now, s.InFlight())
	return true
}

// NextCompletion is when to call Complete next, if the server has calls in flight. No call completes before; one
// may have done its work then and be blocked.
func (s *Server) NextCompletion() (at time.Duration, found bool) {
	at = s.nextWorkDone()
	for _, p := range s.blocked {
		at = min(at, p.blockedUntil)
	}
	return at, at < never
}

// nextWorkDone is when a call has done its work next, if nothing changes until then.
func (s *Server) nextWorkDone() time.Duration {
	at := never
	rate := s.callRate()
	for _, p := range s.running {
		at = min(at, s.now+time.Duration(math.Ceil(p.remaining/rate*float64(time.Second))))
	}
	return at
}

// Complete brings the server up to now and returns the calls that have completed since the last time.
func (s *Server) Complete(now time.Duration) (ids []int) {
	s.advance(now)
	remaining := s.blocked[:0]
	for _, p := range s.blocked {
		if p.blockedUntil <= now {
			ids = append(ids, p.call.ID)
			s.completed++
		} else {
			remaining = append(remaining, p)
		}
	}
	s.blocked = remaining
	for len(s.queued) > 0 && s.active() < s.settings.ConcurrencyLimit {
		s.running = append(s.running, s.queued[0])
		s.queued = s.queued[1:]
	}
	s.degradation.observe(s.now, s.InFlight())
	return ids
}

// callRate is the work that each running call gets done in a second, in seconds of work.
func (s *Server) callRate() float64 {
	running := float64(len(s.running))
	cores := float64(s.settings.Cores)
	rate := s.settings.Speed * s.SlowStartFraction() * min(1, cores/max(1, running))
	if over := running - float64(s.settings.Knee); s.settings.Knee > 0 && over > 0 {
		rate /= 1 + s.settings.Contention*over/cores
	}
	if s.Degraded() {
		rate /= s.settings.DegradeFactor
	}
	return rate
}

// SlowStartFraction is the share of its speed that the server has now, 1 after its slow start.
func (s *Server) SlowStartFraction() float64 {
	if !s.slowStart || s.settings.SlowStartCalls == 0 {
		return 1
	}
	floor := s.settings.SlowStartFloor
	return min(1, floor+(1-floor)*float64(s.completed)/float64(s.settings.SlowStartCalls))
}

// workTolerance is the work that counts as none, in seconds: rounding may leave so much of a call.
const workTolerance = 1e-8

// advance does the work up to now, in steps within which no rate changes. A step takes at least a nanosecond,
// so that rounding cannot stop the time.
func (s *Server) advance(now time.Duration) {
	for s.now < now {
		next := min(s.nextWorkDone(), s.degradation.nextChange())
		until := min(now, max(s.now+1, next))
		s.work(until)
		s.degradation.changeIfDue(s.now, s.InFlight())
	}
}

// work lets the running calls work until a time, at their present rate, and blocks those that have done theirs.
func (s *Server) work(until time.Duration) {
	done := s.callRate() * (until - s.now).Seconds()
	s.now = until
	running := s.running[:0]
	for _, p := range s.running {
		p.remaining -= done
		if p.remaining > workTolerance {
			running = append(running, p)
			continue
		}
		p.blockedUntil = until + p.call.OffCPU
		s.blocked = append(s.blocked, p)
	}
	s.running = running
}
