package node

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"basaltdrum/internal/testutil"
)

// faultyFleet is a list of servers that fail some requests at once with a 500, by class, and count all that they
// receive.
type faultyFleet struct {
	mu          sync.Mutex
	received    map[string]int  // by uid and class
	fails       map[string]bool // by uid and class
	servedOneIn int             // of those that fail one in so many is served all the same; 0: none
	capacity    int             // requests that each serves at once; beyond that it rejects. 0: any number
	busy        map[string]int
	work        time.Duration // how long what is served takes
	slow        string        // the server that takes too long for anything
	hangsOneIn  int           // of the views, one in so many is never answered; 0: none
	rng         *rand.Rand
}

func newFaultyFleet(part, room int, fails ...string) *faultyFleet {
	f := &faultyFleet{
		received: map[string]int{}, fails: map[string]bool{}, busy: map[string]int{}, servedOneIn: part, capacity: room, work: 5 * time.Millisecond,
		rng: rand.New(rand.NewPCG(1, 2)),
	}
	for _, k := range fails {
		f.fails[k] = true
	}
	return f
}

// serve starts a server and returns its entry.
func (f *faultyFleet) serve(t *testing.T, uid string) string {
	s := testutil.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		class := strings.Split(r.URL.Path, "/")[1]
		f.mu.Lock()
		f.received[uid+" "+class]++
		fails := f.fails[uid+" "+class] && !(f.servedOneIn > 0 && f.rng.IntN(f.servedOneIn) == 0)
		full := f.capacity > 0 && f.busy[uid] >= f.capacity
		hangs := f.hangsOneIn > 0 && class == "view" && f.rng.IntN(f.hangsOneIn) == 0
		f.busy[uid]++
		f.mu.Unlock()
		defer func() {
			f.mu.Lock()
			f.busy[uid]--
			f.mu.Unlock()
		}()
		head := ""
		switch {
		case full:
			head = "503 Full\r\nX-Not-Run: 1"
		case fails:
			head = "500 Oh"
		case uid == f.slow || hangs:
			c.Read(make([]byte, 1)) // returns when the node gives up
			return false
		default:
			time.Sleep(f.work)
			return testutil.Echo(c, r, body)
		}
		_, err := io.WriteString(c, "HTTP/1.1 "+head+"\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	})
	return testutil.ListEntry(uid, s.Address(), "in_service")
}

// count resets the counts, and returns a function for the share of a class that some servers received since.
func (f *faultyFleet) count() func(class string, uids ...string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.received = map[string]int{}
	return func(class string, uids ...string) float64 {
		f.mu.Lock()
		defer f.mu.Unlock()
		all, some := 0, 0
		for k, n := range f.received {
			uid, c, _ := strings.Cut(k, " ")
			if c == class {
				all += n
				if slices.Contains(uids, uid) {
					some += n
				}
			}
		}
		return float64(some) / float64(max(1, all))
	}
}

// sendEach has clients send requests on connections of their own, each request after the response to the one
// before. It returns the status codes by client and request.
func sendEach(t *testing.T, n *Node, clients, each int, send func(c *testutil.Client, client, i int)) [][]int {
	status := make([][]int, clients)
	var running sync.WaitGroup
	for client := range status {
		c := dial(t, n)
		running.Add(1)
		go func() {
			defer running.Done()
			for i := range each {
				send(c, client, i)
				r, _, err := c.ReadResponse()
				if err != nil {
					t.Error(err)
					return
				}
				status[client] = append(status[client], r.StatusCode)
			}
		}()
	}
	running.Wait()
	return status
}

// load sends requests of both classes, and returns the share served.
func load(t *testing.T, n *Node, clients, each int) float64 {
	served := 0
	for _, codes := range sendEach(t, n, clients, each, func(c *testutil.Client, client, i int) {
		id := fmt.Sprintf("%p-%d-%d", c, client, i)
		if i%3 == 0 {
			c.Get(id)
		} else {
			c.Send("POST", "/note/k", id, "x", "60")
		}
	}) {
		for _, code := range codes {
			if code == http.StatusOK {
				served++
			}
		}
	}
	return float64(served) / float64(clients*each)
}

// Servers that fail one class at once, completely or in part, serve the others well, so no run of failures is
// long, and having few calls in flight they are preferred by the pick. Their failure rate keeps that class away
// from them, also when they are replaced by others that do the same, and the other classes stay with them.
func TestServersThatFailAClassGetLittleOfIt(t *testing.T) {
	for _, part := range []int{0, 4} {
		t.Run(fmt.Sprint("one served in ", part), func(t *testing.T) {
			f := newFaultyFleet(part, 0, "s3 view", "s4 view", "s5 view", "s6 view")
			list := []string{f.serve(t, "s1"), f.serve(t, "s2"), f.serve(t, "s3"), f.serve(t, "s4")}
			ag := testutil.NewRegistryAgent(t)
			cfg := testConfig(testutil.CompleteList(list...))
			cfg.Discovery = ag.Addr().String()
			var lists listRecorder
			n, _ := startNode(t, cfg, lists.record)
			for _, bad := range [][]string{{"s3", "s4"}, {"s5", "s6"}} {
				if bad[0] == "s5" {
					list[2], list[3] = f.serve(t, "s5"), f.serve(t, "s6")
					ag.Set(false, testutil.CompleteList(list...))
					lists.untilListed(t, "s6")
				}
				load(t, n, 20, 20) // to meet them
				share := f.count()
				served := load(t, n, 20, 90)
				views, notes := share("view", bad...), share("note", bad...)
				if views > 0.35 || notes < 0.4 || served < 0.97 {
					t.Errorf("%v got %.2f of the views and %.2f of the notes; %.3f of all were served",
						bad, views, notes, served)
				}
			}
		})
	}
}

// A server at which most attempts time out holds its part of the node's calls for nothing, and in a small fleet
// none may be ejected. Its failure rate keeps requests away from it.
func TestServerWithManyTimeoutsGetsFewRequests(t *testing.T) {
	f := newFaultyFleet(0, 0)
	f.work, f.slow = 400*time.Millisecond, "s4"
	var list []string
	for _, uid := range []string{"s1", "s2", "s3", "s4"} {
		list = append(list, f.serve(t, uid))
	}
	cfg := testConfig(testutil.CompleteList(list...))
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].LatencyObjective = 900 * time.Millisecond
	}
	n, _ := startNode(t, cfg, nil)
	load(t, n, 24, 8)
	share := f.count()
	load(t, n, 24, 8)
	if view, note := share("view", "s4"), share("note", "s4"); (view+note)/2 > 0.1 {
		t.Errorf("it got %.2f of the views and %.2f of the notes", view, note)
	}
}

// Where all servers alike leave some attempts unanswered, no server can be avoided: attempts that may be retried
// time out early while there is time for another, below the first tier. An attempt that may not be retried is
// never cut short.
func TestUnresponsiveAttemptsAreRetriedInTime(t *testing.T) {
	f := newFaultyFleet(0, 0)
	f.hangsOneIn = 5
	cfg := testConfig(testutil.CompleteList(f.serve(t, "s1"), f.serve(t, "s2"), f.serve(t, "s3"), f.serve(t, "s4")))
	cfg.Settings.Tier = 1
	n, _ := startNode(t, cfg, nil)
	const clients, each = 8, 20
	var served [2]int // of the views and of the notes
	for _, codes := range sendEach(t, n, clients, 2*each, func(c *testutil.Client, client, i int) {
		method, target, body := "GET", "/view/k", ""
		if i%2 == 1 {
			method, target, body = "POST", "/note/k", "x"
		}
		c.Send(method, target, fmt.Sprintf("%d-%d", client, i), body, "1")
	}) {
		for i, code := range codes {
			if code == http.StatusOK {
				served[i%2]++
			}
		}
	}
	views, notes := float64(served[0])/(clients*each), float64(served[1])/(clients*each)
	if views < 0.9 || notes < 0.99 {
		t.Errorf("%.2f of the views and %.2f of the notes were served", views, notes)
	}
}

// Servers that failed everything and have recovered get their share back within a few dozen responses.
func TestRecoveredServersAreUsedAgain(t *testing.T) {
	f := newFaultyFleet(0, 0, "s2 view", "s2 note", "s4 view", "s4 note")
	var list []string
	for _, uid := range []string{"s1", "s2", "s3", "s4"} {
		list = append(list, f.serve(t, uid))
	}
	n, _ := startNode(t, testConfig(testutil.CompleteList(list...)), nil)
	load(t, n, 20, 100)
	f.mu.Lock()
	clear(f.fails)
	f.mu.Unlock()
	load(t, n, 2, 60)
	share := f.count()
	load(t, n, 2, 90)
	for _, uid := range []string{"s2", "s4"} {
		if got := share("note", uid); got < 0.1 {
			t.Errorf("%s got %.2f of the notes", uid, got)
		}
	}
}

// In overload every server rejects requests, and where the tier behind them has a fault all fail alike: no server
// is ejected for that.
func TestFleetThatFailsAlikeStaysInUse(t *testing.T) {
	for name, f := range map[string]*faultyFleet{"all fail": newFaultyFleet(2, 0, "s1 view", "s2 view", "s3 view", "s4 view",
		"s1 note", "s2 note", "s3 note", "s4 note"), "all are full": newFaultyFleet(0, 1), "all fail and are full": newFaultyFleet(2, 1,
		"s1 view", "s2 view", "s3 view", "s4 view")} {
		t.Run(name, func(t *testing.T) {
			uids := []string{"s1", "s2", "s3", "s4"}
			var list []string
			for _, uid := range uids {
				list = append(list, f.serve(t, uid))
			}
			n, _ := startNode(t, testConfig(testutil.CompleteList(list...)), nil)
			load(t, n, 6, 60)
			share := f.count()
			load(t, n, 6, 200)
			for _, uid := range uids {
				for _, class := range []string{"view", "note"} {
					if got := share(class, uid); got < 0.07 {
						t.Errorf("%s got %.2f of class %s", uid, got, class)
					}
				}
			}
		})
	}
}
