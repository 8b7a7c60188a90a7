package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// client asks on one connection, and on a new one where the node has closed it.
type client struct {
	address, name string
	asked         int
	nc            net.Conn
	br            *bufio.Reader
}

func (c *client) ask(target string) (status int, body string, err error) {
	if c.nc == nil {
		if c.nc, err = net.Dial("tcp", c.address); err != nil {
			return 0, "", err
		}
		c.br = bufio.NewReader(c.nc)
	}
	c.nc.SetDeadline(time.Now().Add(2 * limit))
	c.asked++
	fmt.Fprintf(c.nc, "GET %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s-%d\r\nX-Deadline: 20\r\n\r\n", target, c.name, c.asked)
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return 0, "", err
	}
	text, err := io.ReadAll(resp.Body)
	if resp.Close {
		c.nc.Close()
		c.nc = nil
	}
	return resp.StatusCode, string(text), err
}

// askOnce makes a request on a connection of its own. The error says that it was ended with no answer.
func askOnce(address string) (status int, body string, err error) {
	nc, err := net.Dial("tcp", address)
	if err != nil {
		return 0, "", err
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(limit))
	io.WriteString(nc, "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: good\r\nX-Deadline: 40\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, "no answer", nil
	}
	if err != nil {
		return 0, "", err
	}
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

// crowd is idle clients: each connects, does what its kind does, and stays until the node ends the
// connection; then it comes again.
type crowd struct {
	address string
	kind    string
	turns   chan struct{} // one for each connection to be made
	stop    chan struct{}
	wg      sync.WaitGroup
	ended   atomic.Int64 // connections that the node has ended
	asking  atomic.Int64 // requests that are not answered
	quiet   atomic.Bool  // no request is sent any more

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// come is one connection of a client.
func (c *crowd) come(n int) {
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
		kind = []string{"silent", "half", "resting"}[n%3]
	}
	switch kind {
	case "half":
		io.WriteString(nc, "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Req")
	case "resting":
		c.asking.Add(1) // before the look at quiet: whoever finds no one asking after it was set can rely on that
		if !c.quiet.Load() {
			fmt.Fprintf(nc, "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: idle-%p-%d\r\nX-Deadline: 40\r\n\r\n", nc, n)
			nc.Read(make([]byte, 1))
		}
		c.asking.Add(-1)
	}
	io.Copy(io.Discard, nc) // until the node ends it
	c.mu.Lock()
	delete(c.conns, nc)
	c.mu.Unlock()
	c.ended.Add(1)
}

// Connections of a crowd: all at once at first, then one each time, and no more than so many in all.
const (
	comeAgain = 2 * time.Millisecond
	mostTurns = 20_000
)

// gather has many idle clients come at once, and come again for as long as the test runs.
func gather(t *testing.T, address, kind string, many int) *crowd {
	c := &crowd{
		address: address, kind: kind, turns: make(chan struct{}, many), stop: make(chan struct{}),
		conns: map[net.Conn]struct{}{},
	}
	for i := range many {
		c.turns <- struct{}{}
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			for n := i; ; n++ {
				select {
				case <-c.stop:
					return
				case <-c.turns:
					c.come(n)
				}
			}
		}()
	}
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		again := time.NewTicker(comeAgain)
		defer again.Stop()
		for range mostTurns - many {
			select {
			case <-c.stop:
				return
			case <-again.C:
			}
			select {
			case c.turns <- struct{}{}:
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

// descriptors is how many a process holds.
func descriptors(t *testing.T, pid int) int {
	t.Helper()
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		t.Fatal(err)
	}
	return len(open)
}
