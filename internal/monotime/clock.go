// Package monotime is the node's source of time: spans of monotonic time since the process's start, which setting
// the machine's wall clock does not move. It starts no goroutine and holds no state besides the start.
package monotime

import "time"

// processStart is the clock time of the process's start. It is not zero, so that endpoints that started up to a
// year before the process have positive start times.
const processStart = 365 * 24 * time.Hour

// Clock tells the time. Any number of goroutines may use it, and copies of it tell the same time.
type Clock struct {
	elapsed func() time.Duration
	unix    func() time.Duration
}

// New returns a clock whose process has started now.
func New() Clock {
	start := time.Now()
	return Simulated(
		func() time.Duration { return time.Since(start) },
		func() time.Duration { return time.Duration(time.Now().UnixNano()) },
	)
}

// Simulated returns a clock for tests. elapsed is the monotonic time since the process's start; unix is Unix time
// by the machine's wall clock, which may be set at any moment.
func Simulated(elapsed, unix func() time.Duration) Clock {
	return Clock{elapsed: elapsed, unix: unix}
}

// Now returns the present clock time. It never goes back.
func (c Clock) Now() time.Duration { return processStart + c.elapsed() }

// Until returns the time that is left until a clock time; it is negative once that has passed.
func (c Clock) Until(at time.Duration) time.Duration { return at - c.Now() }

// Unix returns Unix time by the machine's wall clock, which may be set at any moment.
func (c Clock) Unix() time.Duration { return c.unix() }
