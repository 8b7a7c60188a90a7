package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// chernoffMean is the largest mean with which a count goes over a limit with a chance of exp(-rarity) at most,
// by Chernoff's bound, found by bisection.
func chernoffMean(limit float64) float64 {
	low, high := 0.0, limit
	for range 60 {
		mean := (low + high) / 2
		if limit-mean-limit*math.Log(limit/mean) <= -rarity {
			low = mean
		} else {
			high = mean
		}
	}
	return low
}

// allowedMean is what a node that is alone sends a cold server in a window, where the settings allow it n.
func allowedMean(t *testing.T, n float64) float64 {
	t.Helper()
	b := newBalancer(t, func(s *Settings) {
		s.Tier, s.Replicas = 1, 1
		s.SlowStartFloor, s.SlowStartDuration, s.OverloadMultiple, s.OverloadWindow = 0.5, 20*time.Second, 2, time.Second
	})
	list := servers(2)
	list[0].StartedAt = time.Minute
	b.Handle(time.Minute, EndpointUpdate{Complete: true, Endpoints: list})
	b.fitPool()
	b.warmCapacity = capacityEstimate{answers: n * b.ramp(), seconds: b.ramp(), at: b.now} // n a second at a warm one
	return b.creditRate(b.servers[list[0].ID]) * b.set.OverloadWindow.Seconds()
}

// A cold server is sent all that the limit allows on average: by the wider rule where the settings allow it
// less than 30 requests in a window. Just under 30 the limit is the one that holds at 30, and it never shrinks.
func TestCreditFollowsTheFallLimit(t *testing.T) {
	narrow := func(n float64) float64 { return n + 2*math.Sqrt(n) + 2 }
	before := 0.0
	for _, n := range []float64{0.5, 1, 2.4, 5, 10, 20, 24.9, 25.5, 29, 29.99, 30, 30.01, 31, 60, 300} {
		limit := narrow(n)
		if n < 30 {
			limit = min(n+3*math.Sqrt(n)+3, narrow(30))
		}
		got, want := allowedMean(t, n), chernoffMean(limit)
		if math.Abs(got-want) > 0.01*want {
			t.Errorf("with N %v a cold server is sent %.3f in a window on average, want %.3f", n, got, want)
		}
		if got < before*0.9999 {
			t.Errorf("with N %v a cold server is sent %.3f, less than the %.3f with a smaller N", n, got, before)
		}
		before = got
	}
}

// After a loss a node's whole pool may come back cold. That must not set the thinning aside while the
// rest of the list is warm: many such nodes would push the cold servers over.
func TestColdPoolLeavesTheThinningOn(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Tier, s.Replicas = 1, 50 })
	list := servers(40)
	b.Handle(msec, EndpointUpdate{Complete: true, Endpoints: list})
	b.choose(&request{class: b.classes["get"]})
	for _, s := range append(append([]*server{}, b.pool.left...), b.pool.right...) {
		for i := range list {
			if list[i].ID == s.ID {
				list[i].StartedAt = time.Second
			}
		}
	}
	b.Handle(time.Second, EndpointUpdate{Complete: true, Endpoints: list})
	cold := 0
	for range 1000 {
		if s := b.choose(&request{class: b.classes["get"]}); s.StartedAt > 0 {
			cold++
		}
	}
	if got := float64(cold) / 1000; got > 0.05 { // thinned to a fifth, and a few of forty
		t.Errorf("%.2f of the calls went to the cold pool", got)
	}
}

// A cold server takes a heavy request many times as long as a warm one; a light one has time to spare.
func TestColdServerGetsNoHeavyRequests(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Tier = 1 })
	list := servers(4)
	list[1].StartedAt = time.Second
	b.Handle(2*time.Second, EndpointUpdate{Complete: true, Endpoints: list}) // warmth 0.28
	got := map[time.Duration]int{}
	for i := range 400 {
		effort := []time.Duration{10 * msec, 100 * msec}[i%2]
		id, now := fmt.Sprint(i), b.now+10*time.Microsecond
		s := sends(b.Handle(now, Request{ID: id, Class: "pay", Deadline: now + time.Second, ExpectedWork: effort}))[0]
		if settle(b, now, id, s, Success); s.Endpoint == "s01" && i >= 20 {
			got[effort]++
		}
	}
	if got[100*msec] > 0 || got[10*msec] < 20 {
		t.Errorf("the cold server got %d heavy and %d light requests", got[100*msec], got[10*msec])
	}
}

const fallMultiple, fallFor = 3.0, 2 * time.Second // the budget of testSettings' site

// coldLoad has copies send at three quarters of what 6 servers can do, one of them fresh from second 1
// on. It tells how many calls the fresh one got, and the most that came in any fallFor against the
// budget of fallMultiple times what it can do then.
func coldLoad(set Settings, copies int, send func(copy int, now time.Duration, id string) string) (int, float64) {
	const capacity = 50.0 // a warm server's calls a second
	rng := rand.New(rand.NewPCG(3, 3))
	var cold []time.Duration
	for i := range int(0.75 * 6 * capacity * 12) {
		now := time.Second + time.Duration(float64(i)/(0.75*6*capacity)*float64(time.Second))
		if send(rng.IntN(copies), now, fmt.Sprint(i)) == "s02" {
			cold = append(cold, now)
		}
	}
	worst := 0.0
	for i := range cold {
		n := 0
		for _, at := range cold[i:] {
			if at < cold[i]+fallFor {
				n++
			}
		}
		grown := float64(cold[i]-time.Second) / float64(set.SlowStartDuration)
		budget := fallMultiple * capacity * min(1, set.SlowStartFloor+(1-set.SlowStartFloor)*grown) * fallFor.Seconds()
		worst = max(worst, float64(n)/budget)
	}
	return len(cold), worst
}

func TestColdServerIsNotPushedOver(t *testing.T) {
	set := testSettings()
	for _, copies := range []int{12, 200} {
		set.Tier, set.Replicas = 1, copies
		list := servers(6)
		list[2].StartedAt = time.Second
		var bs []*Balancer
		for i := range copies {
			set.ReplicaIndex = i
			b, err := New(set, uint64(i))
			if err != nil {
				t.Fatal(err)
			}
			b.Handle(0, EndpointUpdate{Complete: true, Endpoints: list})
			bs = append(bs, b)
		}
		calls, worst := coldLoad(set, copies, func(copy int, now time.Duration, id string) string {
			s := sends(bs[copy].Handle(now, Request{ID: id, Class: "get", Deadline: now + time.Second}))[0]
			bs[copy].Handle(now+20*msec, AttemptEnded{ID: id, Endpoint: s.Endpoint, Result: Success, Answered: true})
			return s.Endpoint
		})
		if calls < 20 || worst > 1 {
			t.Errorf("%d copies: %d calls to the cold server, %.2f of its budget", copies, calls, worst)
		}
	}
	// The check can fail: a policy that sends everything to the fresh server breaks the budget.
	_, worst := coldLoad(set, 12, func(int, time.Duration, string) string { return "s02" })
	if worst <= 1 {
		t.Errorf("all calls to the cold server are %.2f of its budget", worst)
	}
}

// Where effort is hinted, a cold server's share is made of light requests. All copies together stay within
// its budget of work, and yet give it more than half of what it can do while the rest is busy.
func TestColdServerIsUsedWithinItsBudget(t *testing.T) {
	set := testSettings()
	const capacity, mean = 50.0, 20 * msec // of a warm server: a second's work of 50 requests of mean effort
	for _, copies := range []int{12, 100} {
		set.Tier, set.Replicas = 1, copies
		list := servers(6)
		list[2].StartedAt = time.Second
		var bs []*Balancer
		for i := range copies {
			set.ReplicaIndex = i
			b, err := New(set, uint64(i))
			if err != nil {
				t.Fatal(err)
			}
			b.Handle(0, EndpointUpdate{Complete: true, Endpoints: list})
			bs = append(bs, b)
		}
		rng := rand.New(rand.NewPCG(9, 9))
		type taken struct {
			at   time.Duration
			work float64 // of the mean
		}
		var cold []taken
		early, all := 0.0, 0.0
		for i := range int(0.75 * 6 * capacity * 12) {
			now := time.Second + time.Duration(float64(i)/(0.75*6*capacity)*float64(time.Second))
			work := max(0.01, rng.ExpFloat64())
			b, id := bs[rng.IntN(copies)], fmt.Sprint(i)
			s := sends(b.Handle(now, Request{
				ID: id, Class: "get", Deadline: now + time.Second,
				ExpectedWork: time.Duration(work * float64(mean)),
			}))[0]
			b.Handle(now+time.Duration(work*float64(mean)), AttemptEnded{ID: id, Endpoint: s.Endpoint, Result: Success, Answered: true})
			if now > 3*time.Second && now < 6*time.Second { // warmth 0.36 to 0.6, a fair share 0.06 to 0.1
				all += work
				if s.Endpoint == "s02" {
					early += work
				}
			}
			if s.Endpoint == "s02" {
				cold = append(cold, taken{now, work})
			}
		}
		worst := 0.0
		for i := range cold {
			sum := 0.0
			for _, c := range cold[i:] {
				if c.at < cold[i].at+fallFor {
					sum += c.work
				}
			}
			grown := float64(cold[i].at-time.Second) / float64(set.SlowStartDuration)
			worst = max(worst, sum/(fallMultiple*capacity*min(1, set.SlowStartFloor+(1-set.SlowStartFloor)*grown)*fallFor.Seconds()))
		}
		if worst > 1 || early < all/10 {
			t.Errorf("%d copies: %.2f of the budget, %.3f of the work", copies, worst, early/all)
		}
	}
}
