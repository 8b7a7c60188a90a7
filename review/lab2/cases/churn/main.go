// Command churn runs the case of a few bad clients that send half a request and close, again and again.
package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"basaltdrum/review/lab2/lab"
)

const (
	memoryMB     = 64
	sockets      = 512
	badClients   = 5
	usualClients = 10
	duration     = 20 * time.Second
	half         = "POST /favourite HTTP/1.1\r\nHost: backend.local\r\nX-Requ"
)

func main() { lab.Main(run) }

func run(root, dir string, r *lab.Record) int {
	var targets []lab.Target
	var servers []*lab.Server
	for i := range 6 {
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
	config := lab.Config(listen, agent.Addr, agent.Whole(), lab.GalleryClasses())
	limits := config["limits"].(lab.Object)
	limits["memory_mb"], limits["sockets"] = memoryMB, sockets
	node, err := lab.StartNode(root, dir, config)
	if err != nil {
		r.Printf("%v", err)
		return lab.Failed
	}
	defer node.Kill()

	end := time.Now().Add(duration)
	var wg sync.WaitGroup
	var halves atomic.Int64
	if lab.Trouble() {
		r.Printf("%d bad clients connect, send %q and close, and do so again at once", badClients, half)
		for range badClients {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for time.Now().Before(end) {
					c, err := net.DialTimeout("tcp", node.Addr, time.Second)
					if err != nil {
						time.Sleep(time.Millisecond)
						continue
					}
					_, _ = io.WriteString(c, half)
					_ = c.Close()
					halves.Add(1)
				}
			}()
		}
	}
	// The platform looks at the descriptors of the node.
	most := 0
	stop := make(chan struct{})
	var platform sync.WaitGroup
	platform.Add(1)
	go func() {
		defer platform.Done()
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", node.PID()))
			most = max(most, len(open))
		}
	}()
	var mu sync.Mutex
	counts := map[string]int{}
	lost, sent := 0, 0
	for n := range usualClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; time.Now().Before(end); i++ {
				id := fmt.Sprintf("%04x%012x", n, i)
				first := ask(node.Addr, id)
				second := lab.Answer{}
				if crossed(first) {
					second = ask(node.Addr, id) // one more time, on a new connection
				}
				mu.Lock()
				sent++
				switch {
				case first.Err == nil:
					counts[strconv.Itoa(first.Status)]++
				case !crossed(first):
					counts["not connected"]++
				case second.Err == nil:
					counts[strconv.Itoa(second.Status)+" on the second connection"]++
				case !crossed(second):
					counts["not connected the second time"]++
				default:
					lost++
					if lost <= 20 {
						r.Printf("request %s: %v; on a second connection: %v", id, first, second)
					}
				}
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
	wg.Wait()
	close(stop)
	platform.Wait()
	ran := 0
	for _, s := range servers {
		ran += len(s.Arrivals())
	}
	r.Printf("bad clients: %d halves of a request; usual clients: %d requests, answers %v; servers ran %d", halves.Load(),
		sent, counts, ran)
	r.Printf("clients held at most %d connections at a time; the node held at most %d of %d descriptors",
		badClients+usualClients, most, sockets)
	r.Printf("%d requests got no answer on either of two connections that the node's machine had accepted", lost)
	switch {
	case counts["200"] == 0:
		return lab.Failed
	case lost > 0:
		return lab.Broken
	}
	return lab.Held
}

// ask sends a request on a new connection.
func ask(addr, id string) lab.Answer {
	c := lab.Client{Addr: addr}
	defer c.Close()
	return c.Post("/favourite", id, id+id, 3*time.Second, "mark")
}

// crossed reports whether the connection was established, and was closed or reset before an answer.
func crossed(a lab.Answer) bool {
	var op *net.OpError
	return a.Err != nil && !(errors.As(a.Err, &op) && op.Op == "dial")
}
