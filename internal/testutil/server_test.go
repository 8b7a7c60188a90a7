package testutil

import (
	"testing"
)

// TestMain fails the package's tests if a goroutine outlives them.
func TestMain(m *testing.M) { VerifyTestMain(m) }

// Stop must also close a connection that was accepted just before and is not registered yet: left open, it would keep
// the client's side open past the end of the test.
func TestStopClosesJustAcceptedConnection(t *testing.T) {
	s := NewServer(t, Echo)
	accepted, client := ConnPair(t)
	s.Stop()
	if s.track(accepted) {
		t.Fatal("track accepted a connection after Stop; want it refused")
	}
	ExpectClosed(t, client, "the connection accepted just before Stop")
}
