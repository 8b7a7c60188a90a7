package lab

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Arrival is a request whose last byte has arrived at a server.
type Arrival struct {
	Server, ID, Key, Path string
	At                    time.Time
	Deadline              time.Duration // X-Deadline, as told by the node
}

// Server is a stand-in for a server of the node's tier. It keeps connections alive, and starts on a request once its
// last byte has arrived.
type Server struct {
	Name, Addr string
	// Serve returns how long the request takes and what is written then. Without it, the server answers 200 with the
	// request's id after 20 ms.
	Serve func(a Arrival) (time.Duration, []byte)

	ln net.Listener

	mu       sync.Mutex
	arrivals []Arrival
	conns    map[net.Conn]struct{}
}

// NewServer starts a server on a free port.
func NewServer(name string) (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{Name: name, Addr: ln.Addr().String(), ln: ln, conns: map[net.Conn]struct{}{}}
	go s.accept()
	return s, nil
}

// OK is a complete answer 200.
func OK(body string) []byte {
	return []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
}

func (s *Server) accept() {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *Server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		seconds, _ := strconv.ParseFloat(r.Header.Get("X-Deadline"), 64)
		a := Arrival{
			Server: s.Name, ID: r.Header.Get("X-Request-Id"), Key: r.Header.Get("Idempotency-Key"),
			Path: r.URL.Path, At: time.Now(), Deadline: time.Duration(seconds * float64(time.Second)),
		}
		s.mu.Lock()
		s.arrivals = append(s.arrivals, a)
		s.mu.Unlock()
		wait, answer := 20*time.Millisecond, OK(a.ID)
		if s.Serve != nil {
			wait, answer = s.Serve(a)
		}
		time.Sleep(wait)
		if _, err := c.Write(answer); err != nil {
			return
		}
	}
}

// Arrivals returns the requests that have arrived.
func (s *Server) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Arrival(nil), s.arrivals...)
}

// Close ends the server and closes its connections.
func (s *Server) Close() {
	_ = s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

// Target returns the server's entry in the list.
func (s *Server) Target(az string) Target {
	return Target{UID: s.Name, Endpoint: s.Addr, AZ: az, Model: "front-wide", PodGroup: 1, State: "in_service", Capacity: 3}
}
