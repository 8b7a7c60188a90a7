package upstream

import (
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"unsafe"

	"basaltdrum/balancer"
	"basaltdrum/internal/socketpeek"
	"basaltdrum/internal/testutil"
)

// lateWriteConn writes the last byte of a request after the connection was reset, reads nothing between the response's
// first bytes and that write, and returns from the write only once the reader has ended.
type lateWriteConn struct {
	*net.TCPConn
	read  chan struct{} // closed once something was read
	reset func()        // resets the connection, and returns once this side knows
	wrote chan struct{} // closed after the last write
	ended func()        // returns once the reader has ended
	once  sync.Once
}

func (c *lateWriteConn) Read(p []byte) (int, error) {
	select {
	case <-c.read:
		<-c.wrote
	default:
	}
	n, err := c.TCPConn.Read(p)
	c.once.Do(func() { close(c.read) })
	return n, err
}

func (c *lateWriteConn) Write(p []byte) (int, error) {
	sent, err := c.TCPConn.Write(p[:len(p)-1])
	if err == nil {
		<-c.read
		c.reset()
		_, err = c.TCPConn.Write(p[len(p)-1:])
	}
	close(c.wrote)
	c.ended()
	return sent, err
}

// tcpStateClosed is TCP_CLOSE of the kernel's TCP states.
const tcpStateClosed = 7

// tcpClosed reports whether the system has ended a connection, as by a reset; unlike a read it leaves the error
// there.
func tcpClosed(nc net.Conn) (is bool) {
	socketpeek.RawConn(nc).Control(func(fd uintptr) {
		var info [256]byte // struct tcp_info: the state is its first byte
		size := uint32(len(info))
		syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, syscall.TCP_INFO,
			uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
		is = info[0] == tcpStateClosed
	})
	return is
}

// The system reports a reset once. If a write got the error, the next read finds what looks like the end of a
// response without a length: the part that was read is no success.
func TestResetReportedToTheWriteIsNoEndOfResponse(t *testing.T) {
	nc, server := testutil.ConnPair(t)
	pool := newTestPool(10)
	c := &lateWriteConn{
		TCPConn: nc.(*net.TCPConn),
		read:    make(chan struct{}),
		reset: func() {
			server.(*net.TCPConn).SetLinger(0)
			server.Close()
			testutil.Until(t, "the reset to arrive", func() bool { return tcpClosed(nc) })
		},
		wrote: make(chan struct{}),
		ended: func() { testutil.Until(t, "the reader's end", func() bool { return pool.Connections() == 0 }) },
	}
	go func() {
		server.Read(make([]byte, 1))
		io.WriteString(server, "HTTP/1.1 200 OK\r\n\r\nhal")
	}()
	address := nc.RemoteAddr().String()
	pool.adopt(c, addEndpoint(pool, address))
	checkOutcome(t, pool, newTestAttempt(t, pool, address).do(t), balancer.ConnectFailed, 0)
}
