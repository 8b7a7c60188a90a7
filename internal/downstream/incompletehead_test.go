package downstream

import (
	"io"
	"testing"
)

// Bytes of a head count until it is complete or its connection is closed. Hundreds of clients that send endless heads
// took the node over its memory limit, as they were not counted beside open requests.
func TestIncompleteHeadsAreCounted(t *testing.T) {
	const (
		part    = "GET /view/k HTTP/1.1\r\nX-Pad: 12345"
		rest    = "678\r\n\r\n"
		started = "GET /a"
	)
	conns := newTestConns(testLimits(100), 0)
	conn, client := connPair(t, conns, 0)
	for _, step := range []struct {
		name, sent string
		want       int
	}{
		{"a part of a head", part, len(part)},
		{"its rest", rest, 0},
		{"a complete head and a part of the next", part + rest + started, len(started)},
	} {
		io.WriteString(client, step.sent)
		if !readFull(conn, make([]byte, len(step.sent))) {
			t.Fatalf("%s: could not be read", step.name)
		}
		if got := conns.IncompleteHeadBytes(); got != int64(step.want) {
			t.Errorf("%s: got %d bytes, want %d", step.name, got, step.want)
		}
	}
	conn.Close()
	conn.scan([]byte(started)) // the result of a read that was in progress
	if got := conns.IncompleteHeadBytes(); got != 0 {
		t.Errorf("after the close: got %d bytes, want 0", got)
	}
}
