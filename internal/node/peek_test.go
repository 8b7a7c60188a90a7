package node

import (
	"net"
	"syscall"
	"testing"
)

// A look at a connection that a signal interrupts is made again until it tells something: the poller has
// told of what is there before, and does so only once.
func TestInterruptedLookIsMadeAgain(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
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
			theirs, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer theirs.Close()
			ours, err := ln.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer ours.Close()
			if c.do(theirs); c.has {
				until(t, "it to arrive", func() bool { return hasUnreadOrClosed(ours) })
			}
			interrupted := failing(syscall.EINTR, 2)
			recv := func(fd int, p []byte, flags int) (int, syscall.Sockaddr, error) {
				if err := interrupted(); err != nil {
					return -1, nil, err
				}
				return syscall.Recvfrom(fd, p, flags)
			}
			var has bool
			err = rawConn(ours).Control(func(fd uintptr) { has = hasUnreadBy(recv, fd) })
			if err != nil || has != c.has {
				t.Errorf("something there: %v (%v), want %v", has, err, c.has)
			}
		})
	}
}
