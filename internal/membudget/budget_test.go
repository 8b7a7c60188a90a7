package membudget

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// testLimits are limits of which each part counts with a different size.
var testLimits = Limits{
	RequestBytes: 100_000, ResponseSlots: 3,
	Costs: Costs{DownstreamConn: 700, IdleUpstreamConn: 300, Request: 1100},
}

// noConnections is the number of connections of a budget that counts requests only.
func noConnections() Connections { return Connections{} }

// checkEmpty checks that a budget has no memory reserved.
func checkEmpty(t *testing.T, b *Budget) {
	t.Helper()
	if got := b.TakeStats(); got.Requests != 0 || got.Bytes != 0 || got.Responses != 0 {
		t.Errorf("got %+v after all requests have ended, want nothing reserved", got)
	}
}

// A request is admitted up to the limit exactly, with its own cost and that of the connections.
func TestReserveCountsConnectionsAndRequests(t *testing.T) {
	for _, test := range []struct {
		name        string
		connections Connections
		open        int   // requests of 50 bytes that are open before
		free        int64 // bytes that the next request may have
	}{
		{"nothing else", Connections{}, 0, 100_000 - 1100},
		{"open requests", Connections{}, 3, 100_000 - 3*50 - 4*1100},
		{"downstream connections", Connections{Downstream: 5}, 0, 100_000 - 5*700 - 1100},
		{"upstream connections that requests use", Connections{Upstream: 3}, 2, 100_000 - 2*50 - 3*1100},
		{"idle upstream connections", Connections{Upstream: 5}, 2, 100_000 - 2*50 - 3*1100 - 2*300},
		{"buffered bytes", Connections{Buffered: 4096}, 0, 100_000 - 1100 - 4096},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := New(testLimits, func() Connections { return test.connections })
			var open []*Reservation
			for range test.open {
				open = append(open, b.Reserve(50))
			}
			if b.Reserve(test.free+1) != nil {
				t.Errorf("a request of %d bytes was admitted, want it rejected", test.free+1)
			}
			last := b.Reserve(test.free)
			if last == nil {
				t.Fatalf("a request of %d bytes was rejected, want it admitted", test.free)
			}
			if last.Grow(1) {
				t.Error("a full budget allowed a request to grow")
			}
			if got := b.TakeStats().Rejected; got != 2 {
				t.Errorf("got %d rejected requests, want 2", got)
			}
			for _, r := range append(open, last) {
				r.Release()
			}
			checkEmpty(t, b)
		})
	}
}

// A response waits until a slot is free, and no longer than its attempt lasts.
func TestResponseWaitsForASlot(t *testing.T) {
	for _, ended := range []bool{false, true} {
		t.Run(fmt.Sprint("attempt ended ", ended), func(t *testing.T) {
			b := New(testLimits, noConnections)
			holder, waiter := b.Reserve(0), b.Reserve(0)
			for range testLimits.ResponseSlots {
				if !holder.AcquireResponse(nil, func() { t.Error("a response waits although slots are free") }) {
					t.Fatal("no slot, want one")
				}
			}
			done, waiting, acquired := make(chan struct{}), make(chan struct{}), make(chan bool)
			go func() { acquired <- waiter.AcquireResponse(done, func() { close(waiting) }) }()
			<-waiting
			if ended {
				close(done)
			} else {
				holder.ReleaseResponse()
			}
			if got := <-acquired; got == ended {
				t.Errorf("got a slot: %v, want %v", got, !ended)
			}
			holder.Release()
			waiter.Release()
			checkEmpty(t, b)
		})
	}
}

// A request without a budget has no limit.
func TestNilReservationHasNoLimit(t *testing.T) {
	var r *Reservation
	if !r.Grow(1<<40) || !r.AcquireResponse(nil, nil) || r.Share() != nil {
		t.Error("a nil reservation has a limit or a holder")
	}
	r.ReleaseResponse()
	r.Release()
}

// modelRequest is what the model of a budget knows of one request.
type modelRequest struct {
	*Reservation
	bytes          int64
	holders, slots int
}

// budgetModel runs random operations on a budget and follows them with sums over its requests.
type budgetModel struct {
	t      *testing.T
	random *rand.Rand
	budget *Budget
	open   []*modelRequest
}

// used returns the memory of all open requests, and the number of slots that they hold.
func (m *budgetModel) used() (bytes int64, slots int) {
	for _, r := range m.open {
		bytes += r.bytes + testLimits.Costs.Request
		slots += r.slots
	}
	return bytes, slots
}

// reserve opens a request, which has to succeed if the limit allows it and only then.
func (m *budgetModel) reserve() {
	bytes := m.random.Int64N(30_000)
	used, _ := m.used()
	r := m.budget.Reserve(bytes)
	if fits := used+bytes+testLimits.Costs.Request <= testLimits.RequestBytes; fits != (r != nil) {
		m.t.Fatalf("%d bytes beside %d: admitted %v, want %v", bytes, used, r != nil, fits)
	}
	if r != nil {
		m.open = append(m.open, &modelRequest{Reservation: r, bytes: bytes, holders: 1})
	}
}

// grow grows a request.
func (m *budgetModel) grow(r *modelRequest) {
	bytes := m.random.Int64N(20_000)
	used, _ := m.used()
	grown := r.Grow(bytes)
	if fits := used+bytes <= testLimits.RequestBytes; fits != grown {
		m.t.Fatalf("%d bytes more beside %d: grown %v, want %v", bytes, used, grown, fits)
	}
	if grown {
		r.bytes += bytes
	}
}

// acquire takes a slot for a request, for which it does not wait.
func (m *budgetModel) acquire(r *modelRequest) {
	ended := make(chan struct{})
	close(ended)
	_, slots := m.used()
	acquired := r.AcquireResponse(ended, func() {})
	if slots < testLimits.ResponseSlots != acquired {
		m.t.Fatalf("%d slots are taken: acquired %v", slots, acquired)
	}
	if acquired {
		r.slots++
	}
}

// release ends the hold of one holder.
func (m *budgetModel) release(r *modelRequest) {
	r.Release()
	if r.holders--; r.holders == 0 {
		m.open = slices.DeleteFunc(m.open, func(other *modelRequest) bool { return other == r })
		if r.Share() != nil {
			m.t.Fatal("a released reservation was shared")
		}
	}
}

// step runs one random operation.
func (m *budgetModel) step() {
	if len(m.open) == 0 || m.random.IntN(4) == 0 {
		m.reserve()
		return
	}
	r := m.open[m.random.IntN(len(m.open))]
	switch m.random.IntN(5) {
	case 0:
		m.grow(r)
	case 1:
		m.acquire(r)
	case 2:
		if r.slots > 0 {
			r.ReleaseResponse()
			r.slots--
		}
	case 3:
		r.Share()
		r.holders++
	default:
		m.release(r)
	}
}

// In any order of operations, a budget admits what the limit allows and nothing else, and is empty after the last
// release. A budget that forgets a release would reject every request in the end.
func TestBudgetHoldsInAnyOrder(t *testing.T) {
	const seeds, steps = 200, 300
	for seed := range uint64(seeds) {
		m := &budgetModel{
			t: t, random: rand.New(rand.NewPCG(seed, 0)), budget: New(testLimits, noConnections),
		}
		for range steps {
			m.step()
			bytes, slots := m.used()
			got := m.budget.TakeStats()
			counted := got.Bytes + int64(got.Requests)*testLimits.Costs.Request
			if counted != bytes || got.Responses != slots || bytes > testLimits.RequestBytes {
				t.Fatalf("seed %d: got %+v, want %d bytes and %d slots", seed, got, bytes, slots)
			}
		}
		for len(m.open) > 0 {
			m.release(m.open[0])
		}
		checkEmpty(t, m.budget)
	}
}
