package balancer

import (
	"container/heap"
	"time"
)

// simulation runs planned steps in the order of their times, in simulated time. Steps of the same time run in
// the order in which they were planned.
type simulation struct {
	now     time.Duration
	queue   simEvents
	planned int
}

// in plans a step for some time from now.
func (s *simulation) in(d time.Duration, do func()) {
	s.planned++
	heap.Push(&s.queue, simEvent{s.now + max(0, d), s.planned, do})
}

// runUntil runs the steps planned for a time and all before, with those that they plan.
func (s *simulation) runUntil(end time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.do()
	}
}

type simEvent struct {
	at time.Duration
	n  int
	do func()
}

// simEvents is a heap of planned steps.
type simEvents []simEvent

func (q *simEvents) Len() int { return len(*q) }
func (q *simEvents) Less(i, j int) bool {
	first, second := (*q)[i], (*q)[j]
	return first.at < second.at || first.at == second.at && first.n < second.n
}
func (q *simEvents) Swap(i, j int) { (*q)[i], (*q)[j] = (*q)[j], (*q)[i] }
func (q *simEvents) Push(x any)    { *q = append(*q, x.(simEvent)) }
func (q *simEvents) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}
