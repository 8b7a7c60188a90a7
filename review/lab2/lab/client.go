package lab

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Answer is what a client got for a request.
type Answer struct {
	Status int // 0: none
	Body   string
	Took   time.Duration // from the last byte of the request to the last byte of the answer
	Err    error
}

func (a Answer) String() string {
	if a.Err != nil {
		return fmt.Sprintf("no answer (%v) after %v", a.Err, a.Took.Round(time.Millisecond))
	}
	return fmt.Sprintf("%d %q after %v", a.Status, a.Body, a.Took.Round(time.Millisecond))
}

// Client is a usual client: it sends one request at a time, keeps its connection, and sends a request one more time on
// a new connection if the node closes the connection between two requests.
type Client struct {
	Addr string
	conn net.Conn
	in   *bufio.Reader
	used bool
}

// Post sends a request and waits for its answer, half a second and the 50 ms of the sockets longer than its deadline
// and 2 s more, so that a late answer can be told from none.
func (c *Client) Post(path, id, key string, deadline time.Duration, body string) Answer {
	a, crossed := c.post(path, id, key, deadline, body)
	if crossed {
		a, _ = c.post(path, id, key, deadline, body)
	}
	return a
}

func (c *Client) post(path, id, key string, deadline time.Duration, body string) (a Answer, crossed bool) {
	reused := c.conn != nil
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.Addr, time.Second)
		if err != nil {
			return Answer{Err: err}, false
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: %s\r\nX-Tenant: kloof-studio\r\n"+
		"X-Deadline: %.3f\r\n", path, id, deadline.Seconds())
	if key != "" {
		head += "Idempotency-Key: " + key + "\r\n"
	}
	if _, err := fmt.Fprintf(c.conn, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body); err != nil {
		c.Close()
		return Answer{Err: err}, reused
	}
	sent := time.Now()
	_ = c.conn.SetReadDeadline(sent.Add(deadline + 2550*time.Millisecond))
	resp, err := http.ReadResponse(c.in, nil)
	var text []byte
	if err == nil {
		text, err = io.ReadAll(resp.Body)
	}
	a = Answer{Body: string(text), Took: time.Since(sent), Err: err}
	if err != nil {
		c.Close()
		var ne net.Error
		timedOut := errors.As(err, &ne) && ne.Timeout()
		return a, reused && !timedOut && resp == nil
	}
	a.Status = resp.StatusCode
	if resp.Close {
		c.Close()
	}
	return a, false
}

// Close closes the connection.
func (c *Client) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
