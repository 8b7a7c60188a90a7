package standin

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// ListedServersSpec describes stand-in servers, each at an endpoint of its own.
type ListedServersSpec struct {
	Count   int
	Service time.Duration // mean time that a server takes for a request, drawn anew for each
	Seed    uint64
}

// ListedServers is the RPC service of the servers that a growth run lists, for a parent process. Their concurrency is
// not limited.
type ListedServers struct {
	servers  []*http.Server
	accepted atomic.Int64
}

// Start opens the servers and returns their endpoints.
func (h *ListedServers) Start(spec ListedServersSpec, endpoints *[]string) error {
	if h.servers != nil {
		return errors.New("listed servers: started twice")
	}
	for i := range spec.Count {
		ln, err := net.Listen("tcp", loopbackAddress(i)+":0")
		if err != nil {
			return fmt.Errorf("listed servers: %w", err)
		}
		handler := &server{service: spec.Service, name: fmt.Sprintf("l%d", i), seed: spec.Seed + uint64(i)}
		one := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, ConnState: h.count}
		h.servers = append(h.servers, one)
		*endpoints = append(*endpoints, ln.Addr().String())
		go func() { _ = one.Serve(ln) }() // it returns when Close ends the server, or with the process
	}
	return nil
}

// loopbackAddress spreads servers over loopback addresses, so that they don't use up the ports of one.
func loopbackAddress(i int) string { return fmt.Sprintf("127.16.%d.%d", i/250, 1+i%250) }

func (h *ListedServers) count(_ net.Conn, state http.ConnState) {
	if state == http.StateNew {
		h.accepted.Add(1)
	}
}

// Close ends servers: their listeners and their connections.
func (h *ListedServers) Close(servers []int, _ *struct{}) error {
	for _, i := range servers {
		if i < 0 || i >= len(h.servers) {
			return fmt.Errorf("listed servers: no server %d", i)
		}
		if err := h.servers[i].Close(); err != nil {
			return fmt.Errorf("listed servers: %w", err)
		}
	}
	return nil
}

// Accepted returns how many connections all servers have accepted.
func (h *ListedServers) Accepted(_ struct{}, connections *int64) error {
	*connections = h.accepted.Load()
	return nil
}
