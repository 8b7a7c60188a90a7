package downstream

import (
	"io"
	"testing"
	"time"

	"basaltdrum/internal/testutil"
)

// A request whose first bytes arrive just before its connection would have timed out, idle or new, has as much
// time for the rest as any request.
func TestRequestBegunBeforeATimeoutIsReadToItsEnd(t *testing.T) {
	for _, row := range []struct{ name, first string }{
		{"one byte", "G"},
		{"three bytes", "GET"},
		{"a partial head", "GET /view/k HTTP/1.1\r\nHo"},
		{"a head without its body", "POST /note/k HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n"},
	} {
		t.Run(row.name, func(t *testing.T) {
			conn, client := connPair(t, newTestConns(testLimits(10), 0), 2*testutil.Timeout)
			conn.SetReadDeadline(time.Now().Add(testutil.Timeout))
			io.WriteString(client, row.first)
			if text := make([]byte, len(row.first)); !readFull(conn, text) {
				t.Fatal("the first bytes are not read")
			}
			conn.SetReadDeadline(time.Now()) // as net/http set it before the first bytes came
			io.WriteString(client, "rest")
			if text := make([]byte, 4); !readFull(conn, text) || string(text) != "rest" {
				t.Error("the rest is not read")
			}
		})
	}
}
