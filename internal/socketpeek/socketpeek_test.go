package socketpeek

import (
	"net"
	"syscall"
	"testing"

	"basaltdrum/internal/testutil"
)

// A peek that a signal interrupts is repeated until it has a result, because the runtime's poller reports readability
// only once.
func TestInterruptedPeekIsRepeated(t *testing.T) {
	for _, c := range []struct {
		name     string
		do       func(peer net.Conn)
		readable bool
	}{
		{"data", func(peer net.Conn) { peer.Write([]byte("x")) }, true},
		{"a close", func(peer net.Conn) { peer.Close() }, true},
		{"nothing", func(net.Conn) {}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			peer, conn := testutil.ConnPair(t)
			if c.do(peer); c.readable {
				testutil.Until(t, "the data or close to arrive", func() bool { return IsReadable(conn) })
			}
			interrupted := testutil.FailTimes(syscall.EINTR, 2)
			recv := func(fd int, p []byte, flags int) (int, syscall.Sockaddr, error) {
				if err := interrupted(); err != nil {
					return -1, nil, err
				}
				return syscall.Recvfrom(fd, p, flags)
			}
			var readable bool
			err := RawConn(conn).Control(func(fd uintptr) { readable = isReadableBy(recv, fd) })
			if err != nil || readable != c.readable {
				t.Errorf("got readable %v, error %v; want %v", readable, err, c.readable)
			}
		})
	}
}

// A peek must not allocate, as there is one for every request.
func TestPeekDoesNotAllocate(t *testing.T) {
	_, conn := testutil.ConnPair(t)
	var allocations float64
	err := RawConn(conn).Control(func(fd uintptr) {
		allocations = testing.AllocsPerRun(100, func() { IsFDReadable(fd) })
	})
	if err != nil || allocations != 0 {
		t.Errorf("got %v allocations and error %v, want none", allocations, err)
	}
}
