package downstream

import (
	"bytes"
	"errors"
	"log/slog"
	"net"
	"syscall"
	"testing"
	"time"

	"basaltdrum/internal/testutil"
)

// Failed accepts are counted for the log line about traffic, and logged at a limited rate.
func TestFailedAcceptsAreCountedAndLoggedAtABoundedRate(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const failures = 6
	fail := testutil.FailTimes(syscall.ENOBUFS, failures)
	failing := testutil.FailingListener{TCPListener: ln.(*net.TCPListener), Fail: fail}
	conns := newTestConns(testLimits(10), 0)
	var log bytes.Buffer
	listener := NewListener(failing, conns, 0, slog.New(slog.NewTextHandler(&log, nil)))
	defer listener.Close()
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	start := time.Now()
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	conn.Close()
	maxLines := 1 + int(time.Since(start)/acceptLogInterval)
	if lines := bytes.Count(log.Bytes(), []byte("\n")); lines < 1 || lines > maxLines {
		t.Errorf("%d log lines, want 1 to %d:\n%s", lines, maxLines, log.String())
	}
	if counts, _, _ := conns.TakeCounts(); counts.AcceptFailed != failures {
		t.Errorf("%d failed accepts counted, want %d", counts.AcceptFailed, failures)
	}
	listener.Close()
	if _, err := listener.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Accept after the close: error %v, want %v", err, net.ErrClosed)
	}
}
