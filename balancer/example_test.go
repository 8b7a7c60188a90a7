package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"basaltdrum/balancer"
)

// One Balancer driven by hand: a list, a request, an attempt that never ran, and its response.
func Example() {
	b, err := balancer.New(balancer.Settings{
		Classes: []balancer.Class{{
			Name: "read", Effect: balancer.Idempotent, Scope: balancer.ScopeAll,
			LatencyObjective: 200 * time.Millisecond, Deadline: time.Second, PriorityWeight: 1,
		}},
		Replicas: 1, MaxAttempts: 3, Tick: time.Millisecond,
		SlowStartFloor: 0.2, SlowStartDuration: 10 * time.Second,
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	b.Handle(0, balancer.EndpointUpdate{Complete: true, Endpoints: []balancer.Endpoint{{ID: "a:80"}, {ID: "b:80"}}})

	now := 5 * time.Millisecond
	acts := b.Handle(now, balancer.Request{ID: "r1", Class: "read", Deadline: now + time.Second})
	first := acts[0].(balancer.Send)
	fmt.Println("sent", first.ID, "with a time-out of", first.Timeout)

	now += 3 * time.Millisecond
	acts = b.Handle(now, balancer.AttemptEnded{
		ID: "r1", Attempt: 0, Endpoint: first.Endpoint,
		Result: balancer.ConnectFailed, Latency: 3 * time.Millisecond,
	})
	second := acts[0].(balancer.Send)
	fmt.Println("sent again to another server:", second.Endpoint != first.Endpoint)

	now += 20 * time.Millisecond
	acts = b.Handle(now, balancer.AttemptEnded{
		ID: "r1", Attempt: 1, Endpoint: second.Endpoint,
		Result: balancer.Success, Latency: 20 * time.Millisecond, Answered: true,
	})
	fmt.Println("left to do:", len(acts))
	// Output:
	// sent r1 with a time-out of 198ms
	// sent again to another server: true
	// left to do: 0
}

func BenchmarkHandle(bench *testing.B) {
	for _, n := range []int{100, 1000} {
		bench.Run(fmt.Sprint(n), func(bench *testing.B) { benchmarkHandle(bench, n) })
	}
}

// benchmarkHandle plays a request and its answer at one of 100 copies.
func benchmarkHandle(bench *testing.B, n int) {
	b, err := balancer.New(balancer.Settings{
		Classes: []balancer.Class{{
			Name: "read", Effect: balancer.Idempotent, LatencyObjective: time.Second,
			Deadline: time.Second, PriorityWeight: 1,
		}},
		Replicas: 100, MaxAttempts: 3, Tick: time.Millisecond,
	}, 1)
	if err != nil {
		bench.Fatal(err)
	}
	var list []balancer.Endpoint
	for i := range n {
		list = append(list, balancer.Endpoint{ID: fmt.Sprint("s", i)})
	}
	b.Handle(0, balancer.EndpointUpdate{Complete: true, Endpoints: list})
	bench.ReportAllocs()
	for i := 0; bench.Loop(); i++ {
		now, id := time.Duration(i)*time.Millisecond, fmt.Sprint(i)
		s := b.Handle(now, balancer.Request{ID: id, Class: "read", Deadline: now + time.Second})[0].(balancer.Send)
		b.Handle(now, balancer.AttemptEnded{ID: id, Endpoint: s.Endpoint, Result: balancer.Success, Answered: true})
	}
}
