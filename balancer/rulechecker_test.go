package balancer

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// ruleChecker follows the events given to one Balancer and its actions, and records every violated rule. It
// shares no code with the module.
type ruleChecker struct {
	set    Settings
	slack  time.Duration
	state  map[string]EndpointState
	cells  map[string]int
	zones  map[string]string
	reqs   map[string]*trackedRequest
	broken []string
}

// killed forgets what a killed replica held: its clients have to send it again.
func (c *ruleChecker) killed() {
	c.reqs, c.state = map[string]*trackedRequest{}, map[string]EndpointState{}
}

func (c *ruleChecker) fault(format string, args ...any) {
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
}

// event follows an event that is given to the Balancer.
func (c *ruleChecker) event(now time.Duration, e Event) {
	switch e := e.(type) {
	case EndpointUpdate:
		c.updateEndpoints(e)
	case Request:
		c.accept(e)
	case AttemptEnded:
		c.endAttempt(e)
	case ClientGone:
		if r := c.reqs[e.ID]; r != nil {
			r.ended = true
		}
	case Reconfigure:
		if e.Settings.Validate() == nil {
			c.set = e.Settings
		}
	}
	c.checkDeadlines(now)
}

func (c *ruleChecker) updateEndpoints(e EndpointUpdate) {
	if e.Complete {
		for id := range c.state {
			c.state[id] = Removed
		}
	}
	for _, s := range e.Endpoints {
		c.state[s.ID], c.cells[s.ID], c.zones[s.ID] = s.State, s.Cell, s.Zone
	}
}

func (c *ruleChecker) accept(e Request) {
	if c.reqs[e.ID] != nil {
		return
	}
	class := Class{Effect: NonIdempotent}
	for _, known := range c.set.Classes {
		if known.Name == e.Class {
			class = known
		}
	}
	c.reqs[e.ID] = &trackedRequest{class: class, deadline: e.Deadline}
}

func (c *ruleChecker) endAttempt(e AttemptEnded) {
	r := c.reqs[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].ended {
		return
	}
	r.attempts[e.Attempt].ended, r.attempts[e.Attempt].result = true, e.Result
	r.ended = r.ended || e.Answered
}

func (c *ruleChecker) checkDeadlines(now time.Duration) {
	for id, r := range c.reqs {
		if !r.ended && now > r.deadline+c.slack {
			c.fault("rule 1: %s has no answer %v after its deadline", id, now-r.deadline)
			r.ended = true
		}
	}
}

// actions checks the actions of the Balancer.
func (c *ruleChecker) actions(now time.Duration, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			c.send(now, a)
		case Reject:
			c.reject(a)
		case Fail:
			c.final(a.ID)
		case Cancel:
			c.cancel(a)
		}
	}
}

// reject checks that a retry does no harm.
func (c *ruleChecker) reject(a Reject) {
	r := c.final(a.ID)
	if r == nil {
		return
	}
	harmless := r.class.Effect == Idempotent || r.class.Effect == IdempotentByKey && r.class.Scope == ScopeAll
	for _, t := range r.attempts {
		if t.mayHaveRun() && !harmless {
			c.fault("rule 2: %s refused though it may have run", a.ID)
		}
	}
}

func (c *ruleChecker) cancel(a Cancel) {
	if r := c.reqs[a.ID]; r == nil || a.Attempt < 0 || a.Attempt >= len(r.attempts) {
		c.fault("cancel of an attempt never made")
	}
	if !c.set.AllowCancel {
		c.fault("cancel is not allowed")
	}
}

func (c *ruleChecker) final(id string) *trackedRequest {
	r := c.reqs[id]
	if r == nil || r.ended {
		c.fault("rule 1: final answer for %s, which is over or unknown", id)
		return nil
	}
	r.ended = true
	return r
}

func (c *ruleChecker) send(now time.Duration, a Send) {
	r := c.reqs[a.ID]
	if r == nil || r.ended {
		c.fault("rule 1: sent %s, which is over or unknown", a.ID)
		return
	}
	state, known := c.state[a.Endpoint]
	if !known || state != Ready {
		c.fault("rule 3: sent to %s, which drains, is removed or unknown", a.Endpoint)
	}
	if len(r.attempts) >= c.set.MaxAttempts {
		c.fault("more than %d attempts", c.set.MaxAttempts)
	}
	for _, t := range r.attempts {
		if !t.ended {
			c.fault("second copy of %s", a.ID)
		}
		if t.mayHaveRun() {
			c.repeat(now, a, r, t)
		}
	}
	r.attempts = append(r.attempts, &trackedAttempt{server: a.Endpoint, at: now})
}

// repeat checks that a request may be sent again after an attempt that may have run.
func (c *ruleChecker) repeat(now time.Duration, a Send, r *trackedRequest, t *trackedAttempt) {
	switch r.class.Effect {
	case Idempotent: // may run any number of times
	case NonIdempotent:
		c.fault("rule 2: unsafe %s sent again", a.ID)
	case IdempotentByKey:
		if now > t.at+r.class.DedupWindow {
			c.fault("rule 2: %s sent again outside its window", a.ID)
		}
		if !c.inScope(r.class.Scope, t.server, a.Endpoint) {
			c.fault("rule 2: %s sent again outside its scope", a.ID)
		}
	}
}

// inScope says that two servers discard each other's repeats.
func (c *ruleChecker) inScope(scope Scope, server, other string) bool {
	switch scope {
	case ScopeCell:
		return c.zones[server] == c.zones[other] && c.cells[server] == c.cells[other]
	case ScopeZone:
		return c.zones[server] == c.zones[other]
	default:
		return true
	}
}

type trackedRequest struct {
	class    Class
	deadline time.Duration
	ended    bool
	attempts []*trackedAttempt
}

type trackedAttempt struct {
	server string
	at     time.Duration
	ended  bool
	result AttemptResult
}

func (t *trackedAttempt) mayHaveRun() bool {
	return !t.ended || (t.result != Rejected && t.result != ConnectFailed && t.result != NotSent)
}

func newRuleChecker(set Settings) *ruleChecker {
	return &ruleChecker{
		set: set, slack: 20 * msec, state: map[string]EndpointState{}, cells: map[string]int{},
		zones: map[string]string{}, reqs: map[string]*trackedRequest{},
	}
}

// TestRuleCheckerDetectsViolations gives the checker a trace that violates each rule.
func TestRuleCheckerDetectsViolations(t *testing.T) {
	list := EndpointUpdate{Complete: true, Endpoints: []Endpoint{
		{ID: "a", Cell: 0},
		{ID: "b", Cell: 1},
		{ID: "c", State: Draining},
	}}
	req := func(class string) Request { return Request{ID: "r", Class: class, Deadline: 1000 * msec} }
	timedOut := AttemptEnded{ID: "r", Attempt: 0, Result: TimedOut}
	sendToA, sendToB := Send{ID: "r", Endpoint: "a"}, Send{ID: "r", Endpoint: "b"}
	for _, tc := range []struct {
		want  string
		steps []any
	}{
		{"rule 1: r has no answer", []any{list, req("get"), 2 * time.Second, Timer{}}},
		{"rule 1: final answer", []any{list, req("get"), Reject{ID: "r"}, Fail{ID: "r"}}},
		{"rule 1: sent r, which is over", []any{list, req("get"), Fail{ID: "r"}, sendToA}},
		{"rule 2: unsafe", []any{list, req("pay"), sendToA, timedOut, sendToA}},
		{"rule 2: r refused", []any{list, req("pay"), sendToA, timedOut, Reject{ID: "r"}}},
		{"outside its window", []any{
			list, req("post"),
			sendToA,
			950 * msec, timedOut,
			sendToA,
		}},
		{"outside its scope", []any{list, req("post"), sendToA, timedOut, sendToB}},
		{"rule 3", []any{list, req("get"), Send{ID: "r", Endpoint: "c"}}},
		{"never made", []any{list, req("get"), Cancel{ID: "r", Attempt: 0}}},
	} {
		t.Run(tc.want, func(t *testing.T) {
			c := newRuleChecker(testSettings())
			var now time.Duration
			for _, s := range tc.steps {
				switch s := s.(type) {
				case time.Duration:
					now = s
				case Event:
					c.event(now, s)
				case Action:
					c.actions(now, []Action{s})
				}
			}
			if !strings.Contains(strings.Join(c.broken, "\n"), tc.want) {
				t.Errorf("want %q among %q", tc.want, c.broken)
			}
		})
	}
}
