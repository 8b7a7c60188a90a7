package fleet

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Way is what calls met on one way through a chain.
type Way struct {
	Tally
	Late    Quantiles `json:"late"`    // of sends, against the times drawn
	Latency Quantiles `json:"latency"` // of served calls, from the time drawn to the answer, without the first second
	Kept    bool      `json:"schedule_kept"`
}

// keptWithin is how late 99 in 100 sends may be for the schedule to count as kept.
const keptWithin = 1.0 // ms

// chainWarm is for connections to be opened; the latency of its calls is left out.
const chainWarm = time.Second

// play makes calls at the heads of chains, at a rate each, in an open loop, and waits for their answers.
func play(ctx context.Context, caller *caller, heads []string, name string, rate float64, length time.Duration, seed uint64) Way {
	var mu sync.Mutex
	var way Way
	late, latency := newLatencies(), newLatencies()
	warm := time.Now().Add(min(chainWarm, length/5))
	var players, calls sync.WaitGroup
	for c, head := range heads {
		players.Add(1)
		go func() {
			defer players.Done()
			n := 0
			NewArrivals(rate, seed, uint64(c)).Play(ctx, length, func(drawn time.Time) {
				late.add(time.Since(drawn))
				id := fmt.Sprintf("%s-%d-%d", name, c, n)
				n++
				calls.Add(1)
				go func() {
					defer calls.Done()
					got, _ := caller.call(ctx, head, callClass, id, drawn.Add(time.Duration(callDeadline*float64(time.Second))))
					if got == served && drawn.After(warm) {
						latency.add(time.Since(drawn))
					}
					mu.Lock()
					defer mu.Unlock()
					way.Offered++
					switch got {
					case served:
						way.Served++
					case refused:
						way.Refused++
					default:
						way.Failed++
					}
				}()
			})
		}()
	}
	players.Wait()
	calls.Wait()
	way.Late, way.Latency = late.quantiles(), latency.quantiles()
	way.Kept = way.Late.P99 <= keptWithin
	return way
}

// Chain compares calls through nodes with calls that servers make to one another directly.
type Chain struct {
	Depth   int     `json:"depth"`
	Chains  int     `json:"chains"`
	Rate    float64 `json:"rate"` // calls a second at each node
	Direct  Way     `json:"direct"`
	Through Way     `json:"through"`
	// Differences of the quantiles of the two ways, in milliseconds: added by all nodes of the chain.
	AddedP50  float64 `json:"added_p50_ms"`
	AddedP99  float64 `json:"added_p99_ms"`
	AddedP999 float64 `json:"added_p99_9_ms"`
	// Processor cores in use over the whole machine while calls went each way.
	DirectCores  float64 `json:"direct_machine_cores"`
	ThroughCores float64 `json:"through_machine_cores"`
}
