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

// lateWriteConn writes the last byte of a request only after the connection was reset. Between the first bytes of the
// response and that write it reads nothing, and it returns from the write only once the reader has ended.
type lateWriteConn struct {
	*net.TCPConn
	firstRead      chan struct{} // closed after the first read
	reset          func()        // resets the connection, and returns once the reset has arrived
	lastWrite      chan struct{} // closed after the last write
	awaitReaderEnd func()        // returns once the reader has ended
	once           sync.Once
}

func (c *lateWriteConn) Read(p []byte) (int, error) {
	select {
	case <-c.firstRead:
		<-c.lastWrite
	default:
	}
	n, err := c.TCPConn.Read(p)
	c.once.Do(func() { close(c.firstRead) })
	return n, err
}

func (c *lateWriteConn) Write(p []byte) (int, error) {
	sent, err := c.TCPConn.Write(p[:len(p)-1])
	if err == nil {
		<-c.firstRead
		c.reset()
		_, err = c.TCPConn.Write(p[len(p)-1:])
	}
	close(c.lastWrite)
	c.awaitReaderEnd()
	return sent, err
}

// tcpStateClosed is TCP_CLOSE of the kernel's TCP states.
const tcpStateClosed = 7

// tcpClosed reports whether the kernel has closed a connection, for example after a reset. Unlike a read, it does not
// consume the socket's error.
func tcpClosed(nc net.Conn) (closed bool) {
	socketpeek.RawConn(nc).Control(func(fd uintptr) {
		var info [256]byte // struct tcp_info: the state is its first byte
		size := uint32(len(info))
		syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, syscall.TCP_INFO,
			uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
		closed = info[0] == tcpStateClosed
	})
	return closed
}

// The kernel reports a reset only once. If a write gets the error, the next read returns what looks like the end of a
// response without a length. The part that was read must not be taken for a complete response.
func TestResetReportedToTheWriteDoesNotCompleteTheResponse(t *testing.T) {
	nc, server := testutil.ConnPair(t)
	pool := newTestPool(10)
	c := &lateWriteConn{
		TCPConn:   nc.(*net.TCPConn),
		firstRead: make(chan struct{}),
		reset: func() {
			server.(*net.TCPConn).SetLinger(0)
			server.Close()
			testutil.Until(t, "arrival of the reset", func() bool { return tcpClosed(nc) })
		},
		lastWrite: make(chan struct{}),
		awaitReaderEnd: func() {
			testutil.Until(t, "end of the reader", func() bool { return pool.Connections() == 0 })
		},
	}
	go func() {
		server.Read(make([]byte, 1))
		io.WriteString(server, "HTTP/1.1 200 OK\r\n\r\nhal")
	}()
	address := nc.RemoteAddr().String()
	pool.adopt(c, addEndpoint(pool, address))
	checkOutcome(t, pool, newTestAttempt(t, pool, address).do(t), balancer.ConnectFailed, 0)
}
