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

func (c *ruleChecker) event(now time.Duration, e Event) {
	switch e := e.(type) {
	case EndpointUpdate:
		if e.Complete {
			for id := range c.state {
				c.state[id] = Removed
			}
		}
		for _, s := range e.Endpoints {
			c.state[s.ID], c.cells[s.ID], c.zones[s.ID] = s.State, s.Cell, s.Zone
		}
	case Request:
		if c.reqs[e.ID] == nil {
			cl := Class{Effect: NonIdempotent}
			for _, k := range c.set.Classes {
				if k.Name == e.Class {
					cl = k
				}
			}
			c.reqs[e.ID] = &trackedRequest{class: cl, deadline: e.Deadline}
		}
	case AttemptEnded:
		if r := c.reqs[e.ID]; r != nil && e.Attempt >= 0 && e.Attempt < len(r.attempts) {
			t := r.attempts[e.Attempt]
			if !t.ended {
				t.ended, t.result = true, e.Result
				r.ended = r.ended || e.Answered
			}
		}
	case ClientGone:
		if r := c.reqs[e.ID]; r != nil {
			r.ended = true
		}
	case Reconfigure:
		if e.Settings.Validate() == nil {
			c.set = e.Settings
		}
	}
	for id, r := range c.reqs {
		if !r.ended && now > r.deadline+c.slack {
			c.fault("rule 1: %s has no answer %v after its deadline", id, now-r.deadline)
			r.ended = true
		}
	}
}

func (c *ruleChecker) actions(now time.Duration, acts []Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case Send:
			c.send(now, a)
		case Reject:
			if r := c.final(a.ID); r != nil {
				for _, t := range r.attempts {
					loose := r.class.Effect == Idempotent || r.class.Effect == IdempotentByKey && r.class.Scope == ScopeAll
					if t.mayHaveRun() && !loose {
						c.fault("rule 2: %s refused though it may have run", a.ID)
					}
				}
			}
		case Fail:
			c.final(a.ID)
		case Cancel:
			if r := c.reqs[a.ID]; r == nil || a.Attempt < 0 || a.Attempt >= len(r.attempts) {
				c.fault("cancel of an attempt never made")
			}
			if !c.set.AllowCancel {
				c.fault("cancel is not allowed")
			}
		}
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
		c.fault("rule 3: sent to %s, which drains, is gone or unknown", a.Endpoint)
	}
	if len(r.attempts) >= c.set.MaxAttempts {
		c.fault("more than %d attempts", c.set.MaxAttempts)
	}
	for _, t := range r.attempts {
		if !t.ended {
			c.fault("second copy of %s", a.ID)
		}
		if !t.mayHaveRun() {
			continue
		}
		switch r.class.Effect {
		case NonIdempotent:
			c.fault("rule 2: unsafe %s sent again", a.ID)
		case IdempotentByKey:
			if now > t.at+r.class.DedupWindow {
				c.fault("rule 2: %s sent again outside its window", a.ID)
			}
			if r.class.Scope != ScopeAll && c.zones[t.server] != c.zones[a.Endpoint] ||
				r.class.Scope == ScopeCell && c.cells[t.server] != c.cells[a.Endpoint] {
				c.fault("rule 2: %s sent again outside its scope", a.ID)
			}
		}
	}
	r.attempts = append(r.attempts, &trackedAttempt{server: a.Endpoint, at: now})
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
	list := EndpointUpdate{Complete: true, Endpoints: []Endpoint{{ID: "a", Cell: 0}, {ID: "b", Cell: 1}, {ID: "c", State: Draining}}}
	req := func(class string) Request { return Request{ID: "r", Class: class, Deadline: 1000 * msec} }
	timedOut := AttemptEnded{ID: "r", Attempt: 0, Result: TimedOut}
	for _, tc := range []struct {
		want  string
		steps []any
	}{
		{"rule 1: r has no answer", []any{list, req("get"), 2 * time.Second, Timer{}}},
		{"rule 1: final answer", []any{list, req("get"), Reject{ID: "r"}, Fail{ID: "r"}}},
		{"rule 1: sent r, which is over", []any{list, req("get"), Fail{ID: "r"}, Send{ID: "r", Endpoint: "a"}}},
		{"rule 2: unsafe", []any{list, req("pay"), Send{ID: "r", Endpoint: "a"}, timedOut, Send{ID: "r", Endpoint: "a"}}},
		{"rule 2: r refused", []any{list, req("pay"), Send{ID: "r", Endpoint: "a"}, timedOut, Reject{ID: "r"}}},
		{"outside its window", []any{
			list, req("post"),
			Send{ID: "r", Endpoint: "a"},
			950 * msec, timedOut,
			Send{ID: "r", Endpoint: "a"},
		}},
		{"outside its scope", []any{list, req("post"), Send{ID: "r", Endpoint: "a"}, timedOut, Send{ID: "r", Endpoint: "b"}}},
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
