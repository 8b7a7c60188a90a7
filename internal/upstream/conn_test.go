package upstream

import (
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
)

// The states of an exchange are named in errors, and a value without a name shows its number.
func TestExchangeStatesHaveNames(t *testing.T) {
	for _, c := range []struct {
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
		t.Run(c.want, func(t *testing.T) {
			if got := c.value.String(); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// What arrives can be a response only from the first byte of a request until its exchange ends.
func TestExchangeOfAConnection(t *testing.T) {
	waiter := make(chan exchangeResult, 1)
	for _, c := range []struct {
		name    string
		steps   func(*conn)
		expects bool
		ended   bool // what written reports then
	}{
		{"idle", func(*conn) {}, false, true},
		{"reserved", func(c *conn) { c.reserve(waiter) }, false, false},
		{"begun", func(c *conn) { c.reserve(waiter); c.markWriting() }, true, false},
		{"written", func(c *conn) { c.reserve(waiter); c.markWriting(); c.markWritten() }, true, false},
		{"answered before it is written", func(c *conn) { c.reserve(waiter); c.markWriting(); c.endExchange() }, false, true},
		{"answered", func(c *conn) { c.reserve(waiter); c.markWriting(); c.markWritten(); c.endExchange() }, false, true},
		{"reserved again", func(c *conn) {
			c.reserve(waiter)
			c.markWriting()
			c.markWritten()
			c.endExchange()
			c.reserve(waiter)
		}, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			connection := &conn{}
			c.steps(connection)
			if got := connection.expectsResponse(); got != c.expects {
				t.Errorf("a response is expected: %v, want %v", got, c.expects)
			}
			if got := connection.markWritten(); got != c.ended {
				t.Errorf("the exchange has ended: %v, want %v", got, c.ended)
			}
		})
	}
}

// The first end of an exchange returns the waiter of its attempt, a later one none.
func TestEndReturnsTheWaiterOnce(t *testing.T) {
	waiter := make(chan exchangeResult, 1)
	c := &conn{}
	c.reserve(waiter)
	if got := c.endExchange(); got != waiter {
		t.Errorf("the first end returned %v, want %v", got, waiter)
	}
	if got := c.endExchange(); got != nil {
		t.Errorf("the second end returned %v", got)
	}
}

// A connection is closed once, however often it is shut.
func TestShutClosesOnce(t *testing.T) {
	nc, _ := net.Pipe()
	c := &conn{Conn: nc}
	if first, second := c.closeOnce(), c.closeOnce(); !first || second {
		t.Errorf("it was open: %v and then %v, want true and false", first, second)
	}
	if _, err := nc.Read(make([]byte, 1)); !errors.Is(err, io.ErrClosedPipe) {
		t.Errorf("reading returned %v, want a closed connection", err)
	}
}
