package node

import (
	"container/heap"
	"time"
)

// timer is a timer that the module has set.
type timer struct {
	at    time.Duration // clock time when it fires
	token string        // the module's name for it
}

// timerQueue holds the timers that have not fired. It belongs to the goroutine of the loop.
type timerQueue struct{ pending timerHeap }

// set adds a timer that fires at a clock time.
func (q *timerQueue) set(at time.Duration, token string) {
	heap.Push(&q.pending, timer{at: at, token: token})
}

// next returns the clock time when the earliest timer fires, if there is one.
func (q *timerQueue) next() (at time.Duration, ok bool) {
	if len(q.pending) == 0 {
		return 0, false
	}
	return q.pending[0].at, true
}

// takeDue removes the earliest timer if it is due, and returns its token.
func (q *timerQueue) takeDue(now time.Duration) (token string, ok bool) {
	if at, ok := q.next(); !ok || at > now {
		return "", false
	}
	return heap.Pop(&q.pending).(timer).token, true
}

// timerHeap is a binary heap of timers (container/heap), the earliest first.
type timerHeap []timer

// Len is part of heap.Interface.
func (h *timerHeap) Len() int { return len(*h) }

// Less is part of heap.Interface.
func (h *timerHeap) Less(i, j int) bool { return (*h)[i].at < (*h)[j].at }

// Swap is part of heap.Interface.
func (h *timerHeap) Swap(i, j int) { (*h)[i], (*h)[j] = (*h)[j], (*h)[i] }

// Push is part of heap.Interface; it takes a timer.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop is part of heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
