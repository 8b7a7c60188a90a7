package downstream

import (
	"io"
	"testing"
	"time"

	"basaltdrum/internal/testutil"
)

// A request whose first bytes arrive just before the timeout of an idle or new connection has as much time for the rest
// as any other request.
func TestRequestStartedBeforeTimeoutIsReadToItsEnd(t *testing.T) {
	for _, row := range []struct{ name, firstBytes string }{
		{"one byte", "G"},
		{"three bytes", "GET"},
		{"a partial head", "GET /view/k HTTP/1.1\r\nHo"},
		{"a head without its body", "POST /note/k HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n"},
	} {
		t.Run(row.name, func(t *testing.T) {
			conn, client := connPair(t, newTestConns(testLimits(10), 0), 2*testutil.Timeout)
			conn.SetReadDeadline(time.Now().Add(testutil.Timeout))
			io.WriteString(client, row.firstBytes)
			if text := make([]byte, len(row.firstBytes)); !readFull(conn, text) {
				t.Fatal("the first bytes of the request could not be read")
			}
			conn.SetReadDeadline(time.Now()) // the deadline that net/http set before the first bytes arrived
			io.WriteString(client, "rest")
			if text := make([]byte, 4); !readFull(conn, text) || string(text) != "rest" {
				t.Errorf("read %q as the rest of the request, want %q", text, "rest")
			}
		})
	}
}
