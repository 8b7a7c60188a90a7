package node

import (
	"container/heap"
	"time"
)

// timer is a timer set by the decision module.
type timer struct {
	at    time.Duration // clock time when it fires
	token string        // identifies the timer to the module
}

// timerQueue holds the timers that have not fired. Only the loop's goroutine uses it.
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

// timerHeap implements heap.Interface with the earliest timer first.
type timerHeap []timer

// Len implements heap.Interface.
func (h *timerHeap) Len() int { return len(*h) }

// Less implements heap.Interface.
func (h *timerHeap) Less(i, j int) bool { return (*h)[i].at < (*h)[j].at }

// Swap implements heap.Interface.
func (h *timerHeap) Swap(i, j int) { (*h)[i], (*h)[j] = (*h)[j], (*h)[i] }

// Push implements heap.Interface. x must be a timer.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface. It returns a timer.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
