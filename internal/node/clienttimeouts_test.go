package node

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"basaltdrum/internal/testutil"
)

// Connections that send nothing, partial requests and idle connections time out.
func TestConnectionsWithoutARequestTimeOut(t *testing.T) {
	server := testutil.NewServer(t, testutil.Echo)
	n, _ := startNode(t, configWithServers(server), func(n *Node) {
		n.frontend.server.ReadTimeout = 300 * time.Millisecond
		n.frontend.server.IdleTimeout = 300 * time.Millisecond
	})
	for _, text := range []string{"", "GET /view/k HTTP/1.1\r\nHo", "\r\n"} {
		client := dial(t, n)
		io.WriteString(client, text)
		received, err := io.ReadAll(client)
		if err != nil {
			t.Errorf("after sending %q: got error %v after %q, want the connection closed", text, err, received)
		}
	}
	client := dial(t, n)
	client.SendGet("once")
	client.Expect(t, http.StatusOK, "for once")
	testutil.ExpectClosed(t, client.Reader, "a connection without further requests")
}

// A client that stops in the middle of a request and stays connected gets an error status or a close within the time
// for reading a request, even if it has sent too little to be distinguished from an idle client.
func TestPartialRequestsTimeOut(t *testing.T) {
	server := testutil.NewServer(t, testutil.Echo)
	n, _ := startNode(t, configWithServers(server), func(n *Node) {
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
		for _, when := range []string{"first", "after a response", "pipelined after a request"} {
			t.Run(fmt.Sprintf("%s %.20q %d", when, half, len(half)), func(t *testing.T) {
				t.Parallel()
				client := dial(t, n)
				good := "POST /note/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: good-" + t.Name() +
					"\r\nX-Deadline: 60\r\nContent-Length: 0\r\n\r\n"
				switch when {
				case "after a response":
					io.WriteString(client, good)
					client.Expect(t, http.StatusOK, "")
					io.WriteString(client, half)
				case "pipelined after a request":
					io.WriteString(client, good+half)
					client.Expect(t, http.StatusOK, "")
				default:
					io.WriteString(client, half)
				}
				copied := make(chan error, 1)
				go func() {
					_, err := io.Copy(io.Discard, client.Reader)
					copied <- err
				}()
				if err := testutil.Wait(t, copied, "the end of the connection"); err != nil {
					t.Errorf("reading the connection to its end: got error %v, want none", err)
				}
			})
		}
	}
}

// Guards against clients that keep their connections for ever: they send ahead what the node answers without its
// module, and never read. The write of a response times out, and the connection is closed.
func TestConnectionsOfClientsThatNeverReadTimeOut(t *testing.T) {
	n, _ := startNode(t, configWithServers(testutil.NewServer(t, testutil.Echo)), func(n *Node) {
		server := n.frontend.server
		server.ReadTimeout, server.IdleTimeout = 10*testutil.Timeout, 10*testutil.Timeout
		server.WriteTimeout /= 50
	})
	for name, path := range map[string]string{"readiness check": "/health/ready", "invalid request": "/none/k"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client := dial(t, n)
			// So long that the limit on the number of requests sent ahead is not reached.
			const request = "GET %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: ahead\r\nX-Deadline: 60\r\n" +
				"X-Long: %0100d\r\n\r\n"
			ahead := []byte(strings.Repeat(fmt.Sprintf(request, path, 0), 1000))
			var err error
			for err == nil {
				_, err = client.Write(ahead)
			}
			if errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("the node has kept the connection until the end of the test, want it closed")
			}
		})
	}
}
