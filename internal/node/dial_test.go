package node

import (
	"net/http"
	"syscall"
	"testing"

	"basaltdrum/internal/testutil"
)

// localErrnos are dial errors that are faults of the local machine.
var localErrnos = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EAGAIN, syscall.ENETUNREACH, syscall.ENETDOWN,
	syscall.EPERM, syscall.EACCES, syscall.EINTR,
}

// After a transient dial error on the local machine, the server is dialed again. It receives the request once and
// serves it.
func TestTransientLocalDialErrorIsRetried(t *testing.T) {
	t.Parallel()
	for _, errno := range localErrnos {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			server := testutil.NewServer(t, testutil.Echo)
			failing := &testutil.FailingDialer{Err: testutil.DialError("connect", errno), Failures: 3}
			n, _ := startNode(t, configWithServers(server), func(n *Node) { n.upstream.Dial = failing.Dial })
			client := dial(t, n)
			client.Send("POST", "/note/k", "r", "x", "60")
			client.Expect(t, http.StatusOK, "for r")
			received, dials, open := server.RequestCount(), failing.Dials.Load(), n.upstream.Connections()
			if received != 1 || dials != 4 || open != 1 {
				t.Errorf("got %d requests, %d dials and %d open connections; want 1, 4 and 1", received, dials, open)
			}
		})
	}
}
