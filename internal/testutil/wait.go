// Package testutil holds helpers that the tests of several packages share: waiting with a timeout, sockets, and
// stand-ins for servers, clients and discovery's agent on loopback. Whatever a test starts through it is stopped when
// the test ends.
package testutil

import (
	"log/slog"
	"testing"
	"time"
)

// Timeout is how long a test waits for something. Only a failing test waits that long.
const Timeout = 30 * time.Second

// Wait receives a value from a channel, and fails the test if none is sent within Timeout.
func Wait[T any](t *testing.T, c <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(Timeout):
		t.Fatalf("%s: received nothing before the timeout", what)
	}
	return v
}

// Until polls a condition, and fails the test if it does not hold within Timeout.
func Until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(Timeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: the condition did not hold within %v", what, Timeout)
		}
	}
}

// DiscardLog returns a logger that discards all records.
func DiscardLog() *slog.Logger { return slog.New(slog.DiscardHandler) }
