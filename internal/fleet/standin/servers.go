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

// ServersSpec describes chains of servers: for each tier of each chain there are two servers. One calls the node of
// the next tier, the other calls the next server directly.
type ServersSpec struct {
	Chains, Depth int
	Service       time.Duration // mean of the time that each server takes, drawn anew for each request
	Seed          uint64
}

// ServerAddresses holds an address for each chain and tier.
type ServerAddresses struct {
	Through, Direct [][]string
}

// Servers is the RPC service of the stand-in servers of chains, for a parent process.
type Servers struct {
	client  *load.Client
	through [][]*server
}

// server is a stand-in server: it answers a request after a service time that it draws, and after its own call to
// the next tier, if there is one.
type server struct {
	client  *load.Client
	service time.Duration
	next    atomic.Pointer[string]
	calls   atomic.Int64
	name    string
	seed    uint64
}

// Start opens the servers, and returns their addresses.
func (s *Servers) Start(spec ServersSpec, at *ServerAddresses) error {
	s.client = load.NewClient()
	open := func(name string, n int) (*server, string, error) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, "", fmt.Errorf("servers: %w", err)
		}
		one := &server{client: s.client, service: spec.Service, name: name, seed: spec.Seed + uint64(n)}
		listener := &http.Server{Handler: one, ReadHeaderTimeout: time.Minute}
		go func() { _ = listener.Serve(ln) }() // to the end of the process
		return one, ln.Addr().String(), nil
	}
	for c := range spec.Chains {
		var through, direct []*server
		var throughAt, directAt []string
		for k := range spec.Depth {
			a, address, err := open(fmt.Sprintf("t%d-%d", c, k), 2*(c*spec.Depth+k))
			if err != nil {
				return err
			}
			through, throughAt = append(through, a), append(throughAt, address)
			if a, address, err = open(fmt.Sprintf("d%d-%d", c, k), 2*(c*spec.Depth+k)+1); err != nil {
				return err
			}
			direct, directAt = append(direct, a), append(directAt, address)
		}
		for k := range spec.Depth - 1 {
			direct[k].next.Store(&directAt[k+1])
		}
		s.through = append(s.through, through)
		at.Through, at.Direct = append(at.Through, throughAt), append(at.Direct, directAt)
	}
	return nil
}

// Link gives the servers that call nodes the addresses of these: nodes holds one for each chain and tier. The node
// of the first tier is called by the load generator alone.
func (s *Servers) Link(nodes [][]string, _ *struct{}) error {
	for c, chain := range nodes {
		for k := 1; k < len(chain); k++ {
			s.through[c][k-1].next.Store(&chain[k])
		}
	}
	return nil
}

// ServeHTTP answers one request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	left, err := strconv.ParseFloat(r.Header.Get("X-Deadline"), 64)
	if id == "" || err != nil {
		http.NotFound(w, r)
		return
	}
	deadline := time.Now().Add(time.Duration(left * float64(time.Second)))
	n := s.calls.Add(1)
	if s.service > 0 {
		rng := rand.New(rand.NewPCG(s.seed, uint64(n)))
		monotime.Sleep(r.Context(), time.Duration(rng.ExpFloat64()*float64(s.service)))
	}
	if next := s.next.Load(); next != nil {
		got, err := s.client.Call(r.Context(), *next, load.Class, fmt.Sprintf("%s-%x", s.name, n), deadline)
		if err != nil || got != load.Served {
			http.Error(w, fmt.Sprintf("the next tier: %v, %v", got, err), http.StatusInternalServerError)
			return
		}
	}
	fmt.Fprintf(w, "%s serves %s\n", s.name, id)
}
