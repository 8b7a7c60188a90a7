package load

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"basaltdrum/internal/monotime"
)

// Arrivals draws the times of a Poisson process, counted from 0. It makes an open-loop load: no call waits for the
// answer to another.
type Arrivals struct {
	rng  *rand.Rand
	mean time.Duration
	at   time.Duration
}

// NewArrivals draws rate arrivals a second. The same seeds give the same times.
func NewArrivals(rate float64, seed, stream uint64) *Arrivals {
	return &Arrivals{rng: rand.New(rand.NewPCG(seed, stream)), mean: time.Duration(float64(time.Second) / rate)}
}

// Next returns the time of the next arrival.
func (a *Arrivals) Next() time.Duration {
	a.at += time.Duration(a.rng.ExpFloat64() * float64(a.mean))
	return a.at
}

// timerResolution is how late the runtime's timers may fire while a process is idle. The rest of a wait is slept by
// a thread of its own.
const timerResolution = 2 * time.Millisecond

// Play calls send at each arrival, from now on until length has passed or ctx ends. send gets the time that was
// drawn, so that it can note how late it is called, and must not wait for an answer.
func (a *Arrivals) Play(ctx context.Context, length time.Duration, send func(drawn time.Time)) {
	start := time.Now()
	for at := a.Next(); at < length && ctx.Err() == nil; at = a.Next() {
		drawn := start.Add(at)
		if wait := time.Until(drawn); wait > timerResolution {
			monotime.Sleep(ctx, wait-timerResolution)
		}
		if wait := time.Until(drawn); wait > 0 && ctx.Err() == nil {
			left := syscall.NsecToTimespec(int64(wait))
			_ = syscall.Nanosleep(&left, nil) // a signal may end it early, by timerResolution at most
		}
		if ctx.Err() == nil {
			send(drawn)
		}
	}
}
