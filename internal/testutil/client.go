package testutil

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Client is a client's connection to a node.
type Client struct {
	net.Conn
	Reader *bufio.Reader // buffers the connection; all reads must go through it
}

// Dial opens a client's connection to an address. It is closed at the end of the test, and its reads and writes fail
// after 2 * Timeout.
func Dial(t *testing.T, address string) *Client {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(2 * Timeout))
	return &Client{c, bufio.NewReader(c)}
}

// SendGet sends a GET request of the class view, with a deadline of 60 s.
func (c *Client) SendGet(id string) { c.Send("GET", "/view/k", id, "", "60") }

// Send sends a request with a deadline in seconds. Only a POST has a Content-Length, and so a body.
func (c *Client) Send(method, target, id, body, deadline string) {
	length := ""
	if method == "POST" {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: %s\r\nX-Deadline: %s\r\n%s\r\n%s",
		method, target, id, deadline, length, body)
}

// ReadResponse reads one complete response. Unlike Response, it may be called from any goroutine.
func (c *Client) ReadResponse() (*http.Response, string, error) {
	r, err := http.ReadResponse(c.Reader, nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(r.Body)
	return r, string(body), err
}

// Response reads one response, and fails the test unless it is complete.
func (c *Client) Response(t *testing.T) (*http.Response, string) {
	t.Helper()
	r, body, err := c.ReadResponse()
	if err != nil {
		t.Fatalf("got no complete response: %v", err)
	}
	return r, body
}

// Expect reads one response, and fails the test unless its status and body match. An empty body matches any.
func (c *Client) Expect(t *testing.T, status int, body string) {
	t.Helper()
	r, got := c.Response(t)
	if r.StatusCode != status || body != "" && got != body {
		t.Fatalf("got response %d %q, want %d %q", r.StatusCode, got, status, body)
	}
}

// RequestText returns the request that SendGet sends.
func RequestText(id string) string {
	return "GET /view/k HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: " + id + "\r\nX-Deadline: 60\r\n\r\n"
}

// PipelinedRequests returns size bytes of consecutive requests, the last of which may be truncated.
func PipelinedRequests(size int) string {
	text := ""
	for i := 0; len(text) < size; i++ {
		text += RequestText(fmt.Sprint("next-", i))
	}
	return text[:size]
}
