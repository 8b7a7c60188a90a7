package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"basaltdrum/balancer"
)

// benchmarkSizes are lengths of an endpoint list: the usual one, sixteen times that, and the longest.
var benchmarkSizes = []int{100, 1600, 3200}

// benchmarkBalancer returns a node of a later tier whose complete list names n servers of three zones.
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
		list = append(list, benchmarkServer("old", i, 0))
	}
	b.Handle(0, balancer.EndpointUpdate{Complete: true, Endpoints: list})
	return b
}

func benchmarkServer(kind string, i int, boot time.Duration) balancer.Endpoint {
	return balancer.Endpoint{
		ID: fmt.Sprintf("%04d-%s", i, kind), Zone: fmt.Sprint("z", i%3), Capacity: 1,
		StartedAt: boot,
	}
}

// replaceServer notifies the node that a server was removed and that another has joined: two changes of one
// entry.
func replaceServer(b *balancer.Balancer, now time.Duration, left, joined balancer.Endpoint) {
	left.State = balancer.Removed
	b.Handle(now, balancer.EndpointUpdate{Endpoints: []balancer.Endpoint{left}})
	b.Handle(now, balancer.EndpointUpdate{Endpoints: []balancer.Endpoint{joined}})
}

// serveRequest plays a request, and its response a tenth of a second later.
func serveRequest(b *balancer.Balancer, now time.Duration, id string) {
	for _, a := range b.Handle(now, balancer.Request{ID: id, Class: "read", Deadline: now + 2*time.Second}) {
		if s, ok := a.(balancer.Send); ok {
			b.Handle(now+100*time.Millisecond,
				balancer.AttemptEnded{ID: id, Endpoint: s.Endpoint, Result: balancer.Success, Answered: true})
		}
	}
}

// BenchmarkListChange plays changes of one entry of the list, a server that leaves or one that joins, with a
// request after each, whose subset is built anew.
func BenchmarkListChange(bench *testing.B) {
	for _, n := range benchmarkSizes {
		for _, requests := range []bool{false, true} {
			bench.Run(fmt.Sprintf("servers=%d/requests=%t", n, requests), func(bench *testing.B) {
				b := benchmarkBalancer(bench, n)
				bench.ReportAllocs()
				for i := 0; bench.Loop(); i++ {
					now := time.Duration(i+1) * 200 * time.Millisecond
					s := benchmarkServer("old", i/2%n, 0)
					if i%2 == 0 {
						s.State = balancer.Removed
					}
					b.Handle(now, balancer.EndpointUpdate{Endpoints: []balancer.Endpoint{s}})
					if requests {
						serveRequest(b, now, fmt.Sprint(i))
					}
				}
			})
		}
	}
}

// BenchmarkCompleteList plays complete lists, all alike.
func BenchmarkCompleteList(bench *testing.B) {
	for _, n := range benchmarkSizes {
		bench.Run(fmt.Sprintf("servers=%d", n), func(bench *testing.B) {
			b := benchmarkBalancer(bench, n)
			var list []balancer.Endpoint
			for i := range n {
				list = append(list, benchmarkServer("old", i, 0))
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

// BenchmarkRollingReplacement replaces six in ten servers within 7 s, one entry a change, while 30 requests a
// second come, as many at each length of the list. An operation is all of that.
func BenchmarkRollingReplacement(bench *testing.B) {
	for _, n := range benchmarkSizes {
		bench.Run(fmt.Sprintf("servers=%d", n), func(bench *testing.B) {
			bench.ReportAllocs()
			for bench.Loop() {
				bench.StopTimer()
				b := benchmarkBalancer(bench, n)
				bench.StartTimer()
				playReplacement(b, n)
			}
		})
	}
}

func playReplacement(b *balancer.Balancer, n int) {
	const first, span, every = time.Second, 7 * time.Second, time.Second / 30
	replaced := n * 6 / 10
	next := 0
	for i := range int(span / every) {
		now := first + time.Duration(i)*every
		for ; next < replaced && first+span*time.Duration(next)/time.Duration(replaced) <= now; next++ {
			replaceServer(b, now, benchmarkServer("old", next, 0), benchmarkServer("new", next, now))
		}
		serveRequest(b, now, fmt.Sprint(i))
	}
}
