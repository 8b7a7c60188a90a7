package node

import (
	"syscall"
	"testing"

	"basaltdrum/internal/testutil"
)

var localErrnos = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EAGAIN, syscall.ENETUNREACH, syscall.ENETDOWN,
	syscall.EPERM, syscall.EACCES, syscall.EINTR,
}

// A connection that cannot be opened for a moment, by a fault of this machine, is dialled again, and its request
// is served by its server, which receives it once.
func TestTransientLocalDialErrorIsRetried(t *testing.T) {
	for _, errno := range localErrnos {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			s := testutil.NewServer(t, testutil.Echo)
			f := &testutil.FailingDial{Err: testutil.DialError("connect", errno), Times: 3}
			n, _ := startNode(t, testConfig(testutil.CompleteList(testutil.ListEntry("s1", s.Address(), "in_service"))), func(n *Node) { n.upstream.Dial = f.Dial })
			c := dial(t, n)
			c.Send("POST", "/note/k", "r", "x", "60")
			c.Expect(t, 200, "for r")
			if s.Received() != 1 || f.Dials.Load() != 4 || n.upstream.Connections() != 1 {
				t.Errorf("%d requests at the server after %d dials, %d connections open", s.Received(), f.Dials.Load(), n.upstream.Connections())
			}
		})
	}
}
