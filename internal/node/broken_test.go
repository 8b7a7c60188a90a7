package node

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
)

// breakableConns are downstream connections that a test breaks while the node waits on them.
type breakableConns struct {
	*net.TCPListener
	cause    error
	accepted chan *breakableConn
}

// breakableConn fails its reads with cause once it is broken; a deadline that passes is its own cause.
type breakableConn struct {
	*net.TCPConn
	cause  error
	broken chan struct{}
	woken  chan struct{} // gets one when a wait for something to read has ended
}

func (l breakableConns) Accept() (net.Conn, error) {
	nc, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	c := &breakableConn{nc, l.cause, make(chan struct{}), make(chan struct{}, 1)}
	select {
	case l.accepted <- c:
	default: // the test breaks the first ones only
	}
	return c, nil
}

// breakNow ends the wait for something to read as the kernel does when the connection breaks.
func (c *breakableConn) breakNow() {
	if c.cause != os.ErrDeadlineExceeded {
		close(c.broken)
	}
	c.TCPConn.SetReadDeadline(pastDeadline)
}

func (c *breakableConn) Read(p []byte) (n int, err error) {
	if !isClosed(c.broken) {
		n, err = c.TCPConn.Read(p)
	}
	if n == 0 && isClosed(c.broken) { // maybe while it read: breakNow's deadline is not the node's
		err = &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", c.cause)}
	}
	return n, err
}

func (c *breakableConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return breakableRaw{raw, c}, err
}

type breakableRaw struct {
	syscall.RawConn
	of *breakableConn
}

// Read ends without an error once the connection is broken: there is something to read, the error.
func (r breakableRaw) Read(ready func(uintptr) bool) error {
	err := r.RawConn.Read(ready)
	select {
	case r.of.woken <- struct{}{}:
	default:
	}
	if isClosed(r.of.broken) {
		return nil
	}
	return err
}

// A client whose connection breaks, by whatever error, has gone: nothing begins for it any more, and what is
// out is called off. Only the node's own deadline for reading tells nothing of its client.
func TestBrokenConnectionIsADeparture(t *testing.T) {
	for _, cause := range []error{
		syscall.ETIMEDOUT, syscall.ECONNRESET, syscall.EHOSTUNREACH, syscall.ENETUNREACH,
		syscall.EPIPE, os.ErrDeadlineExceeded,
	} {
		for _, where := range []string{"dial", "in flight"} {
			if cause == os.ErrDeadlineExceeded && where == "in flight" {
				continue // one row shows it: the request is forwarded after the deadline, and answered
			}
			t.Run(fmt.Sprint(cause, " ", where), func(t *testing.T) {
				t.Parallel()
				breakWhileWaiting(t, cause, where)
			})
		}
	}
}

func breakWhileWaiting(t *testing.T, cause error, where string) {
	stays := cause == os.ErrDeadlineExceeded
	got, calledOff := make(chan struct{}, 1), make(chan struct{}, 1)
	s := newServer(t, func(c net.Conn, r *http.Request, body string) bool {
		if r.Header.Get("X-Request-Id") == "other" || stays {
			return echo(c, r, body)
		}
		got <- struct{}{}
		c.Read(make([]byte, 1)) // until the node closes
		calledOff <- struct{}{}
		return false
	})
	var dials heldDial
	conns := breakableConns{cause: cause, accepted: make(chan *breakableConn, 2)}
	cfg := testConfig(whole(entry("s1", s.addr(), "in_service")))
	for i := range cfg.Settings.Classes { // no attempt times out before the test gives up
		cfg.Settings.Classes[i].LatencyObjective, cfg.Settings.Classes[i].Deadline = 4*limit, 4*limit
	}
	n, _ := startNode(t, cfg, func(n *Node) {
		conns.TCPListener = n.listener.(*net.TCPListener)
		n.listener = conns
		if dials = holdDials(n.upstream); where == "in flight" {
			close(dials.through)
		}
	})
	c := dial(t, n)
	c.send("POST", "/note/k", "leaving", "x", "120")
	wait(t, dials.up, "the connection")
	if where == "in flight" {
		wait(t, got, "the attempt")
	}
	conn := wait(t, conns.accepted, "the downstream connection")
	conn.breakNow()
	if stays {
		wait(t, conn.woken, "the end of the watch")
		close(dials.through)
		c.want(t, 200, "for leaving")
		return
	}
	seen := map[string]int{"other": 1}
	if where == "dial" {
		until(t, "the node to notice", func() bool { return n.frontend.conns.count() == 0 })
		close(dials.through)
	} else {
		wait(t, calledOff, "the end of the attempt")
		seen["leaving"] = 1 // begun before its connection broke
	}
	nothingOfTheLeavers(t, n, s, seen)
}
