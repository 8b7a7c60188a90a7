package downstream

import (
	"bytes"
	"errors"
	"log/slog"
	"net"
	"syscall"
	"testing"
	"time"

	"basaltdrum/internal/monotime"
	"basaltdrum/internal/testutil"
)

// Failed accepts are counted for the traffic line, and logged at a bounded rate.
func TestFailedAcceptsAreCountedAndLoggedAtABoundedRate(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewConns(monotime.New(), testLimits(10), func() int { return 0 })
	var log bytes.Buffer
	l := NewListener(testutil.FailingListener{TCPListener: ln.(*net.TCPListener), Fail: testutil.FailTimes(syscall.ENOBUFS, 6)}, s, 0,
		slog.New(slog.NewTextHandler(&log, nil)))
	defer l.Close()
	theirs, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer theirs.Close()
	begin := time.Now()
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c.Close()
	most := 1 + int(time.Since(begin)/acceptLogInterval)
	if lines := bytes.Count(log.Bytes(), []byte("\n")); lines < 1 || lines > most {
		t.Errorf("%d lines, want 1 to %d:\n%s", lines, most, log.String())
	}
	if counts, _ := s.TakeCounts(); counts.AcceptFailed != 6 {
		t.Errorf("%d failures counted, want 6", counts.AcceptFailed)
	}
	l.Close()
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("after the close: %v", err)
	}
}
