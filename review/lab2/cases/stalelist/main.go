// Command stalelist runs the case of a new configuration whose discovery has an older list.
package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"basaltdrum/review/lab2/lab"
)

const (
	grace    = 300 * time.Millisecond // rules.stop-sending-within-ms, and 50 ms on sockets
	lateness = 2 * time.Second        // of the list at the new address
)

func main() { lab.Main(run) }

func run(root, dir string, r *lab.Record) int {
	var targets []lab.Target
	var servers []*lab.Server
	for i := range 3 {
		s, err := lab.NewServer(fmt.Sprintf("s-%d", i+1))
		if err != nil {
			r.Printf("%v", err)
			return lab.Failed
		}
		defer s.Close()
		servers, targets = append(servers, s), append(targets, s.Target("jhb-north"))
	}
	first, err := lab.NewAgent(targets...)
	if err != nil {
		return lab.Failed
	}
	defer first.Close()
	second, err := lab.NewAgent(targets...)
	if err != nil {
		return lab.Failed
	}
	defer second.Close()
	listen, err := lab.FreeAddr()
	if err != nil {
		return lab.Failed
	}
	config := lab.Config(listen, first.Addr, first.Whole(), lab.GalleryClasses())
	node, err := lab.StartNode(root, dir, config)
	if err != nil {
		r.Printf("%v", err)
		return lab.Failed
	}
	defer node.Kill()

	var wg sync.WaitGroup
	stop := make(chan struct{})
	for client := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			hc := &http.Client{Transport: &http.Transport{}}
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(40 * time.Millisecond):
				}
				id := fmt.Sprintf("%04x%012x", client, i)
				req, _ := http.NewRequest("POST", "http://"+node.Addr+"/favourite", strings.NewReader("mark"))
				req.Header.Set("X-Request-Id", id)
				req.Header.Set("X-Tenant", "kloof-studio")
				req.Header.Set("X-Deadline", "3.000")
				req.Header.Set("Idempotency-Key", id+id)
				resp, err := hc.Do(req)
				if err != nil {
					r.Printf("request %s: %v", id, err)
					continue
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
		}()
	}
	time.Sleep(time.Second)
	drained := targets[0]
	drained.State = "terminating"
	first.Set(drained)
	told := time.Now()
	r.Printf("the first agent tells that %s drains (rev 2)", drained.UID)
	if !lab.Trouble() {
		second.Set(drained)
	}
	time.Sleep(time.Second)
	config["discovery"] = second.Addr
	if err := lab.WriteConfig(node.ConfigPath, config); err != nil {
		return lab.Failed
	}
	if err := node.Signal(syscall.SIGHUP); err != nil {
		return lab.Failed
	}
	r.Printf("SIGHUP: discovery is at another address, which has rev %d", second.Whole().Rev)
	time.Sleep(lateness)
	if lab.Trouble() {
		second.Set(drained)
		r.Printf("the second agent tells that %s drains (rev 2)", drained.UID)
	}
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	late, before := 0, 0
	for _, a := range servers[0].Arrivals() {
		if a.At.Sub(told) > grace {
			late++
			r.Printf("%s got %s %v after the node was told that it drains", a.Server, a.ID, a.At.Sub(told))
		} else {
			before++
		}
	}
	r.Printf("%s got %d requests in time and %d later; the others got %d and %d", drained.UID, before, late,
		len(servers[1].Arrivals()), len(servers[2].Arrivals()))
	if before == 0 {
		return lab.Failed
	}
	if late > 0 {
		return lab.Broken
	}
	return lab.Held
}
