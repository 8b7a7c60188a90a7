package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestLongRequestsStayWithinTheMemoryLimit sends the longest requests from as many clients as may connect, a third of
// the descriptors, to a node whose servers hold them until each has arrived or has been refused. Then all servers send
// the longest responses at once. A node that held all of them was killed over its memory limit, and lost what it had
// accepted. The pages of the program do not count, as they can be read again.
func TestLongRequestsStayWithinTheMemoryLimit(t *testing.T) {
	build(t)
	for _, c := range []struct {
		memoryMB, sockets int
		allServed         bool // the memory suffices for all requests
	}{
		{32, 1024, false}, {40, 1024, false}, {64, 1024, true}, {32, 256, true},
	} {
		t.Run(fmt.Sprintf("%d MB, %d descriptors", c.memoryMB, c.sockets), func(t *testing.T) {
			t.Parallel()
			checkLongRequests(t, c.memoryMB, c.sockets, c.allServed)
		})
	}
}

func checkLongRequests(t *testing.T, memoryMB, sockets int, allServed bool) {
	t.Helper()
	clients := sockets / 3
	var arrived atomic.Int64
	released := make(chan struct{})
	release := sync.OnceFunc(func() { close(released) })
	entries := newLongServers(t, clients, func() {
		arrived.Add(1)
		<-released
	})
	t.Cleanup(release) // before the servers' cleanup, which waits for their requests
	p := launch(t, memoryConfig(memoryMB, sockets, entries), sockets)
	l := &longClients{address: p.address(t), clients: clients}
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.run(func(responses int) bool { return responses == 0 })
	}()
	eventually(t, "each request to have arrived or to be refused", func() bool {
		return !p.alive() || arrived.Load()+l.refused.Load()+l.failed.Load() == int64(clients)
	})
	release()
	waitFor(t, done, "a response to each request")
	if !p.alive() || l.failed.Load() > 0 || l.served.Load() != arrived.Load() {
		t.Errorf("got %d served of %d that arrived, %d refused, %d without either; want the latter none\n%s",
			l.served.Load(), arrived.Load(), l.refused.Load(), l.failed.Load(), p.logText())
	}
	if l.served.Load() == 0 || allServed && l.refused.Load() > 0 {
		t.Errorf("%d of %d requests were refused", l.refused.Load(), clients)
	}
	t.Logf("%d served, %d refused", l.served.Load(), l.refused.Load())
	checkMemory(t, p, memoryMB)
}

// checkMemory checks that a node has stayed within its memory limit. The pages of mapped files, such as the program,
// do not count, as they can be read again.
func checkMemory(t *testing.T, p *process, memoryMB int) {
	t.Helper()
	peak, mappedFiles := peakMemoryKB(t, p.cmd.Process.Pid)
	if peak-mappedFiles > memoryMB<<10 {
		t.Errorf("the node used %d kB, its limit is %d kB", peak-mappedFiles, memoryMB<<10)
	}
	t.Logf("at most %d of %d kB, and %d of mapped files", peak-mappedFiles, memoryMB<<10, mappedFiles)
}

// BenchmarkLongRequests measures the highest memory of a node, and how many requests it serves, at each pair of memory
// and descriptors with the longest requests and responses from a third of the descriptors. Servers take half a second.
func BenchmarkLongRequests(b *testing.B) {
	const work, duration = 500 * time.Millisecond, 5 * time.Second
	for _, memoryMB := range []int{32, 40, 48, 64, 128, 192} {
		for _, sockets := range []int{256, 512, 672, 1024} {
			b.Run(fmt.Sprintf("MB=%d/descriptors=%d", memoryMB, sockets), func(b *testing.B) {
				build(b)
				for b.Loop() {
					measureLongRequests(b, memoryMB, sockets, work, duration)
				}
			})
		}
	}
}

func measureLongRequests(b *testing.B, memoryMB, sockets int, work, duration time.Duration) {
	b.Helper()
	clients := sockets / 3
	p := launch(b, memoryConfig(memoryMB, sockets, newLongServers(b, clients, func() { time.Sleep(work) })), sockets)
	l := &longClients{address: p.address(b), clients: clients}
	end := time.Now().Add(duration)
	l.run(func(int) bool { return time.Now().Before(end) })
	peak, mappedFiles := peakMemoryKB(b, p.cmd.Process.Pid)
	b.ReportMetric(float64(peak)/1024, "peak-MB")
	b.ReportMetric(float64(peak-mappedFiles)/1024, "anonymous-MB")
	b.ReportMetric(float64(l.served.Load()), "served")
	b.ReportMetric(float64(l.refused.Load()), "refused")
	b.ReportMetric(float64(l.failed.Load()), "failed")
	b.ReportMetric(float64(l.slowest.Load())/1e9, "slowest-s")
}
