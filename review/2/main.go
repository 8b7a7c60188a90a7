// Command 2 is case 2 of the review: a few bad clients send bodies of 60 MB, one after the other. claim.txt states the
// rule and the disruption.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"basaltdrum/review/lab"
)

const (
	memoryMB   = 64  // limits.memory_mb: "32 to 192 MB"
	sockets    = 512 // limits.sockets: "256 to 1,024 descriptors"
	servers    = 8
	work       = 200 * time.Millisecond // that a request takes
	deadline   = 6 * time.Second        // "print-order: 6 s"
	loadFor    = 8 * time.Second
	sampleWait = 20 * time.Millisecond

	usualClients = 10
	usualPause   = 100 * time.Millisecond // between an answer and the next client

	badClients   = 5
	badBody      = 60_000_000 // bytes, "60 MB bodies"
	badPart      = 64 << 10   // bytes in one write
	badOwed      = 6 * time.Second
	tries        = 2 // "the client sends that request one more time on a new connection"
	notAnswered  = "no answer to %s, try %d, its connection ended: %v"
	badHeadLines = "POST /print-order/1 HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: %s\r\nX-Deadline: 6.000\r\n" +
		"Content-Length: %d\r\n\r\n"
)

func main() { lab.Main(run) }

// day is one run: the node, and the counts of what happened.
type day struct {
	c   *lab.Case
	n   *lab.Node
	end time.Time

	bad, badSilent, usual, descriptors atomic.Int64
}

func run(c *lab.Case) error {
	handle := func(s *lab.Server, a lab.Arrival) bool {
		c.Note("%s got %s", s.UID, a.ID)
		time.Sleep(work)
		return s.OK(a, lab.BodyFor(s.UID, a.ID))
	}
	site := lab.Gallery()
	all, err := c.StartServers(servers, site.Zone(), handle)
	if err != nil {
		return err
	}
	agent, err := c.StartDiscovery(lab.ReadyEntries(all), 0)
	if err != nil {
		return err
	}
	n, err := c.StartNode("n0", site.Config(agent, memoryMB, sockets))
	if err != nil {
		return err
	}
	if err := n.AwaitReady(); err != nil {
		return err
	}
	d := &day{c: c, n: n, end: time.Now().Add(loadFor)}
	var running sync.WaitGroup
	start := func(count int, client func()) {
		for range count {
			running.Add(1)
			go func() {
				defer running.Done()
				client()
			}()
		}
	}
	start(1, d.watchDescriptors)
	start(usualClients, d.usualClients)
	if c.Trouble {
		start(badClients, d.badClient)
	}
	running.Wait()
	c.Note("usual requests: %d; connections of bad clients: %d, of which %d were closed without an answer",
		d.usual.Load(), d.bad.Load(), d.badSilent.Load())
	c.Note("most descriptors of the node, as the platform sees them: %d of %d", d.descriptors.Load(), sockets)
	return nil
}

// watchDescriptors samples the number of descriptors that the node has open.
func (d *day) watchDescriptors() {
	for time.Now().Before(d.end) {
		open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.n.PID()))
		d.descriptors.Store(max(d.descriptors.Load(), int64(len(open))))
		time.Sleep(sampleWait)
	}
}

// usualClients plays clients one after the other, each of which asks once on a connection of its own.
func (d *day) usualClients() {
	for time.Now().Before(d.end) {
		d.usual.Add(1)
		d.usualRequest(lab.Request{
			Method: http.MethodPost, Path: "/print-order/1", ID: lab.NewID(), Deadline: deadline, Body: "x",
		})
		time.Sleep(usualPause)
	}
}

// usualRequest sends a request. If its connection ends without an answer, it is sent one more time on a new one.
func (d *day) usualRequest(r lab.Request) {
	for try := range tries {
		d.c.Note("sent %s, try %d", r.ID, try)
		answer, err := lab.Do(d.n.Address, r)
		if err == nil {
			d.c.Note("answered %s: status %d, %q", r.ID, answer.Status, answer.Body)
			return
		}
		d.c.Note(notAnswered, r.ID, try, err)
	}
	d.c.Broken("lost: %s was sent whole on two connections that the node accepted, and got no answer", r.ID)
}

// badClient sends a body of 60 MB at full speed, reads what it is sent, and does the same again once it is turned away.
func (d *day) badClient() {
	part := []byte(strings.Repeat("x", badPart))
	for time.Now().Before(d.end) {
		conn, err := net.Dial("tcp", d.n.Address)
		if err != nil {
			continue
		}
		go func() {
			if _, err := fmt.Fprintf(conn, badHeadLines, lab.NewID(), badBody); err != nil {
				return
			}
			for range badBody / badPart {
				if _, err := conn.Write(part); err != nil {
					return
				}
			}
		}()
		_ = conn.SetReadDeadline(time.Now().Add(badOwed))
		received, _ := io.Copy(io.Discard, conn)
		_ = conn.Close()
		d.bad.Add(1)
		if received == 0 {
			d.badSilent.Add(1)
		}
	}
}
