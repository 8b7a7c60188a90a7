package node

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// breakableListener are downstream connections that a test breaks while the node waits on them.
type breakableListener struct {
	*net.TCPListener
	cause    error
	accepted chan *breakableConn
}

func (l breakableListener) Accept() (net.Conn, error) {
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

// breakableConn fails its reads with cause once it is broken; a deadline that passes is a cause of its own.
type breakableConn struct {
	*net.TCPConn
	cause      error
	broken     chan struct{}
	watchEnded chan struct{} // gets one when a wait for something to read has ended
}

// breakConn ends the wait for readability as the kernel does when the connection breaks.
func (c *breakableConn) breakConn() {
	if !errors.Is(c.cause, os.ErrDeadlineExceeded) {
		close(c.broken)
	}
	c.TCPConn.SetReadDeadline(time.Now().Add(-time.Hour))
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
	return breakableRawConn{raw, c}, err
}

type breakableRawConn struct {
	syscall.RawConn
	conn *breakableConn
}

// Read ends without an error once the connection is broken: it is readable, and the read returns the error.
func (r breakableRawConn) Read(ready func(uintptr) bool) error {
	err := r.RawConn.Read(ready)
	select {
	case r.conn.watchEnded <- struct{}{}:
	default:
	}
	if isClosed(r.conn.broken) {
		return nil
	}
	return err
}

// gatedConnListener delays the node's reads of downstream connections and its peeks at them.
type gatedConnListener struct {
	*net.TCPListener
	reads, peeks *gate
}

func (l gatedConnListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return gatedConn{c, l}, nil
}

// gate delays the first that pass, until it is opened.
type gate struct {
	remaining            atomic.Int32
	arrived, release chan struct{}
}

func (g *gate) pass() {
	if g.remaining.Add(-1) >= 0 {
		g.arrived <- struct{}{}
		<-g.release
	}
}

func newGate(first int32) *gate {
	g := &gate{arrived: make(chan struct{}, first), release: make(chan struct{})}
	g.remaining.Store(first)
	return g
}

type gatedConn struct {
	*net.TCPConn
	listener gatedConnListener
}

func (c gatedConn) Read(p []byte) (int, error) {
	c.listener.reads.pass()
	return c.TCPConn.Read(p)
}

func (c gatedConn) SyscallConn() (syscall.RawConn, error) {
	c.listener.peeks.pass()
	return c.TCPConn.SyscallConn()
}
