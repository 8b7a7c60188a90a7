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

// get sends a request and reads the answer. An error says that the connection ended with no complete answer.
func (c *client) get(target string) (status int, body string, err error) {
	if c.conn == nil {
		if c.conn, err = net.Dial("tcp", c.address); err != nil {
			return 0, "", err
		}
		c.reader = bufio.NewReader(c.conn)
		c.dials++
	}
	c.conn.SetDeadline(time.Now().Add(2 * limit))
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

// getOnce sends a request on a connection of its own. The error says that it was ended with no answer.
func getOnce(address string) (status int, body string, err error) {
	c := client{address: address, name: "good"}
	defer c.close()
	status, body, err = c.get("/view/k")
	if status == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, "no answer", nil
	}
	return status, body, err
}

// newServer starts a server, and returns its entry in a list.
func newServer(t *testing.T, name string, handle http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handle)
	t.Cleanup(server.Close)
	return listEntry(name, strings.TrimPrefix(server.URL, "http://"))
}

// newNamingServer starts a server that answers with its name.
func newNamingServer(t *testing.T, name string) string {
	return newServer(t, name, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, name) })
}

// newHoldingServer starts a server that answers with the id of each request. It holds those whose path ends in
// /slow until they are released, and reports their arrival.
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
	t.Cleanup(release) // before the server closes, which waits for its requests
	return entry, arrived, release
}

// idleClients are clients that hold connections: each connects, does what its kind does, and stays until the node
// closes the connection; then it connects again.
type idleClients struct {
	address  string
	kind     string
	permits  chan struct{} // one for each connection to be made
	stop     chan struct{}
	wg       sync.WaitGroup
	ended    atomic.Int64 // connections that the node has ended
	inFlight atomic.Int64 // requests that are not answered
	resting  atomic.Bool  // no request is sent any more

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// connect is one connection of a client.
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
		kind = []string{"silent", "partial", "resting"}[n%3]
	}
	switch kind {
	case "partial":
		io.WriteString(nc, "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Req")
	case "resting":
		c.inFlight.Add(1) // before resting is read, so that nothing is sent once it is set and no request is counted
		if !c.resting.Load() {
			fmt.Fprintf(nc, "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: idle-%p-%d\r\nX-Deadline: 40\r\n\r\n",
				nc, n)
			nc.Read(make([]byte, 1))
		}
		c.inFlight.Add(-1)
	}
	io.Copy(io.Discard, nc) // until the node ends it
	c.mu.Lock()
	delete(c.conns, nc)
	c.mu.Unlock()
	c.ended.Add(1)
}

// Connections of idle clients: all at once at first, then one each time, and no more than so many in all.
const (
	reconnectInterval = 2 * time.Millisecond
	maxConnects       = 20_000
)

// newIdleClients has many idle clients connect at once, and connect again for as long as the test runs.
func newIdleClients(t *testing.T, address, kind string, many int) *idleClients {
	c := &idleClients{
		address: address, kind: kind, permits: make(chan struct{}, many), stop: make(chan struct{}),
		conns: map[net.Conn]struct{}{},
	}
	for i := range many {
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
		again := time.NewTicker(reconnectInterval)
		defer again.Stop()
		for range maxConnects - many {
			select {
			case <-c.stop:
				return
			case <-again.C:
			}
			select {
			case c.permits <- struct{}{}:
			default: // all are there
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

// openDescriptors is how many descriptors a process holds.
func openDescriptors(t *testing.T, pid int) int {
	t.Helper()
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		t.Fatal(err)
	}
	return len(open)
}
