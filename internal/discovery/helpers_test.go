package discovery

import (
	"context"
	"testing"

	"basaltdrum/internal/endpointlist"
	"basaltdrum/internal/testutil"
)

// report is a call of a Handler's method.
type report struct {
	kind reportKind
	list endpointlist.List // if received
}

// reportKind says which method was called.
type reportKind string

const (
	received     reportKind = "list received"
	confirmed    reportKind = "list confirmed"
	failed       reportKind = "subscription failed"
	unresponsive reportKind = "unresponsive"
)

// recorder is a Handler that keeps the calls in order.
type recorder chan report

func (r recorder) ListReceived(list endpointlist.List) { r <- report{received, list} }
func (r recorder) ListConfirmed()                      { r <- report{kind: confirmed} }
func (r recorder) SubscriptionFailed()                 { r <- report{kind: failed} }
func (r recorder) AgentUnresponsive()                  { r <- report{kind: unresponsive} }

// newClient returns a client whose Handler is a recorder. Its connections are closed when the test ends.
func newClient(t *testing.T, cfg Config) (*Client, recorder) {
	t.Helper()
	reports := make(recorder, 100)
	c := New(cfg, reports, testutil.DiscardLog())
	t.Cleanup(c.CloseIdleConnections)
	return c, reports
}

// run runs a client until the test ends.
func run(t *testing.T, c *Client) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		testutil.Wait(t, ended, "the client's end")
	})
}

// waitForEntries waits for a list to be reported, which must be the next report, and for its number of entries.
func waitForEntries(t *testing.T, reports recorder, want int) {
	t.Helper()
	if got := testutil.Wait(t, reports, "the list"); got.kind != received || len(got.list.Entries) != want {
		t.Errorf("got %+v, want a list of %d entries", got, want)
	}
}
