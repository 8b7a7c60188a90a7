package node

import (
	"strconv"
	"time"
)

// X-Deadline on the way to a server: how long the node will wait, in seconds.
const (
	deadlineValueWidth = len("3600.000")      // bytes of its value, which fit maxWait to the millisecond
	minRemainingTime   = time.Millisecond     // an attempt with less time left is not begun
	transitAllowance   = 5 * time.Millisecond // taken off for the ways from the client and to the server
)

// waitToTell is how long a server is told that it has, or 0 if the time is over. It is what is left on the
// node's clock less the time in transit, of which a short wait keeps the greater part: the node's clock knows
// neither when the client sent the request nor when the server will read it.
func (b *upstreamPool) remainingTime(a *attempt) time.Duration {
	left := b.clock.until(a.deadline)
	left -= min(transitAllowance, left/4)
	if left < minRemainingTime {
		return 0
	}
	return left
}

// putWait writes a wait over the value of X-Deadline, which is waitWidth long, and never rounds it up. It
// reports whether there is any time left to tell.
func writeDeadlineValue(value []byte, wait time.Duration) bool {
	if wait <= 0 {
		return false
	}
	var buf [32]byte
	wait = wait.Truncate(time.Millisecond)
	text := strconv.AppendFloat(buf[:0], wait.Seconds(), 'f', deadlineValueWidth, 64)
	copy(value, text[:deadlineValueWidth])
	return true
}
