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

// scriptedServer holds each request until the test says whether to answer or to reset.
type scriptedServer struct {
	*testutil.Server
	arrived chan string
	succeed chan bool
}

func newScriptedServer(t *testing.T) scriptedServer {
	s := scriptedServer{arrived: make(chan string, 100), succeed: make(chan bool, 100)}
	s.Server = testutil.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		s.arrived <- r.Header.Get("X-Request-Id")
		if <-s.succeed {
			return testutil.Echo(c, r, body)
		}
		c.(*net.TCPConn).SetLinger(0)
		return false
	})
	return s
}

// changeClass is a change of one class of the configuration.
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

// reloadRow is a reload while a request is in flight whose attempt is reset after it.
type reloadRow struct {
	name    string
	change  func([]balancer.Class) []balancer.Class
	method  string // of the request before, to the class view or note
	retried bool   // it is sent again after the reset, and served
	status  int    // of the same request after the reload
	served  int    // 1 if that one gets to a server
}

// New settings are in force for the requests that come after them, and earlier requests keep theirs: an attempt
// that is reset is retried only where the class that its client knew permits it.
func TestReloadLeavesRequestsInFlightTheirSettings(t *testing.T) {
	t.Parallel()
	effect := func(class int, effect balancer.Effect) func([]balancer.Class) []balancer.Class {
		return changeClass(class, func(c *balancer.Class) { c.Effect = effect })
	}
	for _, row := range []reloadRow{
		{"a class is removed", func(l []balancer.Class) []balancer.Class { return l[1:] }, "GET", true, 404, 0},
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

// run sends a request before the reload and one after it.
func (row reloadRow) run(t *testing.T) {
	one, two := newScriptedServer(t), newScriptedServer(t)
	cfg := testConfig(testutil.CompleteList(inService("s1", one.Server), inService("s2", two.Server)))
	n, _ := startNode(t, cfg, nil)
	target, body := "/view/k", ""
	if row.method == "POST" {
		target, body = "/note/k", "body"
	}
	c := dial(t, n)
	c.Send(row.method, target, "before", body, "60")
	first := awaitArrival(t, "before", one, two)
	reload(t, n, withClasses(cfg, row.change))
	first.succeed <- false
	attempts := 1
	if row.retried {
		attempts++
		awaitArrival(t, "before", one, two).succeed <- true
		c.Expect(t, 200, "for before")
	} else {
		c.Expect(t, 502, "")
	}
	c = dial(t, n)
	c.Send(row.method, target, "after", body, "60")
	if row.served > 0 {
		awaitArrival(t, "after", one, two).succeed <- true
	}
	c.Expect(t, row.status, "")
	if got := one.RequestCount() + two.RequestCount(); got != attempts+row.served {
		t.Errorf("the servers got %d requests, want %d", got, attempts+row.served)
	}
}

// awaitArrival waits for a request to come to one of two servers, and returns that server.
func awaitArrival(t *testing.T, id string, one, two scriptedServer) (server scriptedServer) {
	t.Helper()
	var got string
	select {
	case got = <-one.arrived:
		server = one
	case got = <-two.arrived:
		server = two
	case <-time.After(testutil.Timeout):
		t.Fatalf("%s comes to no server", id)
	}
	if got != id {
		t.Errorf("got %q, want %q", got, id)
	}
	return server
}

// A class that is added is served at once, and one that is removed is answered as unknown, on a connection that
// stays open.
func TestReloadAddsAndRemovesClasses(t *testing.T) {
	s := testutil.NewServer(t, testutil.Echo)
	cfg := testConfig(testutil.CompleteList(inService("s1", s)))
	n, _ := startNode(t, cfg, nil)
	more := withClasses(cfg, func(l []balancer.Class) []balancer.Class {
		return append(l, balancer.Class{
			Name: "extra", Effect: balancer.Idempotent,
			LatencyObjective: testutil.Timeout, Deadline: 2 * testutil.Timeout,
		})
	})
	for range 3 {
		c := dial(t, n)
		c.Send("GET", "/extra/k", "early", "", "60")
		c.Expect(t, 404, "")
		reload(t, n, more)
		c = dial(t, n)
		c.Send("GET", "/extra/k", "there", "", "60")
		c.Expect(t, 200, "for there")
		reload(t, n, cfg)
	}
}

// A request is validated by its connection's goroutine, and new settings may be in force before it reaches the
// module: then it is validated again. Otherwise a class that the module no longer knows would be forwarded as a
// non-idempotent one, and one that is idempotent by key by now would be retried without its key.
func TestRequestsValidatedBeforeAReloadAreValidatedAgain(t *testing.T) {
	effect := func(effect balancer.Effect) func([]balancer.Class) []balancer.Class {
		return changeClass(noteClass, func(c *balancer.Class) { c.Effect = effect })
	}
	for _, row := range []struct {
		name   string
		change func([]balancer.Class) []balancer.Class
		status int
	}{
		{"removed", func(l []balancer.Class) []balancer.Class { return l[:1] }, 404},
		{"idempotent by key", effect(balancer.IdempotentByKey), 400},
		{"idempotent", effect(balancer.Idempotent), 405},
		{"a longer deadline", changeClass(noteClass, func(c *balancer.Class) { c.Deadline *= 2 }), 200},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			s := testutil.NewServer(t, testutil.Echo)
			cfg := testConfig(testutil.CompleteList(inService("s1", s)))
			n, _ := startNode(t, cfg, nil)
			testutil.Until(t, "readiness", func() bool { return isReady(t, n) })
			held, release := make(chan struct{}), make(chan struct{})
			resume := sync.OnceFunc(func() { close(release) })
			defer resume()
			n.loop.post(settingsChanged{
				settings: moduleSettings(cfg), rules: newRequestRules(1, cfg.Settings),
				onApplied: func(time.Duration) { close(held); <-release },
			})
			testutil.Wait(t, held, "the loop to be held")
			n.Reload(withClasses(cfg, row.change))
			c := dial(t, n)
			c.Send("POST", "/note/k", "crossing", "body", "60")
			testutil.Until(t, "the request to be on its way to the module", func() bool {
				return len(n.loop.events) == 2
			})
			resume()
			c.Expect(t, row.status, "")
			want := 0
			if row.status == http.StatusOK {
				want = 1
			}
			if s.RequestCount() != want {
				t.Errorf("the server got %d requests, want %d", s.RequestCount(), want)
			}
		})
	}
}

// What cannot change in a running node stays as it is, whatever the file says, and the rest of the file is in
// force.
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
		t.Errorf("got %+v", kept)
	}
	if got := n.upstream.Timeouts(); got.Idle != time.Second || got.Connect != 3*time.Second {
		t.Errorf("connections stay for %v, and are made in %v", got.Idle, got.Connect)
	}
}

// The names that a reload logs are those of what differs.
func TestChangesNamesWhatDiffers(t *testing.T) {
	cfg := testConfig(testutil.CompleteList())
	other := withClasses(cfg, func(l []balancer.Class) []balancer.Class {
		l[0].LatencyObjective++
		return append(l[:2], balancer.Class{Name: "extra"})
	})
	other.Settings.MaxAttempts++
	other.Discovery = "127.0.0.1:2"
	want := "MaxAttempts, class view, class extra added, class keyed removed, discovery"
	if got := strings.Join(changedNames(cfg, other), ", "); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if got := changedNames(cfg, cfg); len(got) > 0 {
		t.Errorf("got %q of the same", got)
	}
}
