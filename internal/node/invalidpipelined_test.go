package node

import (
	"io"
	"net/http"
	"testing"

	"basaltdrum/internal/testutil"
)

// A request that is invalid does not cost those that were read behind it their responses; it closes the
// connection only if it is the last, or if its body is in error.
func TestRequestsPipelinedBehindAnInvalidOneAreAnswered(t *testing.T) {
	t.Parallel()
	const (
		body    = "Host: h\r\nX-Request-Id: bad\r\nX-Deadline: 60\r\nContent-Length: 3\r\n\r\nabc"
		chunked = "Host: h\r\nX-Request-Id: bad\r\nX-Deadline: 60\r\nTransfer-Encoding: chunked\r\n\r\n"
	)
	for _, row := range []struct {
		name, invalid string
		status        int
		closes        bool
	}{
		{
			"unknown class",
			"GET /nowhere/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: bad\r\nX-Deadline: 60\r\n\r\n", 404, false,
		},
		{"unknown class with an unread body", "POST /nowhere/k HTTP/1.1\r\n" + body, 404, false},
		{"unread chunks", "POST /nowhere/k HTTP/1.1\r\n" + chunked + "3\r\nabc\r\n0\r\n\r\n", 404, false},
		{"no deadline", "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: bad\r\n\r\n", 400, false},
		{"GET with a body", "GET /view/k HTTP/1.1\r\n" + body, 400, true},
		{"chunks in error", "POST /note/k HTTP/1.1\r\n" + chunked + "x\r\nabc\r\n0\r\n\r\n", 400, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			s := testutil.NewServer(t, testutil.Echo)
			n, _ := startNode(t, configWithServers(s), nil)
			c := dial(t, n)
			io.WriteString(c, row.invalid+testutil.RequestText("behind"))
			if r, _ := c.Response(t); r.StatusCode != row.status || r.Close != row.closes {
				t.Fatalf("got %d, closing %v, want %d, %v", r.StatusCode, r.Close, row.status, row.closes)
			}
			if row.closes {
				testutil.ExpectClosed(t, c, "behind an error in the body")
				return
			}
			c.Expect(t, http.StatusOK, "for behind")
			io.WriteString(c, row.invalid)
			if r, _ := c.Response(t); r.StatusCode != row.status || !r.Close {
				t.Fatalf("alone: got %d, closing %v, want %d and a close", r.StatusCode, r.Close, row.status)
			}
		})
	}
}
