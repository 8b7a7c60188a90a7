package node

import (
	"time"
)

// processStart is the clock time of the process's start. Servers that started up to that long before it have
// positive times, too.
const processStart = 365 * 24 * time.Hour

// clock tells the node's time, which is monotonic: setting the machine's clock does not move it.
type clock struct {
	elapsed func() time.Duration // monotonic time since the process's start
	unix    func() time.Duration // Unix time by the machine's clock, which may be set at any moment
}

func newClock() clock {
	start := time.Now()
	return clock{
		elapsed: func() time.Duration { return time.Since(start) },
		unix:    func() time.Duration { return time.Duration(time.Now().UnixNano()) },
	}
}

func (c clock) now() time.Duration { return processStart + c.elapsed() }

// until is how long it is to a clock time.
func (c clock) until(at time.Duration) time.Duration { return at - c.now() }
