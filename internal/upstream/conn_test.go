package upstream

import (
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
)

// String returns the names that errors show, and the type and number of a value without a name.
func TestExchangeStatesHaveNames(t *testing.T) {
	for _, test := range []struct {
		value fmt.Stringer
		want  string
	}{
		{stageIdle, "not begun"},
		{stageWriting, "being written"},
		{stageWritten, "written"},
		{exchangeStage(9), "exchangeStage(9)"},
		{mayWrite, "may write"},
		{useAnotherConn, "use another connection"},
		{attemptObsolete, "attempt obsolete"},
		{writePermission(9), "writePermission(9)"},
		{framedByLength, "length or chunks"},
		{framedByClose, "end of connection"},
		{framingTooLong, "length beyond the limit"},
		{bodyFraming(9), "bodyFraming(9)"},
	} {
		t.Run(test.want, func(t *testing.T) {
			if got := test.value.String(); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

// Bytes that arrive can be a response only from the first byte of a request until its exchange ends.
func TestExchangeOfAConnection(t *testing.T) {
	waiter := newResponseWaiter(t.Context(), nil)
	for _, test := range []struct {
		name    string
		steps   func(*conn)
		expects bool // whether expectedBy returns an attempt after the steps
		ended   bool // what markWritten reports then
	}{
		{"idle", func(*conn) {}, false, true},
		{"reserved", func(c *conn) { c.reserve(waiter) }, false, false},
		{"started", func(c *conn) { c.reserve(waiter); c.markWriting() }, true, false},
		{"written", func(c *conn) { c.reserve(waiter); c.markWriting(); c.markWritten() }, true, false},
		{"answered before it is written", func(c *conn) {
			c.reserve(waiter)
			c.markWriting()
			c.release()
		}, false, true},
		{"answered", func(c *conn) {
			c.reserve(waiter)
			c.markWriting()
			c.markWritten()
			c.release()
		}, false, true},
		{"reserved again", func(c *conn) {
			c.reserve(waiter)
			c.markWriting()
			c.markWritten()
			c.release()
			c.reserve(waiter)
		}, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			connection := &conn{}
			test.steps(connection)
			if got := connection.expectedBy() != nil; got != test.expects {
				t.Errorf("an attempt expects the response: %v, want %v", got, test.expects)
			}
			if got := connection.markWritten(); got != test.ended {
				t.Errorf("markWritten: %v, want %v", got, test.ended)
			}
		})
	}
}

// Only the first call of release returns the waiter of the attempt.
func TestReleaseReturnsTheWaiterOnce(t *testing.T) {
	waiter := newResponseWaiter(t.Context(), nil)
	c := &conn{}
	c.reserve(waiter)
	if got := c.release(); got != waiter {
		t.Errorf("the first call returned %v, want %v", got, waiter)
	}
	if got := c.release(); got != nil {
		t.Errorf("the second call returned %v, want nil", got)
	}
}

// A connection is closed once, however often closeOnce is called.
func TestCloseOnce(t *testing.T) {
	nc, _ := net.Pipe()
	c := &conn{Conn: nc}
	if first, second := c.closeOnce(), c.closeOnce(); !first || second {
		t.Errorf("closeOnce reported an open connection: %v, then %v; want true, false", first, second)
	}
	if _, err := nc.Read(make([]byte, 1)); !errors.Is(err, io.ErrClosedPipe) {
		t.Errorf("reading returned error %v, want %v", err, io.ErrClosedPipe)
	}
}
