package downstream

import "runtime"

const (
	// maxUnserved is the number of accepted connections whose goroutine has not run yet, at which the listener yields
	// before it accepts another one.
	maxUnserved = 32

	// maxAcceptYields is how often it yields at most. All goroutines that are ready run after one or two times.
	maxAcceptYields = 8
)

// pipelinedYields is the number of times that a goroutine yields before it answers a request that was sent ahead.
// Between two requests of such a client, other goroutines run as often as that.
const pipelinedYields = 4

// YieldIfPipelined lets other goroutines run first if the client has sent the request ahead that the handler is about
// to answer. Each request calls it once.
//
// The process has one core, on which a goroutine that waits for nothing runs for up to 10 ms. While many clients send
// batches of requests that are answered at once, the goroutines of other requests would wait behind a whole batch of
// each of these clients, and do so several times for each request.
func (c *Conn) YieldIfPipelined() {
	if !c.takePipelined() {
		return
	}
	for range pipelinedYields {
		runtime.Gosched()
	}
}

// takePipelined reports whether the request that was read last was sent ahead: net/http has not waited for it since the
// request before it.
func (c *Conn) takePipelined() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	pipelined := !c.requestAwaited
	c.requestAwaited = false
	return pipelined
}

// yieldToAccepted lets the goroutines of accepted connections run before more are accepted, if many have not run yet.
//
// For the same reason as in YieldIfPipelined, the goroutine that accepts would run on while connections are queued in
// the kernel, and hundreds would pile up that count as open although their clients may have gone. What is accepted next
// would be closed unread, for lack of descriptors.
func (l *Listener) yieldToAccepted() {
	for range maxAcceptYields {
		if l.conns.unserved.Load() < maxUnserved {
			return
		}
		runtime.Gosched()
	}
}

// markServed records that the goroutine of the connection has run. The caller holds c.mu.
func (c *Conn) markServed() {
	if !c.served {
		c.served = true
		c.conns.unserved.Add(-1)
	}
}
