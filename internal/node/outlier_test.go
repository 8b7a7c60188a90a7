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

// faultyFleet are servers that fail some requests at once with a 500, by class, and count all that they receive. The
// fields beside those that mu guards are set before the first server.
type faultyFleet struct {
	servedOneIn int           // of the requests that would fail one in so many is served; 0: none
	capacity    int           // requests that each server serves at once; beyond that it rejects. 0: any number
	work        time.Duration // how long what is served takes
	hangingUID  string        // the server that never responds; empty: none
	hangsOneIn  int           // of the views, one in so many gets no response; 0: none

	mu       sync.Mutex
	received map[string]int  // by uid and class
	fails    map[string]bool // by uid and class
	busy     map[string]int  // requests in progress by uid
	rng      *rand.Rand
}

// newFaultyFleet returns a fleet without servers, of which those fail that are named by uid and class.
func newFaultyFleet(fails ...string) *faultyFleet {
	f := &faultyFleet{
		work:     5 * time.Millisecond,
		received: map[string]int{},
		fails:    map[string]bool{},
		busy:     map[string]int{},
		rng:      rand.New(rand.NewPCG(1, 2)),
	}
	for _, uidAndClass := range fails {
		f.fails[uidAndClass] = true
	}
	return f
}

// faultyResponse is what a server of the fleet does with a request.
type faultyResponse int

const (
	respondOK faultyResponse = iota
	respondRejected
	respondError
	respondNothing
)

// begin counts a request and decides on its response.
func (f *faultyFleet) begin(uid, class string) faultyResponse {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.received[uid+" "+class]++
	fails := f.fails[uid+" "+class] && (f.servedOneIn == 0 || f.rng.IntN(f.servedOneIn) != 0)
	full := f.capacity > 0 && f.busy[uid] >= f.capacity
	hangs := f.hangsOneIn > 0 && class == "view" && f.rng.IntN(f.hangsOneIn) == 0
	f.busy[uid]++
	switch {
	case full:
		return respondRejected
	case fails:
		return respondError
	case uid == f.hangingUID || hangs:
		return respondNothing
	}
	return respondOK
}

// end counts a request as no longer in progress.
func (f *faultyFleet) end(uid string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.busy[uid]--
}

// serve starts a server and returns its entry.
func (f *faultyFleet) serve(t *testing.T, uid string) string {
	t.Helper()
	server := testutil.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		response := f.begin(uid, strings.Split(r.URL.Path, "/")[1])
		defer f.end(uid)
		status := "500 Internal Server Error"
		switch response {
		case respondOK:
			time.Sleep(f.work) // the time that serving a request takes
			return testutil.Echo(c, r, body)
		case respondNothing:
			c.Read(make([]byte, 1)) // returns when the node closes the connection
			return false
		case respondRejected:
			status = "503 Service Unavailable\r\nX-Not-Run: 1"
		case respondError:
		}
		_, err := io.WriteString(c, "HTTP/1.1 "+status+"\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	})
	return testutil.ListEntry(uid, server.Address(), "in_service")
}

// serveAll starts servers and returns their entries.
func (f *faultyFleet) serveAll(t *testing.T, uids ...string) (entries []string) {
	t.Helper()
	for _, uid := range uids {
		entries = append(entries, f.serve(t, uid))
	}
	return entries
}

// stopFailing has no server fail any more.
func (f *faultyFleet) stopFailing() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.fails)
}

// count resets the counts, and returns a function for the share of a class that some servers received since.
func (f *faultyFleet) count() (share func(class string, uids ...string) float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.received = map[string]int{}
	return func(class string, uids ...string) float64 {
		f.mu.Lock()
		defer f.mu.Unlock()
		total, some := 0, 0
		for uidAndClass, requests := range f.received {
			uid, ofClass, _ := strings.Cut(uidAndClass, " ")
			if ofClass != class {
				continue
			}
			total += requests
			if slices.Contains(uids, uid) {
				some += requests
			}
		}
		return float64(some) / float64(max(1, total))
	}
}

// sendEach has clients send requests on connections of their own, each request after the response to the one
// before. It returns the status codes by client and request.
func sendEach(
	t *testing.T, n *Node, clients, each int, send func(c *testutil.Client, client, i int),
) [][]int {
	t.Helper()
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
			c.SendGet(id)
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
	t.Parallel()
	for _, c := range []struct {
		name        string
		servedOneIn int
	}{
		{"all of it", 0},
		{"three quarters of it", 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			testServersThatFailAClass(t, c.servedOneIn)
		})
	}
}

func testServersThatFailAClass(t *testing.T, servedOneIn int) {
	f := newFaultyFleet("s3 view", "s4 view", "s5 view", "s6 view")
	f.servedOneIn = servedOneIn
	healthy := f.serveAll(t, "s1", "s2")
	agent := testutil.NewRegistryAgent(t)
	cfg := testConfig(testutil.CompleteList(append(healthy, f.serveAll(t, "s3", "s4")...)...))
	cfg.Discovery = agent.Addr().String()
	var lists listRecorder
	n, _ := startNode(t, cfg, lists.record)
	checkShares := func(failing ...string) {
		load(t, n, 20, 20) // lets the node learn
		share := f.count()
		served := load(t, n, 20, 90)
		views, notes := share("view", failing...), share("note", failing...)
		if views > 0.35 || notes < 0.4 || served < 0.97 {
			t.Errorf("%v received %.2f of the views and %.2f of the notes; %.3f of all were served",
				failing, views, notes, served)
		}
	}
	checkShares("s3", "s4")
	agent.Set(false, testutil.CompleteList(append(healthy, f.serveAll(t, "s5", "s6")...)...))
	lists.untilListed(t, "s6")
	checkShares("s5", "s6")
}

// A server at which most attempts time out holds its part of the node's calls for nothing, and in a small fleet
// none may be ejected. Its failure rate keeps requests away from it.
func TestServerWithManyTimeoutsGetsFewRequests(t *testing.T) {
	t.Parallel()
	f := newFaultyFleet()
	f.work, f.hangingUID = 400*time.Millisecond, "s4"
	cfg := testConfig(testutil.CompleteList(f.serveAll(t, "s1", "s2", "s3", "s4")...))
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].LatencyObjective = 900 * time.Millisecond
	}
	n, _ := startNode(t, cfg, nil)
	load(t, n, 24, 8)
	share := f.count()
	load(t, n, 24, 8)
	if views, notes := share("view", "s4"), share("note", "s4"); (views+notes)/2 > 0.1 {
		t.Errorf("it received %.2f of the views and %.2f of the notes", views, notes)
	}
}

// Where all servers alike leave some attempts unanswered, no server can be avoided: attempts that may be retried
// time out early while there is time for another, below the first tier. An attempt that may not be retried is
// never cut short.
func TestUnresponsiveAttemptsAreRetriedInTime(t *testing.T) {
	t.Parallel()
	f := newFaultyFleet()
	f.hangsOneIn = 5
	cfg := testConfig(testutil.CompleteList(f.serveAll(t, "s1", "s2", "s3", "s4")...))
	cfg.Settings.Tier = 1
	n, _ := startNode(t, cfg, nil)
	const clients, each = 8, 20 // requests of each class
	codes := sendEach(t, n, clients, 2*each, func(c *testutil.Client, client, i int) {
		id := fmt.Sprintf("%d-%d", client, i)
		if i%2 == 0 {
			c.Send("GET", "/view/k", id, "", "1")
		} else {
			c.Send("POST", "/note/k", id, "x", "1")
		}
	})
	var served [2]int // of the views and of the notes
	for _, ofClient := range codes {
		for i, code := range ofClient {
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
	t.Parallel()
	f := newFaultyFleet("s2 view", "s2 note", "s4 view", "s4 note")
	n, _ := startNode(t, testConfig(testutil.CompleteList(f.serveAll(t, "s1", "s2", "s3", "s4")...)), nil)
	load(t, n, 20, 100)
	f.stopFailing()
	load(t, n, 2, 60)
	share := f.count()
	load(t, n, 2, 90)
	for _, uid := range []string{"s2", "s4"} {
		if got := share("note", uid); got < 0.1 {
			t.Errorf("%s received %.2f of the notes", uid, got)
		}
	}
}

// In overload every server rejects requests, and where the tier behind them has a fault all fail alike: no server
// is ejected for that.
func TestFleetThatFailsAlikeStaysInUse(t *testing.T) {
	t.Parallel()
	views := []string{"s1 view", "s2 view", "s3 view", "s4 view"}
	all := append([]string{"s1 note", "s2 note", "s3 note", "s4 note"}, views...)
	for _, c := range []struct {
		name                  string
		fails                 []string
		servedOneIn, capacity int
	}{
		{name: "all fail", fails: all, servedOneIn: 2},
		{name: "all are full", capacity: 1},
		{name: "all fail and are full", fails: views, servedOneIn: 2, capacity: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFaultyFleet(c.fails...)
			f.servedOneIn, f.capacity = c.servedOneIn, c.capacity
			testFleetThatFailsAlike(t, f)
		})
	}
}

func testFleetThatFailsAlike(t *testing.T, f *faultyFleet) {
	uids := []string{"s1", "s2", "s3", "s4"}
	n, _ := startNode(t, testConfig(testutil.CompleteList(f.serveAll(t, uids...)...)), nil)
	load(t, n, 6, 60)
	share := f.count()
	load(t, n, 6, 200)
	for _, uid := range uids {
		for _, class := range []string{"view", "note"} {
			if got := share(class, uid); got < 0.07 {
				t.Errorf("%s received %.2f of class %s", uid, got, class)
			}
		}
	}
}
