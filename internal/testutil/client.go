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
	Reader *bufio.Reader // of the connection; all that is read comes through it
}

// Dial opens a client's connection to an address, which is closed at the end of the test.
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

// SendGet writes a GET for the class view.
func (c *Client) SendGet(id string) { c.Send("GET", "/view/k", id, "", "60") }

// Send writes a request; the body is sent with a POST only.
func (c *Client) Send(method, target, id, body, deadline string) {
	length := ""
	if method == "POST" {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: %s\r\nX-Deadline: %s\r\n%s\r\n%s",
		method, target, id, deadline, length, body)
}

// ReadResponse reads one response to its end. Unlike Response it may be called from any goroutine.
func (c *Client) ReadResponse() (*http.Response, string, error) {
	r, err := http.ReadResponse(c.Reader, nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(r.Body)
	return r, string(body), err
}

// Response reads one response, which must be complete.
func (c *Client) Response(t *testing.T) (*http.Response, string) {
	t.Helper()
	r, body, err := c.ReadResponse()
	if err != nil {
		t.Fatalf("no complete answer: %v", err)
	}
	return r, body
}

// Expect reads one response and checks it; an empty body matches any.
func (c *Client) Expect(t *testing.T, status int, body string) {
	t.Helper()
	r, got := c.Response(t)
	if r.StatusCode != status || body != "" && got != body {
		t.Fatalf("got %d %q, want %d %q", r.StatusCode, got, status, body)
	}
}

// RequestText is what Get writes.
func RequestText(id string) string {
	return "GET /view/k HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: " + id + "\r\nX-Deadline: 60\r\n\r\n"
}

// PipelinedRequests is a number of bytes of requests, the last of them truncated.
func PipelinedRequests(size int) string {
	text := ""
	for i := 0; len(text) < size; i++ {
		text += RequestText(fmt.Sprint("next-", i))
	}
	return text[:size]
}
