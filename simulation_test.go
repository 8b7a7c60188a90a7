package balancer

import "time"

// simEvent is something that happens in simulated time; n keeps the order of those at one time.
type simEvent struct {
	at time.Duration
	n  int
	do func()
}

// simEvents is a heap of events, the next one first.
type simEvents []simEvent

func (q simEvents) Len() int { return len(q) }
func (q simEvents) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].n < q[j].n
}
func (q simEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simEvents) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simEvents) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
