package standin

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"basaltdrum/internal/fleet/load"
	"basaltdrum/internal/monotime"
)

// ServersSpec describes chains of servers. Each tier of each chain has two servers: one calls the node of the next
// tier, the other calls the server of the next tier directly.
type ServersSpec struct {
	Chains, Depth int
	Service       time.Duration // mean service time of each server; each request gets a random one
	Seed          uint64
}

// ServerAddresses holds the addresses of the servers by chain and tier: those that call through nodes, and those that
// call directly.
type ServerAddresses struct {
	Through, Direct [][]string
}

// Servers is the RPC service of the stand-in servers of chains, called by the parent process.
type Servers struct {
	client  *load.Client
	through [][]*server
}

// server is a stand-in server: it responds to a request after a random service time and, if there is a next tier, its
// own call to that.
type server struct {
	client      *load.Client
	serviceTime time.Duration          // mean
	nextTier    atomic.Pointer[string] // address to call
	calls       atomic.Int64           // requests so far; seeds the service time of each
	name        string
	seed        uint64
}

// Start starts the servers, and returns their addresses.
func (s *Servers) Start(spec ServersSpec, addresses *ServerAddresses) error {
	s.client = load.NewClient()
	start := func(name string, index int) (*server, string, error) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, "", fmt.Errorf("servers: %w", err)
		}
		handler := &server{client: s.client, serviceTime: spec.Service, name: name, seed: spec.Seed + uint64(index)}
		httpServer := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
		go func() { _ = httpServer.Serve(ln) }() // until the process exits
		return handler, ln.Addr().String(), nil
	}
	for chain := range spec.Chains {
		var through, direct []*server
		var throughAt, directAt []string
		for tier := range spec.Depth {
			srv, address, err := start(fmt.Sprintf("t%d-%d", chain, tier), 2*(chain*spec.Depth+tier))
			if err != nil {
				return err
			}
			through, throughAt = append(through, srv), append(throughAt, address)
			if srv, address, err = start(fmt.Sprintf("d%d-%d", chain, tier), 2*(chain*spec.Depth+tier)+1); err != nil {
				return err
			}
			direct, directAt = append(direct, srv), append(directAt, address)
		}
		for tier := range spec.Depth - 1 {
			direct[tier].nextTier.Store(&directAt[tier+1])
		}
		s.through = append(s.through, through)
		addresses.Through, addresses.Direct = append(addresses.Through, throughAt), append(addresses.Direct, directAt)
	}
	return nil
}

// Link tells the servers that call through nodes the addresses of the nodes, by chain and tier. The node of the first
// tier is called only by the load generator.
func (s *Servers) Link(nodes [][]string, _ *struct{}) error {
	for i, chain := range nodes {
		for tier := 1; tier < len(chain); tier++ {
			s.through[i][tier-1].nextTier.Store(&chain[tier])
		}
	}
	return nil
}

// ServeHTTP handles one request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	secondsLeft, err := strconv.ParseFloat(r.Header.Get("X-Deadline"), 64)
	if id == "" || err != nil {
		http.NotFound(w, r)
		return
	}
	deadline := time.Now().Add(time.Duration(secondsLeft * float64(time.Second)))
	call := s.calls.Add(1)
	if s.serviceTime > 0 {
		rng := rand.New(rand.NewPCG(s.seed, uint64(call)))
		monotime.Sleep(r.Context(), time.Duration(rng.ExpFloat64()*float64(s.serviceTime)))
	}
	if nextTier := s.nextTier.Load(); nextTier != nil {
		outcome, err := s.client.Call(r.Context(), *nextTier, load.Class, fmt.Sprintf("%s-%x", s.name, call), deadline)
		if err != nil || outcome != load.Served {
			http.Error(w, fmt.Sprintf("the next tier: %v, %v", outcome, err), http.StatusInternalServerError)
			return
		}
	}
	fmt.Fprintf(w, "%s serves %s\n", s.name, id)
}
