package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"basaltdrum/balancer"
)

// benchmarkSizes are lengths of the endpoint list: the usual one, 16 times that, and the longest one.
var benchmarkSizes = []int{100, 1600, 3200}

// benchmarkBalancer returns a replica that sends to the second tier, with a list of n endpoints in three
// zones.
func benchmarkBalancer(bench *testing.B, n int) *balancer.Balancer {
	bench.Helper()
	b, err := balancer.New(balancer.Settings{
		Classes: []balancer.Class{{
			Name: "read", Effect: balancer.Idempotent, LatencyObjective: time.Second,
			Deadline: 2 * time.Second, PriorityWeight: 1,
		}},
		Replicas: max(20, n/20), ReplicaIndex: 7, Tier: 1, Zone: "z1", ZoneCount: 3, MaxAttempts: 3,
		AllowCancel: true, Tick: time.Millisecond, SlowStartFloor: 0.12, SlowStartDuration: 24 * time.Second,
		OverloadMultiple: 2, OverloadWindow: time.Second,
	}, 1)
	if err != nil {
		bench.Fatal(err)
	}
	var list []balancer.Endpoint
	for i := range n {
		list = append(list, benchmarkEndpoint("old", i, 0))
	}
	b.Handle(0, balancer.EndpointUpdate{Complete: true, Endpoints: list})
	return b
}

// benchmarkEndpoint returns the endpoint with index i. kind distinguishes the original endpoints from their
// replacements.
func benchmarkEndpoint(kind string, i int, startedAt time.Duration) balancer.Endpoint {
	return balancer.Endpoint{
		ID: fmt.Sprintf("%04d-%s", i, kind), Zone: fmt.Sprint("z", i%3), Capacity: 1,
		StartedAt: startedAt,
	}
}

// replaceEndpoint notifies the Balancer that an endpoint was removed and that another was added, in two
// updates of one entry each.
func replaceEndpoint(b *balancer.Balancer, now time.Duration, removed, added balancer.Endpoint) {
	removed.State = balancer.Removed
	b.Handle(now, balancer.EndpointUpdate{Endpoints: []balancer.Endpoint{removed}})
	b.Handle(now, balancer.EndpointUpdate{Endpoints: []balancer.Endpoint{added}})
}

// serveRequest sends a request, which is answered 100 ms later.
func serveRequest(b *balancer.Balancer, now time.Duration, id string) {
	for _, a := range b.Handle(now, balancer.Request{ID: id, Class: "read", Deadline: now + 2*time.Second}) {
		if s, ok := a.(balancer.Send); ok {
			b.Handle(now+100*time.Millisecond,
				balancer.AttemptEnded{ID: id, Endpoint: s.Endpoint, Result: balancer.Success, Answered: true})
		}
	}
}

// BenchmarkListChange changes one entry of the list at a time: an endpoint is removed or added. With
// requests, a request follows each change, and the subset is rebuilt for it.
func BenchmarkListChange(bench *testing.B) {
	for _, n := range benchmarkSizes {
		for _, requests := range []bool{false, true} {
			bench.Run(fmt.Sprintf("servers=%d/requests=%t", n, requests), func(bench *testing.B) {
				b := benchmarkBalancer(bench, n)
				bench.ReportAllocs()
				for i := 0; bench.Loop(); i++ {
					now := time.Duration(i+1) * 200 * time.Millisecond
					ep := benchmarkEndpoint("old", i/2%n, 0)
					if i%2 == 0 {
						ep.State = balancer.Removed
					}
					b.Handle(now, balancer.EndpointUpdate{Endpoints: []balancer.Endpoint{ep}})
					if requests {
						serveRequest(b, now, fmt.Sprint(i))
					}
				}
			})
		}
	}
}

// BenchmarkCompleteList delivers complete lists that equal the current one.
func BenchmarkCompleteList(bench *testing.B) {
	for _, n := range benchmarkSizes {
		bench.Run(fmt.Sprintf("servers=%d", n), func(bench *testing.B) {
			b := benchmarkBalancer(bench, n)
			var list []balancer.Endpoint
			for i := range n {
				list = append(list, benchmarkEndpoint("old", i, 0))
			}
			bench.ReportAllocs()
			for i := 0; bench.Loop(); i++ {
				b.Handle(time.Duration(i+1)*time.Millisecond, balancer.EndpointUpdate{
					Complete: true, Endpoints: list,
				})
			}
		})
	}
}

// BenchmarkRollingReplacement replaces 60 % of the endpoints within 7 s, one entry per update, while 30
// requests per second arrive, whatever the length of the list. One operation is the whole replacement.
func BenchmarkRollingReplacement(bench *testing.B) {
	for _, n := range benchmarkSizes {
		bench.Run(fmt.Sprintf("servers=%d", n), func(bench *testing.B) {
			bench.ReportAllocs()
			for bench.Loop() {
				bench.StopTimer()
				b := benchmarkBalancer(bench, n)
				bench.StartTimer()
				playRollingReplacement(b, n)
			}
		})
	}
}

// playRollingReplacement plays the replacement of 60 % of the n endpoints.
func playRollingReplacement(b *balancer.Balancer, n int) {
	const start, duration, interval = time.Second, 7 * time.Second, time.Second / 30
	replaced := n * 6 / 10
	next := 0
	for i := range int(duration / interval) {
		now := start + time.Duration(i)*interval
		for ; next < replaced && start+duration*time.Duration(next)/time.Duration(replaced) <= now; next++ {
			replaceEndpoint(b, now, benchmarkEndpoint("old", next, 0), benchmarkEndpoint("new", next, now))
		}
		serveRequest(b, now, fmt.Sprint(i))
	}
}
