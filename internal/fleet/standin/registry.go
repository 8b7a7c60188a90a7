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

// maxHold is the longest wait of a watch.
const maxHold = time.Minute

// Registry is a stand-in for discovery: it serves the lists of some services, each at addresses of its own. An
// address stands for the registry itself where lists are polled, and for one node's agent where they are pushed.
// The agents read changes in memory and at once, and have no answer while the registry is unresponsive.
type Registry struct {
	Traffic *stats.Series
	lists   []*list

	mu           sync.Mutex
	down         chan struct{} // closed while the registry is unresponsive
	unresponsive bool
	broken       chan struct{} // closed, and replaced, when the open watches are broken
	servers      []*http.Server
}

// NewRegistry holds a list for each service.
func NewRegistry(services [][]ListEntry) *Registry {
	r := &Registry{Traffic: stats.NewSeries(), down: make(chan struct{}), broken: make(chan struct{})}
	for _, targets := range services {
		r.lists = append(r.lists, newList(targets))
	}
	return r
}

// Listen opens an address where the list of a service is served. It stays open until Close.
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
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { r.serveList(w, q, l) }),
		ReadHeaderTimeout: 10 * time.Second,
	}
	r.mu.Lock()
	r.servers = append(r.servers, s)
	r.mu.Unlock()
	go func() { _ = s.Serve(&meteredListener{ln, r.Traffic}) }() // it returns when Close ends the server
	return ln.Addr().String(), nil
}

// Change makes one new version of a service's list.
func (r *Registry) Change(service int, targets []ListEntry) (int64, error) {
	if service < 0 || service >= len(r.lists) {
		return 0, fmt.Errorf("registry: no service %d", service)
	}
	return r.lists[service].change(targets), nil
}

// Silence begins or ends an outage in which the registry accepts calls and answers none, including those that wait
// already. A call that comes during the outage is not answered after it either.
func (r *Registry) Silence(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case on && !r.unresponsive:
		close(r.down)
	case !on && r.unresponsive:
		r.down = make(chan struct{})
	}
	r.unresponsive = on
}

// unresponsiveSignal returns a channel that is closed once a call that comes now can't be answered any more.
func (r *Registry) unresponsiveSignal() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.down
}

// errBroken says that the connection of a watch is to be closed without an answer.
var errBroken = errors.New("the watch is broken")

// BreakWatches closes the connections of all open watches without an answer.
func (r *Registry) BreakWatches() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.broken)
	r.broken = make(chan struct{})
}

// watchContext returns a context that ends with its parent, or with errBroken when the open watches are broken.
func (r *Registry) watchContext(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	r.mu.Lock()
	broken := r.broken
	r.mu.Unlock()
	go func() {
		select {
		case <-broken:
			cancel(errBroken)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(nil) }
}

// Close ends all addresses.
func (r *Registry) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	var errs []error
	for _, s := range r.servers {
		errs = append(errs, s.Close())
	}
	return errors.Join(errs...)
}

// serveList answers one call for a list.
func (r *Registry) serveList(w http.ResponseWriter, q *http.Request, l *list) {
	r.Traffic.Add(stats.Traffic{Calls: 1})
	if q.Method != http.MethodGet || q.URL.Path != "/registry/instances" {
		http.NotFound(w, q)
		return
	}
	from, hold, err := watchOf(q)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := r.watchContext(q.Context())
	defer cancel()
	body, err := l.wait(ctx, from, hold, r.unresponsiveSignal())
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		n, _ := w.Write(body) // a caller whose connection is broken calls again
		r.Traffic.Add(stats.Traffic{ListBytes: int64(n)})
	case errors.Is(err, errUnresponsive):
		<-q.Context().Done()
	case errors.Is(context.Cause(ctx), errBroken):
		panic(http.ErrAbortHandler) // closes the connection
	case q.Context().Err() == nil:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

// watchOf reads the parameters of a watch: the version that the caller holds, and how long it waits. A call without
// both is for the complete list.
func watchOf(q *http.Request) (from int64, hold time.Duration, err error) {
	if q.URL.RawQuery == "" {
		return noVersion, 0, nil
	}
	if from, err = strconv.ParseInt(q.URL.Query().Get("from"), 10, 64); err != nil {
		return 0, 0, fmt.Errorf("from: %w", err)
	}
	ms, err := strconv.ParseInt(q.URL.Query().Get("hold_ms"), 10, 64)
	if err != nil {
		return 0, 0, fmt.Errorf("hold_ms: %w", err)
	}
	return from, min(max(time.Duration(ms)*time.Millisecond, 0), maxHold), nil
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
	c.traffic.Add(stats.Traffic{BytesIn: int64(n)})
	return n, err
}

func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Add(stats.Traffic{BytesOut: int64(n)})
	return n, err
}

func (c *meteredConn) Close() error {
	c.closed.Do(func() { c.traffic.AddOpenConnections(-1) })
	return c.Conn.Close()
}
