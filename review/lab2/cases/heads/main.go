// Command heads runs the case of bad clients whose heads have many short fields and no end.
package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"basaltdrum/review/lab2/lab"
)

const (
	memoryMB   = 64
	sockets    = 608
	badClients = 250
	headBytes  = 19_900 // what a bad client sends of its head
)

func main() { lab.Main(run) }

func run(root, dir string, r *lab.Record) int {
	var targets []lab.Target
	for i := range 3 {
		s, err := lab.NewServer(fmt.Sprintf("s-%d", i+1))
		if err != nil {
			r.Printf("%v", err)
			return lab.Failed
		}
		defer s.Close()
		targets = append(targets, s.Target("jhb-north"))
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

	// The platform: it ends a node that holds more memory than the limit.
	over := make(chan int, 1)
	stop := make(chan struct{})
	var watch, clients, bad sync.WaitGroup
	most := 0
	watch.Add(1)
	go func() {
		defer watch.Done()
		for {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
			kb := privateKB(node.PID())
			most = max(most, kb)
			if kb > memoryMB*1024 {
				over <- kb
				node.Kill()
				return
			}
		}
	}()

	// The usual clients.
	var mu sync.Mutex
	answers := map[string]int{}
	for n := range 6 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			c := lab.Client{Addr: node.Addr}
			defer c.Close()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(60 * time.Millisecond):
				}
				id := fmt.Sprintf("%04x%012x", n, i)
				a := c.Post("/favourite", id, id+id, 3*time.Second, "mark")
				text := "none"
				if a.Err == nil {
					text = strconv.Itoa(a.Status)
				}
				mu.Lock()
				answers[text]++
				first := a.Err != nil && answers["none"] <= 10
				mu.Unlock()
				if first {
					r.Printf("request %s: %v", id, a)
				}
			}
		}()
	}
	time.Sleep(time.Second)
	r.Printf("the node holds %d KB of private memory, of %d MB", privateKB(node.PID()), memoryMB)
	if lab.Trouble() {
		head := endlessHead()
		r.Printf("%d bad clients connect, and each sends %d bytes of a head that does not end", badClients, len(head))
		for range badClients {
			bad.Add(1)
			go func() {
				defer bad.Done()
				c, err := net.DialTimeout("tcp", node.Addr, time.Second)
				if err != nil {
					return
				}
				defer c.Close()
				_, _ = c.Write(head)
				_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
				_, _ = c.Read(make([]byte, 1))
			}()
		}
	}
	time.Sleep(4 * time.Second)
	close(stop)
	bad.Wait()
	clients.Wait()
	watch.Wait()
	r.Printf("answers to the usual clients: %v", answers)
	select {
	case kb := <-over:
		r.Printf("the node held %d KB of private memory, over %d MB: the platform killed it", kb, memoryMB)
		return lab.Broken
	default:
	}
	select {
	case <-node.Exited():
		r.Printf("the node has ended: %s", node.Status())
		return lab.Broken
	default:
	}
	r.Printf("the node held at most %d KB of private memory", most)
	if answers["200"] == 0 {
		return lab.Failed
	}
	return lab.Held
}

// endlessHead returns the start of a head: a request line and fields with short names and no values.
func endlessHead() []byte {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	var b bytes.Buffer
	b.WriteString("POST /favourite HTTP/1.1\r\nHost: backend.local\r\n")
	for k := 0; b.Len() < headBytes; k++ {
		fmt.Fprintf(&b, "%c%c%c:\r\n", letters[k%26], letters[k/26%26], letters[k/26/26%26])
	}
	return b.Bytes()
}

// privateKB returns the private (anonymous) memory of a process, without the pages of its program and libraries.
func privateKB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "RssAnon:" {
			kb, _ := strconv.Atoi(f[1])
			return kb
		}
	}
	return 0
}
