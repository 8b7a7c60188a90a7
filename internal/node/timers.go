package node

import (
	"container/heap"
	"time"

	"basaltdrum/balancer"
)

// timerEntry is a timer that the module has set.
type timerEntry struct {
	at    time.Duration // clock time when it fires
	token string        // the module's name for it
}

// timerHeap holds the timers that have not fired as a binary heap (container/heap), the earliest first.
type timerHeap []timerEntry

// Len is part of heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less is part of heap.Interface.
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }

// Swap is part of heap.Interface.
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is part of heap.Interface; it takes a timerEntry.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timerEntry)) }

// Pop is part of heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// setTimer has the module get a Timer event at a clock time.
func (l *loop) setTimer(at time.Duration, token string) {
	heap.Push(&l.timers, timerEntry{at: at, token: token})
}

// fireTimers passes the timers that are due to the module. It reads the clock anew before each, since the
// events before it take time too.
func (l *loop) fireTimers() {
	for len(l.timers) > 0 {
		now := l.clock.Now()
		if l.timers[0].at > now {
			return
		}
		fired := heap.Pop(&l.timers).(timerEntry)
		l.decide(now, balancer.Timer{Token: fired.token})
	}
}
