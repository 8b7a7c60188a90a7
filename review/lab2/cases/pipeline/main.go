// Command pipeline runs the case of clients that send many requests at once.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"basaltdrum/review/lab2/lab"
)

const (
	clients     = 3
	orders      = 9                      // print-order requests that a client sends ahead of a favourite
	serviceTime = 260 * time.Millisecond // 36% of 720 ms, the most of the site's print-order
	slack       = 550 * time.Millisecond // after the client's time, and 50 ms on sockets
)

func main() { lab.Main(run) }

// call is a request of a client.
type call struct {
	id, path, key string
	deadline      time.Duration
}

func (c call) text() string {
	key := ""
	if c.key != "" {
		key = "Idempotency-Key: " + c.key + "\r\n"
	}
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: %s\r\nX-Tenant: kloof-studio\r\n"+
		"X-Deadline: %.3f\r\n%sContent-Length: 4\r\n\r\nbody", c.path, c.id, c.deadline.Seconds(), key)
}

func run(root, dir string, r *lab.Record) int {
	var targets []lab.Target
	var servers []*lab.Server
	for i := range 8 {
		s, err := lab.NewServer(fmt.Sprintf("s-%d", i+1))
		if err != nil {
			r.Printf("%v", err)
			return lab.Failed
		}
		defer s.Close()
		s.Serve = func(a lab.Arrival) (time.Duration, []byte) { return serviceTime, lab.OK(a.ID) }
		servers, targets = append(servers, s), append(targets, s.Target("jhb-north"))
	}
	agent, err := lab.NewAgent(targets...)
	if err != nil {
		r.Printf("%v", err)
		return lab.Failed
	}
	defer agent.Close()
	listen, err := lab.FreeAddr()
	if err != nil {
		r.Printf("%v", err)
		return lab.Failed
	}
	node, err := lab.StartNode(root, dir, lab.Config(listen, agent.Addr, agent.Whole(), lab.GalleryClasses()))
	if err != nil {
		r.Printf("%v", err)
		return lab.Failed
	}
	defer node.Kill()

	var wg sync.WaitGroup
	var mu sync.Mutex
	late, answered := 0, 0
	// receive reads the answers to calls that were sent on a connection at a time, in order.
	receive := func(in *bufio.Reader, sent time.Time, calls []call) {
		for _, c := range calls {
			resp, err := http.ReadResponse(in, nil)
			var body []byte
			if err == nil {
				body, err = io.ReadAll(resp.Body)
			}
			took := time.Since(sent)
			mu.Lock()
			verdict := ""
			if err != nil || took > c.deadline+slack {
				late++
				verdict = "  LOST"
			}
			if err != nil {
				r.Printf("%s %s, X-Deadline %v: %v after %v%s", c.path, c.id, c.deadline, err, took, verdict)
			} else {
				answered++
				r.Printf("%s %s, X-Deadline %v: %d %q after %v%s", c.path, c.id, c.deadline, resp.StatusCode,
					strings.TrimSpace(string(body)), took.Round(time.Millisecond), verdict)
			}
			mu.Unlock()
			if err != nil {
				return
			}
		}
	}
	for n := range clients {
		var calls []call
		for i := range orders {
			calls = append(calls, call{fmt.Sprintf("%08x%08x", n, i), "/print-order", "", 6 * time.Second})
		}
		id := fmt.Sprintf("%08x%08x", n, orders)
		calls = append(calls, call{id, "/favourite", id + id, 1500 * time.Millisecond})
		send := func(calls []call) {
			defer wg.Done()
			c, err := net.Dial("tcp", node.Addr)
			if err != nil {
				return
			}
			defer c.Close()
			var text strings.Builder
			for _, call := range calls {
				text.WriteString(call.text())
			}
			if _, err := io.WriteString(c, text.String()); err != nil {
				return
			}
			sent := time.Now()
			_ = c.SetReadDeadline(sent.Add(10 * time.Second))
			receive(bufio.NewReader(c), sent, calls)
		}
		if lab.Trouble() {
			wg.Add(1)
			go send(calls)
			continue
		}
		for _, c := range calls {
			wg.Add(1)
			go send([]call{c})
		}
	}
	wg.Wait()
	for _, s := range servers {
		for _, a := range s.Arrivals() {
			r.Printf("%s got %s %s, X-Deadline %v", s.Name, a.Path, a.ID, a.Deadline)
		}
	}
	r.Printf("%d answered, %d later than half a second after the client's time", answered, late)
	switch {
	case answered == 0:
		return lab.Failed
	case late > 0:
		return lab.Broken
	}
	return lab.Held
}
