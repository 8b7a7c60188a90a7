// Command flood runs the case of bad clients that send hundreds of requests without an id at once.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"basaltdrum/review/lab2/lab"
)

const (
	requests = 300 // that a bad client sends at once
	duration = 8 * time.Second
	gone     = 150 * time.Millisecond // after a client's close, 0.1 s and 50 ms on sockets
	slack    = 550 * time.Millisecond // after a client's time, half a second and 50 ms on sockets
	told     = 200 * time.Millisecond // by which the time told to a server may exceed what is left: 0.15 s and 50 ms
)

const badClients = 300

func main() { lab.Main(run) }

// usual is a request of a usual client.
type usual struct {
	begun, closed time.Time // closed: when the client left before its answer
	deadline      time.Duration
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
		s.Serve = func(a lab.Arrival) (time.Duration, []byte) { return 100 * time.Millisecond, lab.OK(a.ID) }
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

	end := time.Now().Add(duration)
	var wg sync.WaitGroup
	var mu sync.Mutex
	sent := map[string]*usual{}
	counts := map[string]int{}
	badBatches, badAnswers := 0, 0
	if lab.Trouble() {
		text := strings.Repeat("POST /favourite HTTP/1.1\r\nHost: backend.local\r\nContent-Length: 0\r\n\r\n", requests)
		for range badClients {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for time.Now().Before(end) {
					n := flood(node.Addr, text)
					mu.Lock()
					badBatches++
					badAnswers += n
					mu.Unlock()
				}
			}()
		}
	}
	late := 0
	for n := range 12 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; time.Now().Before(end); i++ {
				time.Sleep(80 * time.Millisecond)
				id := fmt.Sprintf("%04x%012x", n, i)
				u := &usual{deadline: 1500 * time.Millisecond}
				leave := time.Duration(0)
				if i%3 == 2 {
					leave = time.Duration(20+10*(i%5)) * time.Millisecond
				}
				mu.Lock()
				sent[id] = u
				mu.Unlock()
				status, took := u.send(node.Addr, id, leave, &mu)
				mu.Lock()
				if status != "left" && took > u.deadline+slack {
					late++
					status += " (late)"
				}
				counts[status]++
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	departed, overlong := 0, 0
	for _, s := range servers {
		for _, a := range s.Arrivals() {
			u := sent[a.ID]
			if u == nil {
				continue
			}
			if !u.closed.IsZero() && a.At.Sub(u.closed) > gone {
				departed++
				r.Printf("%s got %s %v after its client had gone", s.Name, a.ID, a.At.Sub(u.closed))
			}
			if left := u.begun.Add(u.deadline).Sub(a.At); a.Deadline > left+told {
				overlong++
				r.Printf("%s got %s with %v, its client had %v left", s.Name, a.ID, a.Deadline, left)
			}
		}
	}
	r.Printf("bad clients: %d times %d requests, %d answers; usual clients: %v", badBatches, requests, badAnswers, counts)
	r.Printf("%d answers too late, %d attempts for clients that had gone, %d attempts with too much time", late, departed, overlong)
	switch {
	case len(sent) == 0:
		return lab.Failed
	case late+departed+overlong > 0:
		return lab.Broken
	}
	return lab.Held
}

// flood sends requests at once, and reads answers until there are no more. It returns their number.
func flood(addr, text string) (answers int) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		time.Sleep(10 * time.Millisecond)
		return 0
	}
	defer c.Close()
	go func() { _, _ = io.WriteString(c, text) }()
	_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
	in := bufio.NewReader(c)
	for answers < requests {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return answers
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		answers++
	}
	return answers
}

// send sends the request on a connection of its own. The client leaves after a time, if there is one.
func (u *usual) send(addr, id string, leave time.Duration, mu *sync.Mutex) (status string, took time.Duration) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return "connect failed", 0
	}
	defer c.Close()
	mu.Lock()
	u.begun = time.Now()
	mu.Unlock()
	fmt.Fprintf(c, "POST /favourite HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: %s\r\nX-Tenant: kloof-studio\r\n"+
		"X-Deadline: %.3f\r\nIdempotency-Key: %s%s\r\nContent-Length: 4\r\n\r\nmark", id, u.deadline.Seconds(), id, id)
	_ = c.SetReadDeadline(u.begun.Add(6 * time.Second))
	if leave > 0 {
		_ = c.SetReadDeadline(u.begun.Add(leave))
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	took = time.Since(u.begun)
	if err == nil {
		return strconv.Itoa(resp.StatusCode), took
	}
	if leave > 0 {
		c.Close()
		mu.Lock()
		u.closed = time.Now()
		mu.Unlock()
		return "left", took
	}
	return "none", took
}
