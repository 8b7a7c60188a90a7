package node

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"basaltdrum/balancer"
	"basaltdrum/internal/testutil"
)

// A hollow node receives lists from discovery, reports each that changes something, and answers calls from
// attempts that end in memory; a call without an answer in time is not served.
func TestHollowNode(t *testing.T) {
	for _, asked := range []bool{false, true} {
		t.Run(fmt.Sprint("polled=", asked), func(t *testing.T) {
			ag := testutil.NewRegistryAgent(t)
			ag.Set(false, testutil.CompleteList(testutil.ListEntry("s1", "127.0.0.1:1", "in_service")))
			cfg := testConfig("")
			cfg.Discovery, cfg.Settings.PollDiscovery = ag.Addr().String(), asked
			lists := make(chan int64, 10)
			var delay atomic.Int64
			delay.Store(int64(time.Millisecond))
			h, err := NewHollow(cfg, testutil.DiscardLog(), func(server string) (time.Duration, balancer.AttemptResult) {
				if server != "s1" {
					t.Errorf("sent to %q", server)
				}
				return time.Duration(delay.Load()), balancer.Success
			}, func(rev int64, at time.Time) { lists <- rev })
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(t.Context())
			over := make(chan struct{})
			go func() {
				defer close(over)
				h.Run(ctx)
			}()
			testutil.Wait(t, lists, "the list")
			testutil.Until(t, "readiness", h.Ready)
			answers := make(chan Answer, 10)
			for range 5 {
				h.Call(cfg.Settings.Classes[0].Name, testutil.Limit, func(a Answer) { answers <- a })
			}
			for range 5 {
				if a := testutil.Wait(t, answers, "an answer"); a != Served {
					t.Errorf("polled %v: answer %v, want served", asked, a)
				}
			}
			delay.Store(int64(time.Hour))
			h.Call(cfg.Settings.Classes[0].Name, 50*time.Millisecond, func(a Answer) { answers <- a })
			if a := testutil.Wait(t, answers, "an answer"); a == Served {
				t.Error("a call that no attempt answers in time is served")
			}
			cancel()
			testutil.Wait(t, over, "the end")
			h.Call(cfg.Settings.Classes[0].Name, testutil.Limit, func(a Answer) { t.Error("answered after the end") })
		})
	}
}
