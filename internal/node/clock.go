package node

import "time"

// processStart is the clock time of the process's start. It is not zero, so that endpoints that started up to a
// year before the process have positive start times.
const processStart = 365 * 24 * time.Hour

// clock is the node's source of time. It is monotonic, so setting the machine's wall clock does not move it.
type clock struct {
	elapsed func() time.Duration // monotonic time since the process's start
	unix    func() time.Duration // Unix time by the machine's wall clock, which may be set at any moment
}

func newClock() clock {
	start := time.Now()
	return clock{
		elapsed: func() time.Duration { return time.Since(start) },
		unix:    func() time.Duration { return time.Duration(time.Now().UnixNano()) },
	}
}

// now returns the present clock time.
func (c clock) now() time.Duration { return processStart + c.elapsed() }

// until returns the time that is left until a clock time; it is negative once that has passed.
func (c clock) until(at time.Duration) time.Duration { return at - c.now() }
