package testutil

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
)

// Handler answers a complete request on its connection, and returns false to have the connection closed.
type Handler func(c net.Conn, r *http.Request, body string) bool

// Server is a server whose connections a test scripts by a Handler.
type Server struct {
	net.Listener
	handle   Handler
	mu       sync.Mutex
	requests []string // ids
	conns    []net.Conn
	ended    bool // every connection is closed, also one that is accepted from now on
}

// NewServer starts a server that runs until the test ends.
func NewServer(t *testing.T, handle Handler) *Server {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{Listener: ln, handle: handle}
	t.Cleanup(s.Stop)
	go s.serve()
	return s
}

// serve accepts connections until the listener is closed.
func (s *Server) serve() {
	for {
		c, err := s.Accept()
		if err != nil {
			return
		}
		if s.track(c) {
			go s.serveConn(c)
		}
	}
}

// track has End close a connection. One that was accepted just before End is closed at once, and false returned.
func (s *Server) track(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		c.Close()
		return false
	}
	s.conns = append(s.conns, c)
	return true
}

// serveConn answers the requests of a connection until it ends or the handler has it closed.
func (s *Server) serveConn(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.requests = append(s.requests, r.Header.Get("X-Request-Id"))
		s.mu.Unlock()
		if !s.handle(c, r, string(body)) {
			return
		}
	}
}

// Stop closes the server and its connections.
func (s *Server) Stop() {
	s.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	for _, c := range s.conns {
		c.Close()
	}
}

// Address returns the address that the server listens at.
func (s *Server) Address() string { return s.Addr().String() }

// RequestCount returns how many requests came.
func (s *Server) RequestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

// RequestIDs returns the ids of the requests that came, in order.
func (s *Server) RequestIDs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.requests)
}

// ConnCount returns how many connections came.
func (s *Server) ConnCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// RespondOK answers 200 with a body.
func RespondOK(c net.Conn, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// Echo answers every request with a body that names it.
func Echo(c net.Conn, r *http.Request, body string) bool {
	return RespondOK(c, "for "+r.Header.Get("X-Request-Id"))
}

// NewHoldingServer holds the requests whose id begins with a prefix until they are released, and answers all
// requests as Echo does. It reports each request that it holds.
func NewHoldingServer(t *testing.T, prefix string) (s *Server, held <-chan struct{}, release func()) {
	t.Helper()
	came, hold := make(chan struct{}, 1000), make(chan struct{})
	release = sync.OnceFunc(func() { close(hold) })
	t.Cleanup(release)
	return NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		if strings.HasPrefix(r.Header.Get("X-Request-Id"), prefix) {
			came <- struct{}{}
			<-hold
		}
		return Echo(c, r, body)
	}), came, release
}
