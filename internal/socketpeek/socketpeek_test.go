package socketpeek

import (
	"net"
	"syscall"
	"testing"

	"basaltdrum/internal/testutil"
)

// A peek that a signal interrupts is repeated until it has a result: the poller has reported readability before,
// and does so only once.
func TestInterruptedPeekIsRepeated(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(theirs net.Conn)
		has  bool
	}{
		{"data", func(theirs net.Conn) { theirs.Write([]byte("x")) }, true},
		{"a close", func(theirs net.Conn) { theirs.Close() }, true},
		{"nothing", func(net.Conn) {}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			theirs, ours := testutil.ConnPair(t)
			if c.do(theirs); c.has {
				testutil.Until(t, "it to arrive", func() bool { return IsReadable(ours) })
			}
			interrupted := testutil.FailTimes(syscall.EINTR, 2)
			recv := func(fd int, p []byte, flags int) (int, syscall.Sockaddr, error) {
				if err := interrupted(); err != nil {
					return -1, nil, err
				}
				return syscall.Recvfrom(fd, p, flags)
			}
			var has bool
			err := RawConn(ours).Control(func(fd uintptr) { has = hasUnreadBy(recv, fd) })
			if err != nil || has != c.has {
				t.Errorf("something there: %v (%v), want %v", has, err, c.has)
			}
		})
	}
}

// A peek is a part of every request, and allocates nothing.
func TestPeekDoesNotAllocate(t *testing.T) {
	_, ours := testutil.ConnPair(t)
	var allocations float64
	err := RawConn(ours).Control(func(fd uintptr) {
		allocations = testing.AllocsPerRun(100, func() { IsFDReadable(fd) })
	})
	if err != nil || allocations != 0 {
		t.Errorf("%v allocations (%v)", allocations, err)
	}
}
