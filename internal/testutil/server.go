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

// Handler responds to a complete request on its connection. It returns false to have the connection closed.
type Handler func(c net.Conn, r *http.Request, body string) bool

// Server is an HTTP server that leaves the responses to a test's Handler.
type Server struct {
	net.Listener
	handle     Handler
	mu         sync.Mutex
	requestIDs []string
	conns      []net.Conn
	stopped    bool // all connections are closed, including those accepted from now on
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

// track registers a connection for Stop to close. If the server has already stopped, it closes the connection and
// returns false.
func (s *Server) track(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		c.Close()
		return false
	}
	s.conns = append(s.conns, c)
	return true
}

// serveConn handles the requests of a connection until the client or the handler ends it.
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
		s.requestIDs = append(s.requestIDs, r.Header.Get("X-Request-Id"))
		s.mu.Unlock()
		if !s.handle(c, r, string(body)) {
			return
		}
	}
}

// Stop closes the listener and all connections.
func (s *Server) Stop() {
	s.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for _, c := range s.conns {
		c.Close()
	}
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.Addr().String() }

// RequestCount returns the number of requests received so far.
func (s *Server) RequestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requestIDs)
}

// RequestIDs returns the ids of the requests received so far, in order.
func (s *Server) RequestIDs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.requestIDs)
}

// ConnCount returns the number of connections accepted so far.
func (s *Server) ConnCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// RespondOK writes a response with status 200 and a body, and reports whether that succeeded.
func RespondOK(c net.Conn, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// Echo responds to every request with a body that contains the id of the request.
func Echo(c net.Conn, r *http.Request, body string) bool {
	return RespondOK(c, "for "+r.Header.Get("X-Request-Id"))
}

// NewHoldingServer starts a server that responds as Echo does, but holds each request whose id starts with a prefix
// until release is called. The channel held receives a value for each request that the server holds.
func NewHoldingServer(t *testing.T, prefix string) (s *Server, held <-chan struct{}, release func()) {
	t.Helper()
	arrived, released := make(chan struct{}, 1000), make(chan struct{})
	release = sync.OnceFunc(func() { close(released) })
	t.Cleanup(release)
	return NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		if strings.HasPrefix(r.Header.Get("X-Request-Id"), prefix) {
			arrived <- struct{}{}
			<-released
		}
		return Echo(c, r, body)
	}), arrived, release
}
