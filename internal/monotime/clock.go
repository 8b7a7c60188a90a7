// Package monotime provides the node's clock. Clock times are monotonic and count from the start of the process, so
// that setting the machine's wall clock does not change them. The package starts no goroutine and has no global state.
package monotime

import "time"

// processStart is the clock time of the process's start. It is not zero, so that endpoints that started up to a
// year before the process have positive start times.
const processStart = 365 * 24 * time.Hour

// Clock returns clock times. It is safe for concurrent use, and its copies return the same time.
type Clock struct {
	elapsed func() time.Duration
	unix    func() time.Duration
}

// New returns a clock that takes the current moment as the start of the process.
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

// Now returns the current clock time. It never decreases.
func (c Clock) Now() time.Duration { return processStart + c.elapsed() }

// Until returns the time left until a clock time. It is negative once that time has passed.
func (c Clock) Until(at time.Duration) time.Duration { return at - c.Now() }

// Unix returns Unix time by the machine's wall clock, which may be set at any moment.
func (c Clock) Unix() time.Duration { return c.unix() }
