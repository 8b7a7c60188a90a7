package balancer

import (
	"fmt"
	"testing"
	"time"
)

// An attempt that the host itself held up says nothing about its server, nor about the load of all of them,
// however it ended and however long that took.
func TestHeldUpAttemptsAreNotCounted(t *testing.T) {
	for _, e := range []AttemptResult{Success, ServerError, Rejected, TimedOut, ConnectFailed, ConnectionLost, Cancelled, NotSent} {
		t.Run(fmt.Sprint("result ", int(e)), func(t *testing.T) {
			b := newBalancer(t, nil)
			b.Handle(0, EndpointUpdate{Complete: true, Endpoints: servers(10)})
			sendTraffic(b, 200, "get", func(string) AttemptResult { return Success })
			now, before := b.now, *b // what follows reads its figures only
			known, failing := map[string]string{}, *b.classes.byName["get"].classStats
			for id, s := range b.endpoints {
				known[id] = withoutSends(*s)
			}
			for i := range 50 {
				id := fmt.Sprint("held-", i)
				sent := sends(b.Handle(now, Request{ID: id, Class: "pay", Deadline: now + time.Second}))
				if len(sent) != 1 {
					t.Fatalf("ending %d: %d sends", e, len(sent))
				}
				now += 400 * msec
				b.Handle(now, AttemptEnded{ID: id, Endpoint: sent[0].Endpoint, Result: e, Latency: 400 * msec, Answered: true, HeldUp: true})
			}
			if b.outliers != before.outliers || b.admission.limit != before.admission.limit || b.admission.meanOverTarget != before.admission.meanOverTarget || b.responses != before.responses {
				t.Errorf("ending %d: errors %v, window %v, crowding %v; had %v, %v, %v", e,
					b.outliers, b.admission.limit, b.admission.meanOverTarget, before.outliers, before.admission.limit, before.admission.meanOverTarget)
			}
			if now := *b.classes.byName["get"].classStats; now.latency != failing.latency || now.failures != failing.failures {
				t.Errorf("ending %d: mean %v, failing %v; had %v, %v", e, now.latency.Mean(), now.failures, failing.latency.Mean(), failing.failures)
			}
			for id, s := range b.endpoints {
				if is := withoutSends(*s); is != known[id] {
					t.Errorf("ending %d: %s is %s, was %s", e, id, is, known[id])
				}
			}
		})
	}
}

// withoutSends prints a server without what a send alone changes.
func withoutSends(s endpoint) string {
	s.excluded, s.inSubset, s.tokens = false, false, tokenBucket{}
	return fmt.Sprintf("%+v", s)
}
