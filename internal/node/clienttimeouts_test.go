package node

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"basaltdrum/internal/testutil"
)

// Silent connections, partial requests and idle connections time out.
func TestConnectionsWithoutARequestTimeOut(t *testing.T) {
	s := testutil.NewServer(t, testutil.Echo)
	n, _ := startNode(t, configWithServers(s), func(n *Node) {
		n.frontend.server.ReadTimeout = 300 * time.Millisecond
		n.frontend.server.IdleTimeout = 300 * time.Millisecond
	})
	for _, text := range []string{"", "GET /view/k HTTP/1.1\r\nHo", "\r\n"} {
		c := dial(t, n)
		io.WriteString(c, text)
		said, err := io.ReadAll(c)
		if err != nil {
			t.Errorf("%q: %v after %q", text, err, said)
		}
	}
	c := dial(t, n)
	c.SendGet("once")
	c.Expect(t, http.StatusOK, "for once")
	testutil.ExpectClosed(t, c.Reader, "a connection that asks no more")
}

// A client that stops in the middle of a request and stays connected gets an error or a close within the time for
// reading a request, even if it has sent too little to be distinguished from an idle one.
func TestPartialRequestsTimeOut(t *testing.T) {
	s := testutil.NewServer(t, testutil.Echo)
	n, _ := startNode(t, configWithServers(s), func(n *Node) {
		n.frontend.server.ReadTimeout = 300 * time.Millisecond
		n.frontend.server.IdleTimeout = 10 * testutil.Timeout
	})
	const post = "POST /note/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: half\r\nX-Deadline: 60\r\n"
	for _, half := range []string{
		"G", "GE", "GET", "GET /view", "GET /view/k HTTP/1.1\r\n", "\r\nP",
		post + "Content-Length: 4\r\n\r\n", post + "Content-Length: 4\r\n\r\nbod",
		post + "Expect: 100-continue\r\nContent-Length: 4\r\n\r\n",
		post + "Transfer-Encoding: chunked\r\n\r\n", post + "Transfer-Encoding: chunked\r\n\r\n2",
		post + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
	} {
		for _, when := range []string{"first", "after an answer", "behind a request"} {
			t.Run(fmt.Sprintf("%s %.20q %d", when, half, len(half)), func(t *testing.T) {
				t.Parallel()
				c := dial(t, n)
				good := "POST /note/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: good-" + t.Name() +
					"\r\nX-Deadline: 60\r\nContent-Length: 0\r\n\r\n"
				switch when {
				case "after an answer":
					io.WriteString(c, good)
					c.Expect(t, http.StatusOK, "")
					io.WriteString(c, half)
				case "behind a request":
					io.WriteString(c, good+half)
					c.Expect(t, http.StatusOK, "")
				default:
					io.WriteString(c, half)
				}
				end := make(chan error, 1)
				go func() {
					_, err := io.Copy(io.Discard, c.Reader)
					end <- err
				}()
				if err := testutil.Wait(t, end, "the end"); err != nil {
					t.Errorf("the connection ended by %v", err)
				}
			})
		}
	}
}
