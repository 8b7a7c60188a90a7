package upstream

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"basaltdrum/balancer"
	"basaltdrum/internal/http1"
	"basaltdrum/internal/membudget"
	"basaltdrum/internal/testutil"
)

// newFullBudget returns a budget with one slot for a response, and the reservation that holds it.
func newFullBudget(t *testing.T) (*membudget.Budget, *membudget.Reservation) {
	t.Helper()
	budget := membudget.New(
		membudget.Limits{RequestBytes: 1, ResponseSlots: 1},
		func() membudget.Connections { return membudget.Connections{} },
	)
	holder := budget.Reserve(0)
	if !holder.AcquireResponse(nil, nil) {
		t.Fatal("the budget has no slot, want one")
	}
	return budget, holder
}

// startWaitingAttempt starts an attempt whose response waits for memory.
func startWaitingAttempt(t *testing.T, memory *membudget.Reservation) (*testAttempt, <-chan Outcome) {
	t.Helper()
	server := testutil.NewServer(t, func(conn net.Conn, _ *http.Request, _ string) bool {
		return testutil.RespondOK(conn, strings.Repeat("x", http1.MaxBodyBytes))
	})
	pool := newTestPool(10)
	nc, err := net.Dial("tcp", server.Address())
	if err != nil {
		t.Fatal(err)
	}
	instance := addEndpoint(pool, server.Address())
	pool.adopt(nc, instance)
	pool.mu.Lock()
	c := pool.idle.newest(instance)
	pool.mu.Unlock()
	attempt := newTestAttempt(t, pool, server.Address())
	attempt.Request.Memory = memory
	outcome := attempt.start()
	testutil.Until(t, "the response to wait for memory", func() bool {
		pool.mu.Lock()
		defer pool.mu.Unlock()
		return c.waiter != nil && c.waiter.waitedForMemory.Load()
	})
	return attempt, outcome
}

// checkReleased checks that a budget holds nothing once all holders have released it.
func checkReleased(t *testing.T, budget *membudget.Budget) {
	t.Helper()
	testutil.Until(t, "the memory to be given back", func() bool {
		stats := budget.TakeStats()
		return stats.Requests == 0 && stats.Responses == 0
	})
}

// A response that has waited for memory is returned whole, and does not count as the response of a slow endpoint.
func TestResponseThatWaitedForMemoryIsALocalFault(t *testing.T) {
	budget, holder := newFullBudget(t)
	request := budget.Reserve(0)
	attempt, outcome := startWaitingAttempt(t, request)
	holder.Release()
	got := testutil.Wait(t, outcome, "the outcome")
	checkOutcome(t, attempt.pool, got, balancer.Success, 1)
	if len(got.Body) != http1.MaxBodyBytes || !got.LocalFault {
		t.Errorf("got a body of %d bytes, local fault %v; want %d and true",
			len(got.Body), got.LocalFault, http1.MaxBodyBytes)
	}
	request.Release()
	checkReleased(t, budget)
}

// An attempt that ends while its response waits for memory takes none.
func TestAttemptEndsWhileItsResponseWaitsForMemory(t *testing.T) {
	budget, holder := newFullBudget(t)
	request := budget.Reserve(0)
	attempt, outcome := startWaitingAttempt(t, request)
	attempt.cancel()
	checkOutcome(t, attempt.pool, testutil.Wait(t, outcome, "the outcome"), balancer.Cancelled, 0)
	request.Release()
	holder.Release()
	checkReleased(t, budget)
}
