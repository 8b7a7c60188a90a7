package load

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"basaltdrum/internal/monotime"
)

// Arrivals generates the random arrival times of a Poisson process, starting at 0. They drive an open-loop load: no
// call waits for the response to another.
type Arrivals struct {
	rng          *rand.Rand
	meanInterval time.Duration
	last         time.Duration
}

// NewArrivals returns arrivals with a mean of rate per second. The same seed and stream give the same times.
func NewArrivals(rate float64, seed, stream uint64) *Arrivals {
	return &Arrivals{rng: rand.New(rand.NewPCG(seed, stream)), meanInterval: time.Duration(float64(time.Second) / rate)}
}

// Next returns the time of the next arrival.
func (a *Arrivals) Next() time.Duration {
	a.last += time.Duration(a.rng.ExpFloat64() * float64(a.meanInterval))
	return a.last
}

// timerResolution is how late the runtime's timers may fire while a process is idle. Run therefore sleeps the last part
// of a wait in a blocking system call, which holds a thread.
const timerResolution = 2 * time.Millisecond

// Run calls send at each arrival until length has passed or ctx ends. send gets the scheduled time, so that it can
// record how late it was called, and must not wait for a response.
func (a *Arrivals) Run(ctx context.Context, length time.Duration, send func(scheduled time.Time)) {
	start := time.Now()
	for at := a.Next(); at < length && ctx.Err() == nil; at = a.Next() {
		scheduled := start.Add(at)
		if wait := time.Until(scheduled); wait > timerResolution {
			monotime.Sleep(ctx, wait-timerResolution)
		}
		if wait := time.Until(scheduled); wait > 0 && ctx.Err() == nil {
			remaining := syscall.NsecToTimespec(int64(wait))
			_ = syscall.Nanosleep(&remaining, nil) // a signal may end it early, by timerResolution at most
		}
		if ctx.Err() == nil {
			send(scheduled)
		}
	}
}
