package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// client sends requests on one connection, and on a new one where the node has closed it.
type client struct {
	address, name string
	sent, dials   int
	conn          net.Conn
	reader        *bufio.Reader
}

// get sends a request and reads the response. An error means that the connection ended without a complete response.
func (c *client) get(target string) (status int, body string, err error) {
	if c.conn == nil {
		if c.conn, err = net.Dial("tcp", c.address); err != nil {
			return 0, "", err
		}
		c.reader = bufio.NewReader(c.conn)
		c.dials++
	}
	c.conn.SetDeadline(time.Now().Add(2 * waitTimeout))
	c.sent++
	fmt.Fprintf(c.conn, "GET %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s-%d\r\nX-Deadline: 20\r\n\r\n",
		target, c.name, c.sent)
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", err
	}
	text, err := io.ReadAll(resp.Body)
	if resp.Close {
		c.close()
	}
	return resp.StatusCode, string(text), err
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// getOnce sends a request on a connection of its own. An error means that the connection ended without a complete
// response; a timeout is not an error, but has status 0.
func getOnce(address string) (status int, body string, err error) {
	c := client{address: address, name: "good"}
	defer c.close()
	status, body, err = c.get("/view/k")
	if status == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, "no response", nil
	}
	return status, body, err
}

// newServer starts a server, and returns its entry in a list.
func newServer(t testing.TB, name string, handle http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handle)
	t.Cleanup(server.Close)
	return listEntry(name, strings.TrimPrefix(server.URL, "http://"))
}

// newNamedServer starts a server that responds with its name.
func newNamedServer(t *testing.T, name string) string {
	return newServer(t, name, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, name) })
}

// newHoldingServer starts a server that responds with the id of each request. It holds requests whose path ends in
// /slow until release is called, and reports their arrival on held.
func newHoldingServer(t *testing.T) (entry string, held <-chan struct{}, release func()) {
	t.Helper()
	arrived, hold := make(chan struct{}, 1), make(chan struct{})
	entry = newServer(t, "s-1", func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/slow") {
			arrived <- struct{}{}
			<-hold
		}
		fmt.Fprint(w, "for ", r.Header.Get("X-Request-Id"))
	})
	release = sync.OnceFunc(func() { close(hold) })
	t.Cleanup(release) // before the server's cleanup, which waits for its requests
	return entry, arrived, release
}

// idleClients are clients that hold connections. Each connects, sends what its kind sends, and waits until the node
// closes the connection; then it connects again. The kinds are:
//
//   - no_request: sends nothing
//   - partial_request: sends a part of a request
//   - keep_alive: sends a request and keeps the connection after the response
//   - mixed: each of the others in turn
type idleClients struct {
	address  string
	kind     string
	permits  chan struct{} // one for each connection to be opened
	stop     chan struct{}
	wg       sync.WaitGroup
	closed   atomic.Int64 // connections that the node has closed
	inFlight atomic.Int64 // requests without a response

	requestsStopped atomic.Bool // no more requests are sent

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// connect opens a connection and holds it until the node closes it. The kind of mixed clients depends on n.
func (c *idleClients) connect(n int) {
	nc, err := net.Dial("tcp", c.address)
	if err != nil {
		return
	}
	defer nc.Close()
	c.mu.Lock()
	select {
	case <-c.stop:
		c.mu.Unlock()
		return
	default:
	}
	c.conns[nc] = struct{}{}
	c.mu.Unlock()
	kind := c.kind
	if kind == "mixed" {
		kind = []string{"no_request", "partial_request", "keep_alive"}[n%3]
	}
	switch kind {
	case "partial_request":
		io.WriteString(nc, "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Req")
	case "keep_alive":
		// Counted before requestsStopped is read: once that is set and the count is 0, no request is sent.
		c.inFlight.Add(1)
		if !c.requestsStopped.Load() {
			fmt.Fprintf(nc, "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: idle-%p-%d\r\nX-Deadline: 40\r\n\r\n",
				nc, n)
			nc.Read(make([]byte, 1))
		}
		c.inFlight.Add(-1)
	}
	io.Copy(io.Discard, nc) // until the node closes the connection
	c.mu.Lock()
	delete(c.conns, nc)
	c.mu.Unlock()
	c.closed.Add(1)
}

// Idle clients connect all at once at first, then one each reconnectInterval, and maxConnects times in total.
const (
	reconnectInterval = 2 * time.Millisecond
	maxConnects       = 20_000
)

// newIdleClients connects a number of idle clients at once. They reconnect until the test ends.
func newIdleClients(t *testing.T, address, kind string, count int) *idleClients {
	c := &idleClients{
		address: address, kind: kind, permits: make(chan struct{}, count), stop: make(chan struct{}),
		conns: map[net.Conn]struct{}{},
	}
	for i := range count {
		c.permits <- struct{}{}
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			for n := i; ; n++ {
				select {
				case <-c.stop:
					return
				case <-c.permits:
					c.connect(n)
				}
			}
		}()
	}
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		ticker := time.NewTicker(reconnectInterval)
		defer ticker.Stop()
		for range maxConnects - count {
			select {
			case <-c.stop:
				return
			case <-ticker.C:
			}
			select {
			case c.permits <- struct{}{}:
			default: // enough permits are left
			}
		}
	}()
	t.Cleanup(func() {
		c.mu.Lock()
		close(c.stop)
		for nc := range c.conns {
			nc.Close()
		}
		c.mu.Unlock()
		c.wg.Wait()
	})
	return c
}

// openDescriptors returns the number of descriptors that a process has open.
func openDescriptors(t *testing.T, pid int) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		t.Fatal(err)
	}
	return len(entries)
}
