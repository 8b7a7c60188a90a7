package lab

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Arrival is a request that a server has received.
type Arrival struct {
	ID, Key, Path string
	FirstByte     time.Time
	LastByte      time.Time
	Body          []byte
	Conn          net.Conn
	Header        http.Header
}

// Server is a stand-in for one server: HTTP/1.1, one request at a time on a connection.
type Server struct {
	UID, Address, Zone string

	c      *Case
	ln     net.Listener
	handle func(*Server, Arrival) bool

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func (c *Case) startServer(uid, zone string, handle func(*Server, Arrival) bool) (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{
		UID: uid, Address: ln.Addr().String(), Zone: zone, c: c, ln: ln, handle: handle, conns: map[net.Conn]bool{},
	}
	c.Defer(s.stop)
	go s.accept()
	return s, nil
}

// StartServers starts a number of servers in one zone, s-0, s-1 and so on. handle answers each complete request; false
// closes the connection.
func (c *Case) StartServers(count int, zone string, handle func(*Server, Arrival) bool) (all []*Server, err error) {
	for i := range count {
		s, err := c.startServer(fmt.Sprintf("s-%d", i), zone, handle)
		if err != nil {
			return nil, err
		}
		all = append(all, s)
	}
	return all, nil
}

func (s *Server) accept() {
	for {
		conn, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		go s.serve(conn)
	}
}

func (s *Server) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		a := Arrival{FirstByte: time.Now(), Conn: conn}
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if a.Body, err = io.ReadAll(r.Body); err != nil {
			return
		}
		a.LastByte = time.Now()
		a.ID, a.Key, a.Path = r.Header.Get("X-Request-Id"), r.Header.Get("Idempotency-Key"), r.URL.Path
		a.Header = r.Header
		if !s.handle(s, a) {
			return
		}
	}
}

func (s *Server) stop() {
	s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.Close()
	}
}

// OK answers a request with 200 and a body.
func (s *Server) OK(a Arrival, body string) bool {
	_, err := fmt.Fprintf(a.Conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// BodyFor returns the answer of a server to a request: it names both, so that a client can tell its own answer.
func BodyFor(uid, id string) string { return "answer of " + uid + " to " + id }
