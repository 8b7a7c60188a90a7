package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"basaltdrum/balancer"
)

// A host passes events to a Balancer and carries out its actions: an endpoint list arrives, then a request,
// whose first attempt fails to connect and whose second attempt succeeds.
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
	actions := b.Handle(now, balancer.Request{ID: "r1", Class: "read", Deadline: now + time.Second})
	first := actions[0].(balancer.Send)
	fmt.Println("sent", first.ID, "with a timeout of", first.Timeout)

	now += 3 * time.Millisecond
	actions = b.Handle(now, balancer.AttemptEnded{
		ID: "r1", Attempt: 0, Endpoint: first.Endpoint,
		Result: balancer.ConnectFailed, Latency: 3 * time.Millisecond,
	})
	second := actions[0].(balancer.Send)
	fmt.Println("retried at another endpoint:", second.Endpoint != first.Endpoint)

	now += 20 * time.Millisecond
	actions = b.Handle(now, balancer.AttemptEnded{
		ID: "r1", Attempt: 1, Endpoint: second.Endpoint,
		Result: balancer.Success, Latency: 20 * time.Millisecond, Answered: true,
	})
	fmt.Println("remaining actions:", len(actions))
	// Output:
	// sent r1 with a timeout of 198ms
	// retried at another endpoint: true
	// remaining actions: 0
}

func BenchmarkHandle(bench *testing.B) {
	for _, n := range []int{100, 1000} {
		bench.Run(fmt.Sprint(n), func(bench *testing.B) { benchmarkHandle(bench, n) })
	}
}

// benchmarkHandle measures a request and its response at one of 100 replicas, with n endpoints.
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
