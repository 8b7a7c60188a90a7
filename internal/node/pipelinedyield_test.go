package node

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"

	"basaltdrum/internal/testutil"
)

// Between the responses to requests that a client has sent ahead, other goroutines run. Usual requests waited behind
// the whole batches of hundreds of such clients, for seconds, and were answered late.
func TestOthersRunBetweenPipelinedRequests(t *testing.T) {
	for name, request := range map[string]string{
		"no id":            "POST /note/k HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
		"unknown class":    "GET /nowhere/k HTTP/1.1\r\nHost: h\r\n\r\n",
		"readiness checks": "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) { checkOthersRun(t, request) })
	}
}

// checkOthersRun sends a batch of requests to a node on one core, and counts the responses that the node writes without
// a turn of another goroutine, which is always ready, since the previous one.
func checkOthersRun(t *testing.T, request string) {
	t.Helper()
	const requests = 200
	previous := runtime.GOMAXPROCS(1)
	t.Cleanup(func() { runtime.GOMAXPROCS(previous) })
	var turns atomic.Int64
	writes := &turnRecorder{turns: &turns}
	n, _ := startNode(t, testConfig(testutil.CompleteList()), func(n *Node) {
		n.listener = turnListener{n.listener.(*net.TCPListener), writes}
	})
	client := dial(t, n)
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for !isClosed(stop) {
			turns.Add(1)
			runtime.Gosched()
		}
	}()
	io.WriteString(client, strings.Repeat(request, requests))
	for range requests {
		if response, err := http.ReadResponse(client.Reader, nil); err != nil {
			t.Fatal(err)
		} else if _, err := io.Copy(io.Discard, response.Body); err != nil {
			t.Fatal(err)
		}
	}
	close(stop)
	<-stopped
	if got := writes.withoutTurn.Load(); got > 0 {
		t.Errorf("%d of %d responses were written with no turn of others since the one before them", got, requests)
	}
}

// turnRecorder counts writes before which a counter has not changed since the previous write.
type turnRecorder struct {
	turns             *atomic.Int64
	last, withoutTurn atomic.Int64
}

func (r *turnRecorder) record() {
	if now := r.turns.Load(); r.last.Swap(now) == now && now > 0 {
		r.withoutTurn.Add(1)
	}
}

// turnListener accepts connections whose writes are recorded.
type turnListener struct {
	*net.TCPListener
	writes *turnRecorder
}

func (l turnListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return turnConn{c, l.writes}, nil
}

type turnConn struct {
	*net.TCPConn
	writes *turnRecorder
}

func (c turnConn) Write(p []byte) (int, error) {
	c.writes.record()
	return c.TCPConn.Write(p)
}
