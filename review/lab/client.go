package lab

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Request is a request of a client.
type Request struct {
	Method, Path, ID, Key string
	Deadline              time.Duration // the time that the client waits
	Body                  string
}

var lastID atomic.Int64

// NewID returns an ID that no other request of the run has, in the form of 36 characters.
func NewID() string { return fmt.Sprintf("00000000-0000-4000-8000-%012d", lastID.Add(1)) }

// Text returns the request in HTTP/1.1, as the protocol page shows it.
func (r Request) Text() string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: %s\r\nX-Tenant: kloof-studio\r\n"+
		"X-Deadline: %.3f\r\n", r.Method, r.Path, r.ID, r.Deadline.Seconds())
	if r.Key != "" {
		text += "Idempotency-Key: " + r.Key + "\r\n"
	}
	if r.Method == http.MethodPost {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(r.Body))
	}
	return text + "\r\n" + r.Body
}

// Answer is the final answer to a request.
type Answer struct {
	Status int
	Body   string
	At     time.Time // of its last byte
}

// Connection is a client's connection to a node.
type Connection struct {
	net.Conn
	reader *bufio.Reader
}

// Dial opens a connection to a node.
func Dial(address string) (*Connection, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Connection{conn, bufio.NewReader(conn)}, nil
}

// Send writes a request.
func (c *Connection) Send(r Request) error {
	_, err := io.WriteString(c, r.Text())
	return err
}

// Receive reads the next final answer, until a time.
func (c *Connection) Receive(until time.Time) (Answer, error) {
	if err := c.SetReadDeadline(until); err != nil {
		return Answer{}, err
	}
	for {
		resp, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			return Answer{}, err
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return Answer{}, err
		}
		if resp.StatusCode >= http.StatusOK {
			return Answer{resp.StatusCode, string(body), time.Now()}, nil
		}
	}
}

// receiveOvertime is how long after a request's time Do waits for the answer.
const receiveOvertime = 2 * time.Second

// Do sends a request on a connection of its own and returns the answer.
func Do(address string, r Request) (Answer, error) {
	conn, err := Dial(address)
	if err != nil {
		return Answer{}, err
	}
	defer conn.Close()
	until := time.Now().Add(r.Deadline + receiveOvertime)
	if err := conn.Send(r); err != nil {
		return Answer{}, err
	}
	return conn.Receive(until)
}
