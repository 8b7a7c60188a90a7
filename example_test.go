package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"balancer"
)

// One Balancer driven by hand: a list, a request, an attempt that never ran, and its answer.
func Example() {
	b, err := balancer.New(balancer.Settings{
		Classes: []balancer.Class{{Name: "read", Effect: balancer.Safe, Scope: balancer.ScopeAll,
			Aim: 200 * time.Millisecond, Deadline: time.Second, Worth: 1}},
		Balancers: 1, MaxAttempts: 3, Tick: time.Millisecond,
		ColdFrom: 0.2, WarmAfter: 10 * time.Second,
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	b.Handle(0, balancer.ServerList{Full: true, Servers: []balancer.Server{{ID: "a:80"}, {ID: "b:80"}}})

	now := 5 * time.Millisecond
	acts := b.Handle(now, balancer.Request{ID: "r1", Class: "read", Deadline: now + time.Second})
	first := acts[0].(balancer.Send)
	fmt.Println("sent", first.ID, "with a time-out of", first.Timeout)

	now += 3 * time.Millisecond
	acts = b.Handle(now, balancer.Outcome{ID: "r1", Attempt: 0, Server: first.Server,
		Ending: balancer.Unreachable, Latency: 3 * time.Millisecond})
	second := acts[0].(balancer.Send)
	fmt.Println("sent again to another server:", second.Server != first.Server)

	now += 20 * time.Millisecond
	acts = b.Handle(now, balancer.Outcome{ID: "r1", Attempt: 1, Server: second.Server,
		Ending: balancer.Success, Latency: 20 * time.Millisecond, Ended: true})
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
		Classes: []balancer.Class{{Name: "read", Effect: balancer.Safe, Aim: time.Second,
			Deadline: time.Second, Worth: 1}},
		Balancers: 100, MaxAttempts: 3, Tick: time.Millisecond,
	}, 1)
	if err != nil {
		bench.Fatal(err)
	}
	var list []balancer.Server
	for i := range n {
		list = append(list, balancer.Server{ID: fmt.Sprint("s", i)})
	}
	b.Handle(0, balancer.ServerList{Full: true, Servers: list})
	bench.ReportAllocs()
	for i := 0; bench.Loop(); i++ {
		now, id := time.Duration(i)*time.Millisecond, fmt.Sprint(i)
		s := b.Handle(now, balancer.Request{ID: id, Class: "read", Deadline: now + time.Second})[0].(balancer.Send)
		b.Handle(now, balancer.Outcome{ID: id, Server: s.Server, Ending: balancer.Success, Ended: true})
	}
}
