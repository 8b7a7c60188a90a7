package node

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"basaltdrum/balancer"
)

// limit is how long a test waits for something; only a failing test waits so long.
const limit = 30 * time.Second

// wait receives from a channel, and fails the test if nothing comes.
func wait[T any](t *testing.T, c <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(limit):
		t.Fatalf("%s: nothing came", what)
	}
	return v
}

// until polls a condition, and fails the test if it never holds.
func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %v", what, limit)
		}
	}
}

func testLog() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// testConfig is a deployment with a class of each effect and long limits.
func testConfig(known string) Config {
	class := func(name string, e balancer.Effect) balancer.Class {
		return balancer.Class{
			Name: name, Effect: e, Scope: balancer.ScopeAll, DedupWindow: limit,
			LatencyObjective: limit, Deadline: 2 * limit, PriorityWeight: 1,
		}
	}
	return Config{
		Name: "n", Listen: "127.0.0.1:0", Discovery: "127.0.0.1:1", Seed: 1, MemoryMB: 192,
		Sockets: 1024, ConnIdle: time.Minute, ConnectTimeout: limit,
		Known: []byte(strings.Replace(known, "%d", "1", 1)),
		Settings: balancer.Settings{
			Replicas: 1, MaxAttempts: 4, AllowCancel: true,
			Tick: time.Millisecond, MaxRetryAfter: 2 * time.Second, SlowStartFloor: 1, TotalWeight: 1,
			Classes: []balancer.Class{
				class("view", balancer.Idempotent), class("note", balancer.NonIdempotent),
				class("keyed", balancer.IdempotentByKey),
			},
		},
	}
}

// withLongObjectives keeps the attempts of a configuration from timing out while a test waits for something else
// to end them.
func withLongObjectives(cfg Config) Config {
	return with(cfg, func(classes []balancer.Class) []balancer.Class {
		for i := range classes {
			classes[i].LatencyObjective = 2 * limit
		}
		return classes
	})
}

// with is a configuration with other classes.
func with(cfg Config, change func(classes []balancer.Class) []balancer.Class) Config {
	cfg.Settings.Classes = change(slices.Clone(cfg.Settings.Classes))
	return cfg
}

// startNode runs a node until the test ends, or until the returned function is called.
func startNode(t *testing.T, cfg Config, change func(*Node)) (n *Node, stop func() error) {
	t.Helper()
	n, err := New(cfg, testLog())
	if err != nil {
		t.Fatal(err)
	}
	n.discovery.startupWait = 0 // the known list will do, where a test has no agent
	if change != nil {
		change(n)
	}
	ctx, cancel := context.WithCancel(t.Context())
	end := make(chan error, 1)
	go func() { end <- n.Run(ctx) }()
	var once sync.Once
	stop = func() (err error) {
		once.Do(func() { cancel(); err = wait(t, end, "the node's end") })
		return err
	}
	t.Cleanup(func() { stop() })
	return n, stop
}

// isReady makes a readiness check of a node.
func isReady(t *testing.T, n *Node) bool {
	t.Helper()
	c := dial(t, n)
	defer c.Close()
	fmt.Fprint(c, "GET /health/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	r, _ := c.answer(t)
	return r.StatusCode == http.StatusOK
}

// reload reloads a node's configuration, and waits until it is in force.
func reload(t *testing.T, n *Node, cfg Config) {
	t.Helper()
	n.Reload(cfg)
	n.mu.Lock()
	revision := n.revision
	n.mu.Unlock()
	until(t, "the new settings", func() bool { return n.loop.rules.Load().revision == revision })
}

// closedPort is an address that refuses connections for as long as the test runs: its socket is bound, so that no
// other process gets the port, and does not listen.
func closedPort(t *testing.T) string {
	t.Helper()
	_, address := boundSocket(t)
	return address
}

// boundSocket binds a socket to a free port until the test ends.
func boundSocket(t *testing.T) (fd int, address string) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fd, fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
}

func readsAll(r io.Reader, p []byte) bool {
	_, err := io.ReadFull(r, p)
	return err == nil
}

// expectClosed waits for the other side to close a connection, and fails the test if more is read before.
func expectClosed(t *testing.T, r io.Reader, what string) {
	t.Helper()
	if n, err := r.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Fatalf("%s: still open", what)
	} else if ne, ok := err.(net.Error); ok && ne.Timeout() {
		t.Fatalf("%s: %v", what, err)
	}
}

// entry is a server's entry in an endpoint list.
func entry(uid, endpoint, state string) string {
	return fmt.Sprintf(`{"uid":%q,"endpoint":%q,"az":"a","model":"m","pod_group":0,"state":%q,`+
		`"capacity_hint":1,"boot_ms":0}`, uid, endpoint, state)
}

// completeList is the text of a complete endpoint list, with %d for its version.
func completeList(entries ...string) string {
	return `{"rev":%d,"all":true,"targets":[` + strings.Join(entries, ",") + `]}`
}

// watchStalls adds up, until the test ends, how late timers of the test's process are, where that is more than
// usual. Time that the machine takes from the process is no fault of the node.
func watchStalls(t *testing.T, usual time.Duration) (sum func() time.Duration) {
	const step = 5 * time.Millisecond
	var total atomic.Int64
	over := make(chan struct{})
	go func() {
		defer close(over)
		for t.Context().Err() == nil {
			begin := time.Now()
			time.Sleep(step)
			if late := time.Since(begin) - step; late > usual {
				total.Add(int64(late))
			}
		}
	}()
	t.Cleanup(func() { <-over })
	return func() time.Duration { return time.Duration(total.Load()) }
}

// parsedList is the endpoint list that a text contains.
func parsedList(t testing.TB, text string) endpointList {
	t.Helper()
	l, err := parseList([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// listOf is an endpoint list, complete or of changes.
func listOf(t testing.TB, complete bool, entries ...string) endpointList {
	t.Helper()
	return parsedList(t, fmt.Sprintf(`{"rev":9,"all":%v,"targets":[%s]}`, complete, strings.Join(entries, ",")))
}

// connPair returns the two ends of a connection over loopback.
func connPair(t *testing.T) (dialed, accepted net.Conn) {
	t.Helper()
	return connPairBy(t, func(ln net.Listener) net.Listener { return ln })
}

// connPairBy is connPair with the accepting listener wrapped.
func connPairBy(t *testing.T, wrap func(net.Listener) net.Listener) (dialed, accepted net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if dialed, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dialed.Close() })
	if accepted, err = wrap(ln).Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	return dialed, accepted
}

// downstreamPair returns a downstream connection as the node's listener hands it to net/http, and its client's
// end.
func downstreamPair(t *testing.T, conns *downstreamConns, readTimeout time.Duration) (ours *downstreamConn, theirs net.Conn) {
	t.Helper()
	theirs, accepted := connPairBy(t, func(ln net.Listener) net.Listener {
		l := newDownstreamListener(ln, conns, testLog())
		l.readTimeout = readTimeout
		return l
	})
	return accepted.(*downstreamConn), theirs
}

// readAheadBytes is how many bytes are buffered of clients whose requests have no response yet.
func readAheadBytes(n *Node) (sum int) {
	n.frontend.conns.mu.Lock()
	defer n.frontend.conns.mu.Unlock()
	for c := range n.frontend.conns.conns {
		c.mu.Lock()
		sum += len(c.readAhead)
		c.mu.Unlock()
	}
	return sum
}

// untilIdle waits for a connection to be idle, which it becomes a little after the response.
func untilIdle(t *testing.T, n *Node) {
	t.Helper()
	until(t, "a connection to be idle", func() bool {
		n.frontend.conns.mu.Lock()
		defer n.frontend.conns.mu.Unlock()
		for c := range n.frontend.conns.conns {
			if c.phase == phaseIdle {
				return true
			}
		}
		return false
	})
}

// untilActive waits for a number of requests to be with the module.
func untilActive(t *testing.T, n *Node, many int) {
	t.Helper()
	until(t, "the requests to be with the module", func() bool {
		n.frontend.conns.mu.Lock()
		defer n.frontend.conns.mu.Unlock()
		return n.frontend.conns.active == many
	})
}

// heldDials holds each connection back once it is established, until it is released. It ignores its context, so
// that whatever happened meanwhile is noticed at the first byte only.
type heldDials struct{ dialed, release chan struct{} }

func holdDials(b *upstreamPool) heldDials {
	h := heldDials{make(chan struct{}, 10), make(chan struct{})}
	b.dial = func(_ context.Context, network, address string) (net.Conn, error) {
		nc, err := net.Dial(network, address)
		h.dialed <- struct{}{}
		<-h.release
		return nc, err
	}
	return h
}

// untilListed waits until the node has an endpoint in its list.
func untilListed(t *testing.T, n *Node, uid string) {
	t.Helper()
	until(t, "the endpoint to be known", func() bool {
		n.upstream.mu.Lock()
		defer n.upstream.mu.Unlock()
		_, listed := n.upstream.endpoints[uid]
		return listed
	})
}
