package node

import (
	"container/heap"
	"time"

	"balancer"
)

// alarm is a Wake to come.
type timerEntry struct {
	at    time.Duration
	token string
}

type timerHeap []timerEntry

func (a timerHeap) Len() int           { return len(a) }
func (a timerHeap) Less(i, j int) bool { return a[i].at < a[j].at }
func (a timerHeap) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *timerHeap) Push(x any)        { *a = append(*a, x.(timerEntry)) }
func (a *timerHeap) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// ring handles the alarms that are due.
func (l *loop) fireTimers() {
	for len(l.timers) > 0 {
		now := l.clock.now()
		if l.timers[0].at > now {
			return
		}
		a := heap.Pop(&l.timers).(timerEntry)
		l.decide(now, balancer.Timer{Token: a.token})
	}
}
