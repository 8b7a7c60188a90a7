package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// fakeServer is a server whose connections a test scripts: after each complete request it calls a function, which
// returns false to close the connection.
type fakeServer struct {
	net.Listener
	mu       sync.Mutex
	requests []string // ids
	conns    []net.Conn
}

// end closes the server and its connections.
func (s *fakeServer) end() {
	s.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.Close()
	}
}

func (s *fakeServer) addr() string { return s.Addr().String() }

func (s *fakeServer) received() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

func (s *fakeServer) accepted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func newServer(t *testing.T, then func(c net.Conn, r *http.Request, body string) bool) *fakeServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeServer{Listener: ln}
	t.Cleanup(s.end)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, c)
			s.mu.Unlock()
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(br)
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
					if !then(c, r, string(body)) {
						return
					}
				}
			}()
		}
	}()
	return s
}

// reply200 answers 200 with a body.
func reply200(c net.Conn, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// echo answers every request with a body that names it.
func echo(c net.Conn, r *http.Request, body string) bool {
	return reply200(c, "for "+r.Header.Get("X-Request-Id"))
}

// newHoldingServer holds the requests whose id begins with a prefix until they are released, and answers all
// requests as echo does. It reports each request that it holds.
func newHoldingServer(t *testing.T, prefix string) (s *fakeServer, held <-chan struct{}, release func()) {
	t.Helper()
	came, hold := make(chan struct{}, 1000), make(chan struct{})
	release = sync.OnceFunc(func() { close(hold) })
	t.Cleanup(release)
	return newServer(t, func(c net.Conn, r *http.Request, body string) bool {
		if strings.HasPrefix(r.Header.Get("X-Request-Id"), prefix) {
			came <- struct{}{}
			<-hold
		}
		return echo(c, r, body)
	}), came, release
}

// registryAgent is discovery's agent: it answers watches with the list that was set last, or is unresponsive.
type registryAgent struct {
	net.Listener
	mu           sync.Mutex
	rev          int
	text         string
	unresponsive bool
	changed      chan struct{} // closed at each change
	calls        chan string   // the query of each call, as far as there is room
}

func (a *registryAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case a.calls <- r.URL.RawQuery:
	default:
	}
	a.mu.Lock()
	text, silent, news := a.text, a.unresponsive, a.changed
	current := r.URL.Query().Get("from") == fmt.Sprint(a.rev)
	a.mu.Unlock()
	if silent { // also once it is back, as a call that was lost
		<-r.Context().Done()
		return
	}
	if current {
		select {
		case <-news:
		case <-r.Context().Done():
			return
		}
		a.mu.Lock()
		text, silent = a.text, a.unresponsive
		a.mu.Unlock()
		if silent {
			<-r.Context().Done()
			return
		}
	}
	io.WriteString(w, text)
}

// set sets the agent's list; the text may contain %d for its version.
func (a *registryAgent) set(silent bool, text string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unresponsive = silent
	if text != "" {
		a.rev++
		a.text = strings.Replace(text, "%d", fmt.Sprint(a.rev), 1)
	}
	close(a.changed)
	a.changed = make(chan struct{})
}

func newRegistryAgent(t *testing.T) *registryAgent {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &registryAgent{Listener: ln, rev: 1, changed: make(chan struct{}), calls: make(chan string, 1000)}
	srv := &http.Server{Handler: a}
	go srv.Serve(ln)
	t.Cleanup(func() { srv.Close() })
	return a
}

// testClient is a client's connection to a node.
type testClient struct {
	net.Conn
	reader *bufio.Reader
}

// get writes a GET for the class view.
func (c *testClient) get(id string) { c.send("GET", "/view/k", id, "", "60") }

func (c *testClient) send(method, target, id, body, deadline string) {
	length := ""
	if method == "POST" {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: %s\r\nX-Deadline: %s\r\n%s\r\n%s",
		method, target, id, deadline, length, body)
}

// read reads one response to its end. Unlike answer it may be called from any goroutine.
func (c *testClient) read() (*http.Response, string, error) {
	r, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(r.Body)
	return r, string(body), err
}

// answer reads one response, which must be complete.
func (c *testClient) answer(t *testing.T) (*http.Response, string) {
	t.Helper()
	r, body, err := c.read()
	if err != nil {
		t.Fatalf("no complete answer: %v", err)
	}
	return r, body
}

// want reads one response and checks it; an empty body matches any.
func (c *testClient) want(t *testing.T, status int, body string) {
	t.Helper()
	r, got := c.answer(t)
	if r.StatusCode != status || body != "" && got != body {
		t.Fatalf("got %d %q, want %d %q", r.StatusCode, got, status, body)
	}
}

func dial(t *testing.T, n *Node) *testClient {
	t.Helper()
	c, err := net.Dial("tcp", n.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(2 * limit))
	return &testClient{c, bufio.NewReader(c)}
}

// requestText is what get writes.
func requestText(id string) string {
	return "GET /view/k HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: " + id + "\r\nX-Deadline: 60\r\n\r\n"
}

// pipelinedText is a number of bytes of requests, the last of them truncated.
func pipelinedText(size int) string {
	text := ""
	for i := 0; len(text) < size; i++ {
		text += requestText(fmt.Sprint("next-", i))
	}
	return text[:size]
}
