package main

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// TestMain fails the package's tests if a goroutine outlives them.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestRun checks the whole run. While more than one server is available, the number of requests of each depends on the
// node's random choices; the rest of the table is fixed.
func TestRun(t *testing.T) {
	var out bytes.Buffer
	if err := run(t.Context(), &out); err != nil {
		t.Fatalf("%v\n%s", err, out.String())
	}
	for _, row := range []string{
		`\nall three are in service +120 +\d+ +\d+ +\d+ +0\n`,
		`\nserver-2 crashes, and stays in the list +120 +\d+ +\d+ +\d+ +\d+\n`,
		`\nserver-3 is listed as terminating +120 +\d+ +0 +\d+ +0\n`,
		`\nserver-1 is left +120 +120 +0 +0 +0\n`,
		`msg=traffic .*requests\.received=480 `,
	} {
		if !regexp.MustCompile(row).MatchString(out.String()) {
			t.Errorf("the report has no line that matches %s:\n%s", row, out.String())
		}
	}
}

// TestRunEndsWithItsContext calls run with a context that is already done: run must return the cause.
func TestRunEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancelCause(t.Context())
	timeout := errors.New("the context timed out")
	cancel(timeout)
	var out bytes.Buffer
	if err := run(ctx, &out); !errors.Is(err, timeout) {
		t.Errorf("got error %v, want %v", err, timeout)
	}
}

func TestCheckFindsWrongResults(t *testing.T) {
	start := time.Now()
	servers := serverGroup{{name: "server-1"}, {name: "server-2", stoppedAt: start}, {name: "server-3"}}
	crash, noChange := phase{mayLoseOrders: true}, phase{}
	served := func(body string) result {
		return result{class: classView, id: "r", sentAt: start.Add(1), status: http.StatusOK, body: body}
	}
	failed := func(class *requestClass, status int) result {
		return result{class: class, id: "r", sentAt: start.Add(1), status: status}
	}
	early := served("server-2 r")
	early.sentAt = start
	for _, c := range []struct {
		name    string
		phase   phase
		outcome result
		want    error // nil if the result is right
	}{
		{"served", noChange, served("server-1 r"), nil},
		{"served before the crash", crash, early, nil},
		{"served after the crash", crash, served("server-2 r"), errServedByStopped},
		{"response to another request", noChange, served("server-1 other"), errWrongResponse},
		{"response without a server", noChange, served(""), errWrongResponse},
		{"no response", noChange, result{class: classView, err: errors.New("reset")}, errNoResponse},
		{"order that may have run", crash, failed(classOrder, http.StatusBadGateway), nil},
		{"order that failed without a crash", noChange, failed(classOrder, http.StatusBadGateway), errFailed},
		{"order that was rejected", crash, failed(classOrder, http.StatusServiceUnavailable), errFailed},
		{"view that was not retried", crash, failed(classView, http.StatusBadGateway), errFailed},
	} {
		t.Run(c.name, func(t *testing.T) {
			if err := c.phase.check(c.outcome, servers); !errors.Is(err, c.want) {
				t.Errorf("got error %v, want %v", err, c.want)
			}
		})
	}
}

func TestCheckFindsRequestsAfterTheDrain(t *testing.T) {
	servers := serverGroup{{name: "server-1"}, {name: "server-2"}, {name: "server-3"}}
	if err := checkResults(nil, servers); err != nil {
		t.Errorf("got error %v for servers without late requests, want none", err)
	}
	servers[drainingServer].lateRequests.Add(1)
	if err := checkResults(nil, servers); !errors.Is(err, errSentToDrained) {
		t.Errorf("got error %v, want %v", err, errSentToDrained)
	}
}

// TestNodeThatDoesNotStop stops a node whose Run does not return.
func TestNodeThatDoesNotStop(t *testing.T) {
	hung := &runningNode{log: &logBuffer{}, shutdown: func() {}, runResult: make(chan error)}
	if err := hung.stop(time.Millisecond); !errors.Is(err, errNotStopped) || !strings.Contains(err.Error(), "in time") {
		t.Errorf("got error %v, want %v", err, errNotStopped)
	}
}
