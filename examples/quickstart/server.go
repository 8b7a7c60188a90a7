package main

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"basaltdrum/examples"
)

// anyPort is a loopback address for which the kernel chooses a free port.
const anyPort = "127.0.0.1:0"

// serviceTime is how long a stand-in server works on a request.
const serviceTime = 2 * time.Millisecond

// Indexes of the servers that do not stay in service.
const (
	crashingServer = 1
	drainingServer = 2
)

// server is a stand-in for a server of the tier that the node balances. It responds to each request with its own name
// and the id of the request.
type server struct {
	name         string
	address      string
	http         *httpServer
	stoppedAt    time.Time    // no request sent after this time may be served here; zero while the server is in service
	drained      atomic.Bool  // the server must not receive further requests
	lateRequests atomic.Int64 // requests received although drained was set
}

// ServeHTTP serves one request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.drained.Load() {
		s.lateRequests.Add(1)
	}
	select {
	case <-time.After(serviceTime):
		fmt.Fprint(w, responseBody(s.name, r.Header.Get("X-Request-Id")))
	case <-r.Context().Done():
	}
}

// crash resets the server's connections and refuses new ones, like a crash of its process.
func (s *server) crash() {
	s.http.close()
	s.stoppedAt = time.Now()
}

// serverCount is the number of servers in the tier.
const serverCount = len(examples.Addresses{}.Servers)

// serverGroup holds all servers of the tier.
type serverGroup [serverCount]*server

// serverName returns the name of a server by its index.
func serverName(index int) string { return fmt.Sprintf("server-%d", index+1) }

// startServers starts the servers server-1, server-2 and server-3.
func startServers() (serverGroup, error) {
	var group serverGroup
	for i := range group {
		s := &server{name: serverName(i)}
		var err error
		if s.http, err = startHTTP(s); err != nil {
			group.close()
			return serverGroup{}, fmt.Errorf("%s: %w", s.name, err)
		}
		s.address = s.http.address
		group[i] = s
	}
	return group, nil
}

// addresses returns the servers' addresses, in order.
func (g serverGroup) addresses() (addresses [serverCount]string) {
	for i, s := range g {
		addresses[i] = s.address
	}
	return addresses
}

// close stops all servers that were started.
func (g serverGroup) close() {
	for _, s := range g {
		if s != nil {
			s.http.close()
		}
	}
}

// httpServer is an HTTP/1.1 server on a port of its own, and the goroutine that accepts its connections.
type httpServer struct {
	address string
	server  *http.Server
	stopped chan struct{} // closed when the goroutine has ended
}

// startHTTP serves on a free port until close.
func startHTTP(handler http.Handler) (*httpServer, error) {
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return nil, err
	}
	s := &httpServer{
		address: listener.Addr().String(), server: &http.Server{Handler: handler}, stopped: make(chan struct{}),
	}
	go func() {
		defer close(s.stopped)
		_ = s.server.Serve(listener) // returns http.ErrServerClosed after close
	}()
	return s, nil
}

// close closes all connections and stops the server. It may be called twice.
func (s *httpServer) close() {
	_ = s.server.Close()
	<-s.stopped
}
