package downstream

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"

	"basaltdrum/internal/testutil"
)

// Only a request that net/http has not waited for counts as sent ahead. A client that sends one request at a time never
// waits for others because of it.
func TestPipelinedRequestsAreRecognized(t *testing.T) {
	const request = "GET /a HTTP/1.1\r\n\r\n"
	conn, client := connPair(t, newTestConns(testLimits(10), 0), 0)
	read := func(n int) {
		t.Helper()
		if !readFull(conn, make([]byte, n)) {
			t.Fatal("the request could not be read")
		}
	}
	for _, step := range []struct {
		name   string
		pieces []string
		want   []bool // whether each request of the pieces was sent ahead
	}{
		{"the first request", []string{request}, []bool{false}},
		{"a request after its response", []string{request}, []bool{false}},
		{"a request in pieces", []string{request[:1], request[1:9], request[9:]}, []bool{false}},
		{"three at once", []string{request + request + request}, []bool{false, true, true}},
		{"the next one alone", []string{request}, []bool{false}},
		{"a part of the next one", []string{request + request[:5], request[5:]}, []bool{false, true}},
	} {
		for _, piece := range step.pieces {
			io.WriteString(client, piece)
			read(len(piece))
		}
		for i, want := range step.want {
			_, err := conn.TakeHead(&http.Request{Method: http.MethodGet, RequestURI: "/a", Proto: "HTTP/1.1"})
			if err != nil {
				t.Fatal(err)
			}
			if got := conn.takePipelined(); got != want {
				t.Errorf("%s, request %d: sent ahead: %v, want %v", step.name, i+1, got, want)
			}
		}
	}
}

// readyListener always has a connection to accept.
type readyListener struct {
	net.Listener
	conn net.Conn
}

func (l readyListener) Accept() (net.Conn, error) { return l.conn, nil }

// The goroutines of accepted connections run before many more are accepted. On one core the accepting goroutine outran
// them while clients connected, sent half a request and closed again and again: the descriptors were taken by
// connections whose clients had gone, and those of usual clients were closed unread.
func TestAcceptedConnectionsAreServedBeforeMoreAreAccepted(t *testing.T) {
	previous := runtime.GOMAXPROCS(1)
	t.Cleanup(func() { runtime.GOMAXPROCS(previous) })
	node, client := net.Pipe()
	client.Close()
	conns := newTestConns(testLimits(100), 0)
	listener := NewListener(readyListener{conn: node}, conns, 0, testutil.DiscardLog())
	var waiting, most atomic.Int32
	var served sync.WaitGroup
	for range 1000 {
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		most.Store(max(most.Load(), waiting.Add(1)))
		served.Add(1)
		go func() {
			defer served.Done()
			waiting.Add(-1)
			conn.Read(make([]byte, 100))
			conn.Close()
		}()
	}
	served.Wait()
	if got := most.Load(); got > maxUnserved {
		t.Errorf("the goroutines of %d connections had not run at the same time, want at most %d", got, maxUnserved)
	}
	if got := conns.unserved.Load(); got != 0 {
		t.Errorf("%d connections count as not served, want none", got)
	}
}
