package balancer

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// ruleChecker observes the events and actions of one Balancer, and records every violation of a rule:
//
//   - Rule 1: each request gets exactly one final response, by its deadline, and no attempt after it.
//   - Rule 2: no request runs more often than its class allows, and no request that may have run is rejected
//     unless a retry is harmless.
//   - Rule 3: attempts are sent to ready endpoints only.
//
// It shares no code with the module.
type ruleChecker struct {
	settings   Settings
	slack      time.Duration            // time after a deadline in which a final response is still accepted
	states     map[string]EndpointState // by endpoint ID, as the next two
	cells      map[string]int
	zones      map[string]string
	requests   map[string]*trackedRequest
	violations []string
}

// reset discards the requests and endpoints of a replica that was killed: a new instance has no state.
func (c *ruleChecker) reset() {
	c.requests, c.states = map[string]*trackedRequest{}, map[string]EndpointState{}
}

// report records a violation.
func (c *ruleChecker) report(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// observeEvent records an event that is passed to the Balancer.
func (c *ruleChecker) observeEvent(now time.Duration, e Event) {
	switch e := e.(type) {
	case EndpointUpdate:
		c.updateEndpoints(e)
	case Request:
		c.accept(e)
	case AttemptEnded:
		c.endAttempt(e)
	case ClientGone:
		if r := c.requests[e.ID]; r != nil {
			r.ended = true
		}
	case Reconfigure:
		if e.Settings.Validate() == nil {
			c.settings = e.Settings
		}
	}
	c.checkDeadlines(now)
}

func (c *ruleChecker) updateEndpoints(e EndpointUpdate) {
	if e.Complete {
		for id := range c.states {
			c.states[id] = Removed
		}
	}
	for _, ep := range e.Endpoints {
		c.states[ep.ID], c.cells[ep.ID], c.zones[ep.ID] = ep.State, ep.Cell, ep.Zone
	}
}

// accept records a new request. A request of an unknown class is not idempotent.
func (c *ruleChecker) accept(e Request) {
	if c.requests[e.ID] != nil {
		return
	}
	class := Class{Effect: NonIdempotent}
	for _, known := range c.settings.Classes {
		if known.Name == e.Class {
			class = known
		}
	}
	c.requests[e.ID] = &trackedRequest{class: class, deadline: e.Deadline}
}

func (c *ruleChecker) endAttempt(e AttemptEnded) {
	r := c.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].ended {
		return
	}
	r.attempts[e.Attempt].ended, r.attempts[e.Attempt].result = true, e.Result
	r.ended = r.ended || e.Answered
}

// checkDeadlines checks that no request is past its deadline without a final response.
func (c *ruleChecker) checkDeadlines(now time.Duration) {
	for id, r := range c.requests {
		if !r.ended && now > r.deadline+c.slack {
			c.report("rule 1: %s has no final response %v after its deadline", id, now-r.deadline)
			r.ended = true
		}
	}
}

// checkActions checks and records the actions of the Balancer.
func (c *ruleChecker) checkActions(now time.Duration, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			c.checkSend(now, a)
		case Reject:
			c.checkReject(a)
		case Fail:
			c.checkFinal(a.ID)
		case Cancel:
			c.checkCancel(a)
		}
	}
}

// checkReject checks that a retry of the rejected request is harmless.
func (c *ruleChecker) checkReject(a Reject) {
	r := c.checkFinal(a.ID)
	if r == nil {
		return
	}
	harmless := r.class.Effect == Idempotent || r.class.Effect == IdempotentByKey && r.class.Scope == ScopeAll
	for _, attempt := range r.attempts {
		if attempt.mayHaveRun() && !harmless {
			c.report("rule 2: %s is rejected although it may have run", a.ID)
		}
	}
}

// checkCancel checks that the attempt exists and that attempts can be cancelled.
func (c *ruleChecker) checkCancel(a Cancel) {
	if r := c.requests[a.ID]; r == nil || a.Attempt < 0 || a.Attempt >= len(r.attempts) {
		c.report("cancel of attempt %d of %s, which does not exist", a.Attempt, a.ID)
	}
	if !c.settings.AllowCancel {
		c.report("cancel of attempt %d of %s, although AllowCancel is false", a.Attempt, a.ID)
	}
}

// checkFinal checks and records a final response. It returns nil if the request needs none.
func (c *ruleChecker) checkFinal(id string) *trackedRequest {
	r := c.requests[id]
	if r == nil || r.ended {
		c.report("rule 1: final response for %s, which is answered or unknown", id)
		return nil
	}
	r.ended = true
	return r
}

// checkSend checks and records a new attempt.
func (c *ruleChecker) checkSend(now time.Duration, a Send) {
	r := c.requests[a.ID]
	if r == nil || r.ended {
		c.report("rule 1: attempt of %s, which is answered or unknown", a.ID)
		return
	}
	state, known := c.states[a.Endpoint]
	if !known || state != Ready {
		c.report("rule 3: attempt at %s, which is draining, removed or unknown", a.Endpoint)
	}
	if len(r.attempts) >= c.settings.MaxAttempts {
		c.report("more than %d attempts of %s", c.settings.MaxAttempts, a.ID)
	}
	for _, attempt := range r.attempts {
		if !attempt.ended {
			c.report("attempt of %s while another is in flight", a.ID)
		}
		if attempt.mayHaveRun() {
			c.checkRetry(now, a, r, attempt)
		}
	}
	r.attempts = append(r.attempts, &trackedAttempt{endpoint: a.Endpoint, sentAt: now})
}

// checkRetry checks that a request may be retried after an attempt that may have run.
func (c *ruleChecker) checkRetry(now time.Duration, a Send, r *trackedRequest, earlier *trackedAttempt) {
	switch r.class.Effect {
	case Idempotent: // may run any number of times
	case NonIdempotent:
		c.report("rule 2: %s is retried although it is not idempotent", a.ID)
	case IdempotentByKey:
		if now > earlier.sentAt+r.class.DedupWindow {
			c.report("rule 2: %s is retried after its deduplication window", a.ID)
		}
		if !c.inScope(r.class.Scope, earlier.endpoint, a.Endpoint) {
			c.report("rule 2: %s is retried outside its deduplication scope", a.ID)
		}
	}
}

// inScope reports whether two endpoints discard repeats of each other's requests.
func (c *ruleChecker) inScope(scope Scope, endpoint, other string) bool {
	switch scope {
	case ScopeCell:
		return c.zones[endpoint] == c.zones[other] && c.cells[endpoint] == c.cells[other]
	case ScopeZone:
		return c.zones[endpoint] == c.zones[other]
	default:
		return true
	}
}

// trackedRequest is a request of which the Balancer knows.
type trackedRequest struct {
	class    Class
	deadline time.Duration
	ended    bool // it has its final response or needs none
	attempts []*trackedAttempt
}

// trackedAttempt is an attempt of a request.
type trackedAttempt struct {
	endpoint string
	sentAt   time.Duration
	ended    bool
	result   AttemptResult
}

func (t *trackedAttempt) mayHaveRun() bool {
	return !t.ended || (t.result != Rejected && t.result != ConnectFailed && t.result != NotSent)
}

func newRuleChecker(settings Settings) *ruleChecker {
	return &ruleChecker{
		settings: settings, slack: 20 * msec, states: map[string]EndpointState{}, cells: map[string]int{},
		zones: map[string]string{}, requests: map[string]*trackedRequest{},
	}
}

// The checker detects violations of each rule.
func TestRuleCheckerDetectsViolations(t *testing.T) {
	list := EndpointUpdate{Complete: true, Endpoints: []Endpoint{
		{ID: "a", Cell: 0},
		{ID: "b", Cell: 1},
		{ID: "c", State: Draining},
	}}
	request := func(class string) Request { return Request{ID: "r", Class: class, Deadline: 1000 * msec} }
	timedOut := AttemptEnded{ID: "r", Attempt: 0, Result: TimedOut}
	sendToA, sendToB := Send{ID: "r", Endpoint: "a"}, Send{ID: "r", Endpoint: "b"}
	for _, tc := range []struct {
		want  string
		steps []any
	}{
		{"rule 1: r has no final response", []any{list, request("get"), 2 * time.Second, Timer{}}},
		{"rule 1: final response", []any{list, request("get"), Reject{ID: "r"}, Fail{ID: "r"}}},
		{"rule 1: attempt of r, which is answered", []any{list, request("get"), Fail{ID: "r"}, sendToA}},
		{"rule 2: r is retried although", []any{list, request("pay"), sendToA, timedOut, sendToA}},
		{"rule 2: r is rejected", []any{list, request("pay"), sendToA, timedOut, Reject{ID: "r"}}},
		{"after its deduplication window", []any{
			list, request("post"),
			sendToA,
			950 * msec, timedOut,
			sendToA,
		}},
		{"outside its deduplication scope", []any{list, request("post"), sendToA, timedOut, sendToB}},
		{"rule 3", []any{list, request("get"), Send{ID: "r", Endpoint: "c"}}},
		{"which does not exist", []any{list, request("get"), Cancel{ID: "r", Attempt: 0}}},
	} {
		t.Run(tc.want, func(t *testing.T) {
			c := newRuleChecker(testSettings())
			var now time.Duration
			for _, s := range tc.steps {
				switch s := s.(type) {
				case time.Duration:
					now = s
				case Event:
					c.observeEvent(now, s)
				case Action:
					c.checkActions(now, []Action{s})
				}
			}
			if !strings.Contains(strings.Join(c.violations, "\n"), tc.want) {
				t.Errorf("the violations are %q, want one that contains %q", c.violations, tc.want)
			}
		})
	}
}
