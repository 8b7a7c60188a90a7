package balancer

import (
	"container/heap"
	"time"
)

// simulation runs scheduled functions in the order of their times, in simulated time. Functions scheduled for
// the same time run in the order in which they were scheduled.
type simulation struct {
	now       time.Duration
	queue     simEvents
	scheduled int // number of functions scheduled so far
}

// after schedules a function to run after a delay.
func (s *simulation) after(delay time.Duration, run func()) {
	s.scheduled++
	heap.Push(&s.queue, simEvent{s.now + max(0, delay), s.scheduled, run})
}

// runUntil runs the functions scheduled for times up to end, including those that they schedule.
func (s *simulation) runUntil(end time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
	}
}

// simEvent is a scheduled function.
type simEvent struct {
	at       time.Duration
	sequence int // position in the order of scheduling
	run      func()
}

// simEvents is a heap of scheduled functions.
type simEvents []simEvent

func (q *simEvents) Len() int { return len(*q) }
func (q *simEvents) Less(i, j int) bool {
	first, second := (*q)[i], (*q)[j]
	return first.at < second.at || first.at == second.at && first.sequence < second.sequence
}
func (q *simEvents) Swap(i, j int) { (*q)[i], (*q)[j] = (*q)[j], (*q)[i] }
func (q *simEvents) Push(x any)    { *q = append(*q, x.(simEvent)) }
func (q *simEvents) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}
