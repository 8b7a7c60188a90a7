package downstream

import (
	"io"
	"testing"
	"time"

	"basaltdrum/internal/monotime"
	"basaltdrum/internal/testutil"
)

// A request whose first bytes arrive just before its connection would have timed out, idle or new, has as much
// time for the rest as any request.
func TestRequestBegunBeforeATimeoutIsReadToItsEnd(t *testing.T) {
	for _, first := range []string{
		"G", "GET", "GET /view/k HTTP/1.1\r\nHo",
		"POST /note/k HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n",
	} {
		ours, theirs := downstreamPair(t, NewConns(monotime.New(), testLimits(10), func() int { return 0 }), 2*testutil.Limit)
		ours.SetReadDeadline(time.Now().Add(testutil.Limit))
		io.WriteString(theirs, first)
		if text := make([]byte, len(first)); !readsAll(ours, text) {
			t.Fatalf("%q is not read", first)
		}
		ours.SetReadDeadline(time.Now()) // as net/http set it before the first bytes came
		io.WriteString(theirs, "rest")
		if text := make([]byte, 4); !readsAll(ours, text) || string(text) != "rest" {
			t.Errorf("%q: the rest is not read", first)
		}
	}
}
