package standin

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// ListedServersSpec describes stand-in servers, each with its own endpoint.
type ListedServersSpec struct {
	Count   int
	Service time.Duration // mean service time; each request gets a random one
	Seed    uint64
}

// ListedServers is the RPC service, called by the parent process, of the servers that a growth run lists. The
// concurrency of the servers is not limited.
type ListedServers struct {
	servers  []*http.Server
	accepted atomic.Int64
}

// Start opens the servers and returns their endpoints.
func (s *ListedServers) Start(spec ListedServersSpec, endpoints *[]string) error {
	if s.servers != nil {
		return errors.New("listed servers: started twice")
	}
	for i := range spec.Count {
		ln, err := net.Listen("tcp", loopbackAddress(i)+":0")
		if err != nil {
			return fmt.Errorf("listed servers: %w", err)
		}
		handler := &server{serviceTime: spec.Service, name: fmt.Sprintf("l%d", i), seed: spec.Seed + uint64(i)}
		httpServer := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, ConnState: s.countAccepted}
		s.servers = append(s.servers, httpServer)
		*endpoints = append(*endpoints, ln.Addr().String())
		go func() { _ = httpServer.Serve(ln) }() // returns when Close closes the server
	}
	return nil
}

// loopbackAddress returns the loopback address of server i. The servers are spread over several addresses so that they
// don't use up the ports of one.
func loopbackAddress(i int) string { return fmt.Sprintf("127.16.%d.%d", i/250, 1+i%250) }

// countAccepted is the ConnState hook that counts new connections.
func (s *ListedServers) countAccepted(_ net.Conn, state http.ConnState) {
	if state == http.StateNew {
		s.accepted.Add(1)
	}
}

// Close closes the listeners and connections of servers, given by index.
func (s *ListedServers) Close(servers []int, _ *struct{}) error {
	for _, i := range servers {
		if i < 0 || i >= len(s.servers) {
			return fmt.Errorf("listed servers: no server %d", i)
		}
		if err := s.servers[i].Close(); err != nil {
			return fmt.Errorf("listed servers: %w", err)
		}
	}
	return nil
}

// Accepted returns how many connections all servers have accepted.
func (s *ListedServers) Accepted(_ struct{}, connections *int64) error {
	*connections = s.accepted.Load()
	return nil
}
