package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"basaltdrum/internal/fleet/stats"
)

// maxHold is how long a watch waits for a change at most.
const maxHold = time.Minute

// Registry is a stand-in for discovery: it serves the lists of a set of services, each at its own addresses. An address
// is that of the registry itself if lists are polled, and that of one node's agent if they are pushed. The agents see
// changes in memory and immediately, and don't respond while the registry is unresponsive.
type Registry struct {
	Traffic *stats.Series
	lists   []*list

	mu            sync.Mutex
	outage        chan struct{} // closed while the registry is unresponsive, replaced when it is responsive again
	unresponsive  bool
	watchesBroken chan struct{} // closed and replaced by BreakWatches
	servers       []*http.Server
}

// NewRegistry returns a registry with a list for each service.
func NewRegistry(services [][]ListEntry) *Registry {
	r := &Registry{Traffic: stats.NewSeries(), outage: make(chan struct{}), watchesBroken: make(chan struct{})}
	for _, entries := range services {
		r.lists = append(r.lists, newList(entries))
	}
	return r
}

// Listen opens and returns an address at which the list of a service is served. It stays open until Close.
func (r *Registry) Listen(service int) (string, error) {
	if service < 0 || service >= len(r.lists) {
		return "", fmt.Errorf("registry: no service %d", service)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("registry: %w", err)
	}
	l := r.lists[service]
	s := &http.Server{
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { r.serveList(w, req, l) }),
		ReadHeaderTimeout: 10 * time.Second,
	}
	r.mu.Lock()
	r.servers = append(r.servers, s)
	r.mu.Unlock()
	go func() { _ = s.Serve(&meteredListener{ln, r.Traffic}) }() // returns when Close closes the server
	return ln.Addr().String(), nil
}

// Change makes a new version of a service's list in which the given entries are changed, and returns the version.
func (r *Registry) Change(service int, entries []ListEntry) (int64, error) {
	if service < 0 || service >= len(r.lists) {
		return 0, fmt.Errorf("registry: no service %d", service)
	}
	return r.lists[service].change(entries), nil
}

// SetUnresponsive starts or ends an outage in which the registry accepts calls but does not respond to any, including
// calls that are already waiting. Calls received during the outage get no response after it either.
func (r *Registry) SetUnresponsive(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case on && !r.unresponsive:
		close(r.outage)
	case !on && r.unresponsive:
		r.outage = make(chan struct{})
	}
	r.unresponsive = on
}

// outageSignal returns a channel that is closed once a call received now must not be answered any more.
func (r *Registry) outageSignal() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outage
}

// errWatchBroken is the cause of the end of a watch whose connection must be closed without a response.
var errWatchBroken = errors.New("the watch is broken")

// BreakWatches closes the connections of all open watches without a response.
func (r *Registry) BreakWatches() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.watchesBroken)
	r.watchesBroken = make(chan struct{})
}

// watchContext returns a context that ends with its parent, or with the cause errWatchBroken on BreakWatches.
func (r *Registry) watchContext(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	r.mu.Lock()
	watchesBroken := r.watchesBroken
	r.mu.Unlock()
	go func() {
		select {
		case <-watchesBroken:
			cancel(errWatchBroken)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(nil) }
}

// Close closes all addresses and their connections.
func (r *Registry) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	var errs []error
	for _, s := range r.servers {
		errs = append(errs, s.Close())
	}
	return errors.Join(errs...)
}

// serveList handles one call for a list.
func (r *Registry) serveList(w http.ResponseWriter, req *http.Request, l *list) {
	r.Traffic.Add(stats.Traffic{Calls: 1})
	if req.Method != http.MethodGet || req.URL.Path != "/registry/instances" {
		http.NotFound(w, req)
		return
	}
	from, hold, err := parseWatchParameters(req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := r.watchContext(req.Context())
	defer cancel()
	body, err := l.awaitChange(ctx, from, hold, r.outageSignal())
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		n, _ := w.Write(body) // if the connection is broken, the caller calls again
		r.Traffic.Add(stats.Traffic{BytesOfLists: int64(n)})
	case errors.Is(err, errUnresponsive):
		<-req.Context().Done()
	case errors.Is(context.Cause(ctx), errWatchBroken):
		panic(http.ErrAbortHandler) // closes the connection
	case req.Context().Err() == nil:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

// parseWatchParameters parses the parameters of a watch: the caller's version, and how long it waits for a change. A
// call without parameters requests the complete list.
func parseWatchParameters(req *http.Request) (from int64, hold time.Duration, err error) {
	if req.URL.RawQuery == "" {
		return noVersion, 0, nil
	}
	if from, err = strconv.ParseInt(req.URL.Query().Get("from"), 10, 64); err != nil {
		return 0, 0, fmt.Errorf("from: %w", err)
	}
	holdMS, err := strconv.ParseInt(req.URL.Query().Get("hold_ms"), 10, 64)
	if err != nil {
		return 0, 0, fmt.Errorf("hold_ms: %w", err)
	}
	return from, min(max(time.Duration(holdMS)*time.Millisecond, 0), maxHold), nil
}

// meteredListener counts the traffic of its connections.
type meteredListener struct {
	net.Listener
	traffic *stats.Series
}

func (l *meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.traffic.Add(stats.Traffic{Conns: 1})
	l.traffic.AddOpenConnections(1)
	return &meteredConn{Conn: c, traffic: l.traffic}, nil
}

// meteredConn is a connection of a meteredListener.
type meteredConn struct {
	net.Conn
	traffic *stats.Series
	closed  sync.Once
}

func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Add(stats.Traffic{ReceivedBytes: int64(n)})
	return n, err
}

func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Add(stats.Traffic{SentBytes: int64(n)})
	return n, err
}

func (c *meteredConn) Close() error {
	c.closed.Do(func() { c.traffic.AddOpenConnections(-1) })
	return c.Conn.Close()
}
