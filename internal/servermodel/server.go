package servermodel

import (
	"math"
	"time"
)

// Call is a call offered to a server.
type Call struct {
	ID     int
	Work   time.Duration // time on an idle core of speed 1
	OffCPU time.Duration // time after the work during which the call is blocked and needs no core
}

// Server is the state of one server, a queue with processor sharing. Its methods take the current time, which must
// not decrease.
type Server struct {
	settings    Settings
	now         time.Duration
	running     []*pendingCall // share the cores
	blocked     []*pendingCall // have completed their work and wait off the CPU
	queued      []*pendingCall // wait for a running or blocked call to complete
	completed   int            // number of calls since the start
	slowStart   bool
	degradation degradation
}

// pendingCall is a call that was accepted and is not complete.
type pendingCall struct {
	call          Call
	remainingWork float64       // in seconds on an idle core of speed 1
	blockedUntil  time.Duration // set when the work is completed
}

// New returns a server that starts now, in slow start or at full speed.
func New(settings Settings, now time.Duration, slowStart bool) *Server {
	s := &Server{settings: settings, now: now, slowStart: slowStart}
	s.degradation = degradation{settings: &s.settings, conditionSince: conditionNotMet}
	return s
}

// InFlight returns the number of calls that were accepted and are not complete, including queued ones.
func (s *Server) InFlight() int { return s.active() + len(s.queued) }

// active returns the number of calls that count towards the concurrency limit.
func (s *Server) active() int { return len(s.running) + len(s.blocked) }

// Degraded reports whether the server is slowed down. It stays so until it has been nearly idle for a while.
func (s *Server) Degraded() bool { return s.degradation.degraded }

// Offer offers a call to the server and reports whether the server accepts it. The server rejects the call if its
// queue is full.
func (s *Server) Offer(now time.Duration, c Call) (accepted bool) {
	s.advance(now)
	if s.InFlight() >= s.settings.ConcurrencyLimit+s.settings.QueueLimit {
		return false
	}
	p := &pendingCall{call: c, remainingWork: c.Work.Seconds()}
	if s.active() < s.settings.ConcurrencyLimit {
		s.running = append(s.running, p)
	} else {
		s.queued = append(s.queued, p)
	}
	s.degradation.observe(s.now, s.InFlight())
	return true
}

// NextCompletion returns when to call Complete next, if the server has calls in flight. No call completes earlier, and
// none may complete then either: a call that finishes its work can still be blocked.
func (s *Server) NextCompletion() (at time.Duration, found bool) {
	at = s.nextWorkDone()
	for _, p := range s.blocked {
		at = min(at, p.blockedUntil)
	}
	return at, at < never
}

// nextWorkDone returns when the next running call finishes its work if nothing changes before, or never.
func (s *Server) nextWorkDone() time.Duration {
	at := never
	rate := s.callRate()
	for _, p := range s.running {
		at = min(at, s.now+time.Duration(math.Ceil(p.remainingWork/rate*float64(time.Second))))
	}
	return at
}

// Complete advances the server to now, and returns the ids of the calls that have completed since it was last called.
func (s *Server) Complete(now time.Duration) (ids []int) {
	s.advance(now)
	stillBlocked := s.blocked[:0]
	for _, p := range s.blocked {
		if p.blockedUntil <= now {
			ids = append(ids, p.call.ID)
			s.completed++
		} else {
			stillBlocked = append(stillBlocked, p)
		}
	}
	s.blocked = stillBlocked
	for len(s.queued) > 0 && s.active() < s.settings.ConcurrencyLimit {
		s.running = append(s.running, s.queued[0])
		s.queued = s.queued[1:]
	}
	s.degradation.observe(s.now, s.InFlight())
	return ids
}

// callRate returns how much work the server does per second for each running call, in seconds of work.
func (s *Server) callRate() float64 {
	running := float64(len(s.running))
	cores := float64(s.settings.Cores)
	rate := s.settings.Speed * s.SlowStartFraction() * min(1, cores/max(1, running))
	if excess := running - float64(s.settings.Knee); s.settings.Knee > 0 && excess > 0 {
		rate /= 1 + s.settings.Contention*excess/cores
	}
	if s.Degraded() {
		rate /= s.settings.DegradeFactor
	}
	return rate
}

// SlowStartFraction returns the fraction of its speed at which the server runs, which is 1 after its slow start.
func (s *Server) SlowStartFraction() float64 {
	if !s.slowStart || s.settings.SlowStartCalls == 0 {
		return 1
	}
	floor := s.settings.SlowStartFloor
	return min(1, floor+(1-floor)*float64(s.completed)/float64(s.settings.SlowStartCalls))
}

// workToleranceSeconds is the remaining work at which a call counts as finished: rounding may leave this much.
const workToleranceSeconds = 1e-8

// advance does the work up to now, in steps within which no rate changes. A step takes at least a nanosecond,
// so that rounding cannot keep the loop from reaching now.
func (s *Server) advance(now time.Duration) {
	for s.now < now {
		next := min(s.nextWorkDone(), s.degradation.nextChange())
		until := min(now, max(s.now+1, next))
		s.work(until)
		s.degradation.changeIfDue(s.now, s.InFlight())
	}
}

// work runs the running calls until a time at their current rate, and moves those that finish to the blocked calls.
func (s *Server) work(until time.Duration) {
	// The conversion rounds the product: otherwise some machines fuse it with the subtraction, and seeded runs differ.
	done := float64(s.callRate() * (until - s.now).Seconds())
	s.now = until
	running := s.running[:0]
	for _, p := range s.running {
		p.remainingWork -= done
		if p.remainingWork > workToleranceSeconds {
			running = append(running, p)
			continue
		}
		p.blockedUntil = until + p.call.OffCPU
		s.blocked = append(s.blocked, p)
	}
	s.running = running
}
