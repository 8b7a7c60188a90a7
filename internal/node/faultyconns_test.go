package node

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// breakableListener accepts downstream connections that a test can break while the node waits for them.
type breakableListener struct {
	*net.TCPListener
	cause    error // the error of reads from a broken connection
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
	default: // the test only breaks the first ones
	}
	return c, nil
}

// breakableConn is a connection whose reads fail with cause once it is broken. If cause is os.ErrDeadlineExceeded, its
// read deadline passes instead.
type breakableConn struct {
	*net.TCPConn
	cause      error
	broken     chan struct{}
	watchEnded chan struct{} // receives a value when a wait for readability has ended
}

// breakConn ends the wait for readability as the kernel does when a connection breaks.
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
	// The connection may have broken during the read. The deadline that ended the read is then that of breakConn.
	if n == 0 && isClosed(c.broken) {
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

// Read returns nil once the connection is broken: a broken connection is readable, and the read returns its error.
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

// gatedConnListener accepts downstream connections on which a test delays the reads and peeks of the node.
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

// gate blocks the first calls of pass until release is closed. Each call that blocks is reported on arrived.
type gate struct {
	remaining        atomic.Int32 // number of calls of pass that are still to block
	arrived, release chan struct{}
}

// pass blocks until the gate is released, if it is one of the first calls.
func (g *gate) pass() {
	if g.remaining.Add(-1) >= 0 {
		g.arrived <- struct{}{}
		<-g.release
	}
}

// newGate returns a gate that blocks a number of calls.
func newGate(blocked int32) *gate {
	g := &gate{arrived: make(chan struct{}, blocked), release: make(chan struct{})}
	g.remaining.Store(blocked)
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
