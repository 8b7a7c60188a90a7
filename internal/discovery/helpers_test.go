package discovery

import (
	"context"
	"testing"

	"basaltdrum/internal/endpointlist"
	"basaltdrum/internal/testutil"
)

// report records a call of a Handler method.
type report struct {
	kind reportKind
	list endpointlist.List // of a call of ListReceived
}

// reportKind is the Handler method that was called.
type reportKind string

const (
	received     reportKind = "list received"
	confirmed    reportKind = "list confirmed"
	moved        reportKind = "address changed"
	failed       reportKind = "subscription failed"
	unresponsive reportKind = "unresponsive"
)

// recorder is a Handler that records the calls in order.
type recorder chan report

func (r recorder) ListReceived(list endpointlist.List) { r <- report{received, list} }
func (r recorder) ListConfirmed()                      { r <- report{kind: confirmed} }
func (r recorder) AddressChanged()                     { r <- report{kind: moved} }
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

// startClient runs a client until the test ends.
func startClient(t *testing.T, c *Client) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		c.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		testutil.Wait(t, stopped, "the client to stop")
	})
}

// waitForEntries checks that the next report is a list with the given number of entries.
func waitForEntries(t *testing.T, reports recorder, want int) {
	t.Helper()
	if got := testutil.Wait(t, reports, "the list"); got.kind != received || len(got.list.Entries) != want {
		t.Errorf("got %+v, want a list of %d entries", got, want)
	}
}
