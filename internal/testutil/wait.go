// Package testutil has what the tests of several packages share: waiting with a limit, sockets, and stand-ins for
// servers, clients and discovery's agent on loopback. What a test starts with it ends with the test.
package testutil

import (
	"log/slog"
	"testing"
	"time"
)

// Timeout is how long a test waits for something; only a failing test waits so long.
const Timeout = 30 * time.Second

// Wait receives from a channel, and fails the test if nothing comes.
func Wait[T any](t *testing.T, c <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(Timeout):
		t.Fatalf("%s: nothing came", what)
	}
	return v
}

// Until polls a condition, and fails the test if it never holds.
func Until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(Timeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %v", what, Timeout)
		}
	}
}

// DiscardLog returns a logger that writes nothing.
func DiscardLog() *slog.Logger { return slog.New(slog.DiscardHandler) }
