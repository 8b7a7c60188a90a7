package testutil

import (
	"testing"
)

// TestMain fails the package's tests if a goroutine outlives them.
func TestMain(m *testing.M) { VerifyTestMain(m) }

// A connection that was accepted just before the server's end, and not yet noted, is closed as well: left open, it
// would keep its client's side open past the test.
func TestEndClosesAConnectionThatWasJustAccepted(t *testing.T) {
	s := NewServer(t, Echo)
	accepted, client := ConnPair(t)
	s.Stop()
	if s.track(accepted) {
		t.Fatal("it is to be served")
	}
	ExpectClosed(t, client, "a connection that was accepted just before the end")
}
