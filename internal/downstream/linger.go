package downstream

import (
	"runtime"
	"time"
)

// defaultLingerTimeout is how long net/http keeps a connection open after its last response if request bytes may be
// unread.
const defaultLingerTimeout = 500 * time.Millisecond

// CloseWrite sends a FIN, lets the connection linger, and ends the calling goroutine: it does not return.
//
// net/http checks for this method. The goroutine that it runs for a connection calls the method after the last
// response if request bytes may be unread, because an immediate close would reset the connection, and the reset could
// discard the response before the client has read it. net/http then sleeps for defaultLingerTimeout and closes the
// connection. Nothing can interrupt this sleep, so that the goroutine and its buffers would outlive an evicted
// connection, and the limit on descriptors would not limit their number. Instead, CloseWrite itself waits, and
// runtime.Goexit runs the goroutine's deferred calls, with which net/http closes the connection and reports
// StateClosed.
func (c *Conn) CloseWrite() error {
	c.conns.startLingering(c)
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = tcp.CloseWrite() // an error means that the connection has failed, and nobody reads a FIN
	}
	c.linger()
	runtime.Goexit()
	return nil
}

// linger waits until the linger timeout has passed or the connection is evicted.
func (c *Conn) linger() {
	timer := time.NewTimer(c.conns.lingerTimeout)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.lingerEvicted:
	}
}
