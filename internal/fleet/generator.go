package fleet

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// PathFigures are the figures of calls on one path through a chain: directly from server to server, or through the
// nodes between them.
type PathFigures struct {
	Tally
	Lateness     Quantiles `json:"late"`    // of sends, after the times drawn
	Latency      Quantiles `json:"latency"` // of served calls, from the time drawn to the answer, without the first second
	ScheduleKept bool      `json:"schedule_kept"`
	Cores        float64   `json:"machine_cores"` // processor cores in use over the whole machine meanwhile
}

// maxSendLateness is how late the 99th percentile of sends may be, in milliseconds, for the schedule to count as
// kept.
const maxSendLateness = 1.0

// loadGenerator makes calls at some addresses, in an open loop at the same rate for each.
type loadGenerator struct {
	client    *client
	addresses []string
	name      string
	rate      float64
	seed      uint64
	lateness  *latencies
	latency   *latencies
	warmUp    time.Duration // what is left of it
	rounds    int
	cores     float64 // in use over the whole machine, summed over the rounds

	mu    sync.Mutex
	tally Tally
}

// play makes calls for a while, and waits for their answers.
func (t *loadGenerator) play(ctx context.Context, length time.Duration) {
	warm := time.Now().Add(t.warmUp)
	t.warmUp -= min(t.warmUp, length)
	t.rounds++
	var senders, calls sync.WaitGroup
	for c, head := range t.addresses {
		senders.Add(1)
		go func() {
			defer senders.Done()
			n := 0
			NewArrivals(t.rate, t.seed, uint64(t.rounds*len(t.addresses)+c)).Play(ctx, length, func(drawn time.Time) {
				t.lateness.add(time.Since(drawn))
				id := fmt.Sprintf("%s-%d-%d-%d", t.name, t.rounds, c, n)
				n++
				calls.Add(1)
				go func() {
					defer calls.Done()
					t.call(ctx, head, id, drawn, drawn.After(warm))
				}()
			})
		}()
	}
	senders.Wait()
	calls.Wait()
}

func (t *loadGenerator) call(ctx context.Context, head, id string, drawn time.Time, counts bool) {
	got, _ := t.client.call(ctx, head, callClass, id, drawn.Add(time.Duration(callDeadline*float64(time.Second))))
	if got == served && counts {
		t.latency.add(time.Since(drawn))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tally.Offered++
	switch got {
	case served:
		t.tally.Served++
	case rejected:
		t.tally.Rejected++
	default:
		t.tally.Failed++
	}
}

// figures returns what the calls showed.
func (t *loadGenerator) figures() PathFigures {
	w := PathFigures{Tally: t.tally, Lateness: t.lateness.quantiles(), Latency: t.latency.quantiles(), Cores: t.cores / float64(t.rounds)}
	w.ScheduleKept = w.Lateness.P99 <= maxSendLateness
	return w
}
