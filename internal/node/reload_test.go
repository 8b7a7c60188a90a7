package node

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"basaltdrum/balancer"
	"basaltdrum/internal/testutil"
)

// scriptedServer holds each request until the test sends on succeed: true for a response, false for a reset.
type scriptedServer struct {
	*testutil.Server
	arrived chan string
	succeed chan bool
}

func newScriptedServer(t *testing.T) scriptedServer {
	s := scriptedServer{arrived: make(chan string, 100), succeed: make(chan bool, 100)}
	s.Server = testutil.NewServer(t, func(conn net.Conn, r *http.Request, body string) bool {
		s.arrived <- r.Header.Get("X-Request-Id")
		if <-s.succeed {
			return testutil.Echo(conn, r, body)
		}
		conn.(*net.TCPConn).SetLinger(0)
		return false
	})
	return s
}

// changeClass returns a change of one class, for withClasses.
func changeClass(index int, change func(c *balancer.Class)) func([]balancer.Class) []balancer.Class {
	return func(classes []balancer.Class) []balancer.Class {
		change(&classes[index])
		return classes
	}
}

// Indices of the classes of testConfig.
const (
	viewClass = iota // idempotent
	noteClass        // not idempotent
)

// reloadRow is a reload during a request whose attempt is reset after the reload.
type reloadRow struct {
	name    string
	change  func([]balancer.Class) []balancer.Class
	method  string // of the request before the reload, to class view or note
	retried bool   // the request is retried after the reset, and served
	status  int    // status of the same request after the reload
	served  int    // 1 if that request reaches a server, otherwise 0
}

// New settings apply to later requests, and earlier requests keep the previous settings: an attempt that is reset is
// retried only if its class before the reload permits it.
func TestReloadLeavesRequestsInFlightTheirSettings(t *testing.T) {
	t.Parallel()
	effect := func(class int, effect balancer.Effect) func([]balancer.Class) []balancer.Class {
		return changeClass(class, func(c *balancer.Class) { c.Effect = effect })
	}
	for _, row := range []reloadRow{
		{
			"a class is removed", func(classes []balancer.Class) []balancer.Class { return classes[1:] },
			"GET", true, 404, 0,
		},
		{"a class becomes non-idempotent", effect(viewClass, balancer.NonIdempotent), "GET", true, 405, 0},
		{"a class becomes idempotent by key", effect(viewClass, balancer.IdempotentByKey), "GET", true, 405, 0},
		{"a non-idempotent class becomes idempotent", effect(noteClass, balancer.Idempotent), "POST", false, 405, 0},
		{
			"a deadline shrinks",
			changeClass(viewClass, func(c *balancer.Class) { c.Deadline = 20 * time.Second }),
			"GET", true, 400, 0,
		},
		{
			"an objective changes",
			changeClass(viewClass, func(c *balancer.Class) { c.LatencyObjective = time.Second }),
			"GET", true, 200, 1,
		},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			row.run(t)
		})
	}
}

// run sends one request before the reload and one after it.
func (row reloadRow) run(t *testing.T) {
	server1, server2 := newScriptedServer(t), newScriptedServer(t)
	cfg := testConfig(testutil.CompleteList(inService("s1", server1.Server), inService("s2", server2.Server)))
	n, _ := startNode(t, cfg, nil)
	target, body := "/view/k", ""
	if row.method == "POST" {
		target, body = "/note/k", "body"
	}
	client := dial(t, n)
	client.Send(row.method, target, "before", body, "60")
	first := awaitArrival(t, "before", server1, server2)
	reload(t, n, withClasses(cfg, row.change))
	first.succeed <- false
	attempts := 1
	if row.retried {
		attempts++
		awaitArrival(t, "before", server1, server2).succeed <- true
		client.Expect(t, 200, "for before")
	} else {
		client.Expect(t, 502, "")
	}
	client = dial(t, n)
	client.Send(row.method, target, "after", body, "60")
	if row.served > 0 {
		awaitArrival(t, "after", server1, server2).succeed <- true
	}
	client.Expect(t, row.status, "")
	if got := server1.RequestCount() + server2.RequestCount(); got != attempts+row.served {
		t.Errorf("got %d requests at the servers, want %d", got, attempts+row.served)
	}
}

// awaitArrival waits for a request to arrive at one of two servers, and returns that server.
func awaitArrival(t *testing.T, id string, server1, server2 scriptedServer) (server scriptedServer) {
	t.Helper()
	var got string
	select {
	case got = <-server1.arrived:
		server = server1
	case got = <-server2.arrived:
		server = server2
	case <-time.After(testutil.Timeout):
		t.Fatalf("got request %s at no server, want it at one", id)
	}
	if got != id {
		t.Errorf("got request %q at a server, want %q", got, id)
	}
	return server
}

// Requests of an added class are served as soon as the reload is in force, and those of a removed class get status 404.
func TestReloadAddsAndRemovesClasses(t *testing.T) {
	server := testutil.NewServer(t, testutil.Echo)
	cfg := testConfig(testutil.CompleteList(inService("s1", server)))
	n, _ := startNode(t, cfg, nil)
	withExtra := withClasses(cfg, func(classes []balancer.Class) []balancer.Class {
		return append(classes, balancer.Class{
			Name: "extra", Effect: balancer.Idempotent,
			LatencyObjective: testutil.Timeout, Deadline: 2 * testutil.Timeout,
		})
	})
	for range 3 {
		client := dial(t, n)
		client.Send("GET", "/extra/k", "early", "", "60")
		client.Expect(t, 404, "")
		reload(t, n, withExtra)
		client = dial(t, n)
		client.Send("GET", "/extra/k", "there", "", "60")
		client.Expect(t, 200, "for there")
		reload(t, n, cfg)
	}
}

// A request is validated in the goroutine of its connection. If new settings come into force before it reaches the
// module, it is validated again. Otherwise the module would forward a request of a removed class as a non-idempotent
// one, and retry a request of a class that is now idempotent by key without its key.
func TestRequestsQueuedDuringAReloadAreValidatedAgain(t *testing.T) {
	effect := func(effect balancer.Effect) func([]balancer.Class) []balancer.Class {
		return changeClass(noteClass, func(c *balancer.Class) { c.Effect = effect })
	}
	for _, row := range []struct {
		name   string
		change func([]balancer.Class) []balancer.Class
		status int
	}{
		{"removed", func(classes []balancer.Class) []balancer.Class { return classes[:1] }, 404},
		{"idempotent by key", effect(balancer.IdempotentByKey), 400},
		{"idempotent", effect(balancer.Idempotent), 405},
		{"a longer deadline", changeClass(noteClass, func(c *balancer.Class) { c.Deadline *= 2 }), 200},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			server := testutil.NewServer(t, testutil.Echo)
			cfg := testConfig(testutil.CompleteList(inService("s1", server)))
			n, _ := startNode(t, cfg, nil)
			testutil.Until(t, "readiness", func() bool { return isReady(t, n) })
			held, release := make(chan struct{}), make(chan struct{})
			resume := sync.OnceFunc(func() { close(release) })
			defer resume()
			n.loop.post(settingsChanged{
				settings: moduleSettings(cfg), rules: newRequestRules(1, cfg.Settings),
				onApplied: func(time.Duration) { close(held); <-release },
			})
			testutil.Wait(t, held, "the stop of the loop")
			n.Reload(withClasses(cfg, row.change))
			client := dial(t, n)
			client.Send("POST", "/note/k", "crossing", "body", "60")
			testutil.Until(t, "the request to be queued for the loop", func() bool {
				return len(n.loop.events) == 2
			})
			resume()
			client.Expect(t, row.status, "")
			want := 0
			if row.status == http.StatusOK {
				want = 1
			}
			if server.RequestCount() != want {
				t.Errorf("got %d requests at the server, want %d", server.RequestCount(), want)
			}
		})
	}
}

// A reload keeps the settings that cannot change in a running node, and applies the others.
func TestReloadKeepsImmutableSettings(t *testing.T) {
	cfg := testConfig(testutil.CompleteList())
	n, _ := startNode(t, cfg, nil)
	other := cfg
	other.Listen, other.Sockets, other.MemoryMB = "127.0.0.1:1", 64, 16
	other.Settings.PollDiscovery, other.Settings.MaxRetryAfter = true, time.Hour
	other.ConnIdle, other.ConnectTimeout = time.Second, 3*time.Second
	reload(t, n, other)
	n.mu.Lock()
	kept := n.cfg
	n.mu.Unlock()
	if kept.Listen != cfg.Listen || kept.Sockets != cfg.Sockets || kept.MemoryMB != cfg.MemoryMB ||
		kept.Settings.PollDiscovery {
		t.Errorf("got configuration %+v, want the immutable fields unchanged", kept)
	}
	if got := n.upstream.Timeouts(); got.Idle != time.Second || got.Connect != 3*time.Second {
		t.Errorf("got idle timeout %v and connect timeout %v, want 1s and 3s", got.Idle, got.Connect)
	}
}

// changedNames returns the names of the fields and classes that differ.
func TestChangedNamesReturnsTheDifferences(t *testing.T) {
	cfg := testConfig(testutil.CompleteList())
	other := withClasses(cfg, func(classes []balancer.Class) []balancer.Class {
		classes[0].LatencyObjective++
		return append(classes[:2], balancer.Class{Name: "extra"})
	})
	other.Settings.MaxAttempts++
	other.Discovery = "127.0.0.1:2"
	want := "MaxAttempts, class view, class extra added, class keyed removed, discovery"
	if got := strings.Join(changedNames(cfg, other), ", "); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if got := changedNames(cfg, cfg); len(got) > 0 {
		t.Errorf("got %q for equal configurations, want none", got)
	}
}
