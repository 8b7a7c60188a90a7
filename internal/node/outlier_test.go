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

// faultyFleet is a set of servers that fail requests of some classes at once with a 500, and count the requests that
// they receive. The fields above mu are set before the first server is started.
type faultyFleet struct {
	servedOneIn int           // one in this many failing requests is served; 0: none
	capacity    int           // requests that each server serves concurrently; it rejects more. 0: any number
	work        time.Duration // duration of a served request
	hangingUID  string        // UID of the server that never responds; empty: none
	hangsOneIn  int           // one in this many view requests gets no response; 0: none

	mu       sync.Mutex
	received map[string]int  // by UID and class
	fails    map[string]bool // by UID and class
	busy     map[string]int  // requests in progress by UID
	rng      *rand.Rand
}

// newFaultyFleet returns a fleet without servers. fails lists the UIDs and classes whose requests fail.
func newFaultyFleet(fails ...string) *faultyFleet {
	fleet := &faultyFleet{
		work:     5 * time.Millisecond,
		received: map[string]int{},
		fails:    map[string]bool{},
		busy:     map[string]int{},
		rng:      rand.New(rand.NewPCG(1, 2)),
	}
	for _, uidAndClass := range fails {
		fleet.fails[uidAndClass] = true
	}
	return fleet
}

// faultyResponse is the reaction of a server of the fleet to a request.
type faultyResponse int

const (
	respondOK faultyResponse = iota
	respondRejected
	respondError
	respondNothing
)

// startRequest counts a request and decides on its response.
func (fleet *faultyFleet) startRequest(uid, class string) faultyResponse {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.received[uid+" "+class]++
	fails := fleet.fails[uid+" "+class] && (fleet.servedOneIn == 0 || fleet.rng.IntN(fleet.servedOneIn) != 0)
	full := fleet.capacity > 0 && fleet.busy[uid] >= fleet.capacity
	hangs := fleet.hangsOneIn > 0 && class == "view" && fleet.rng.IntN(fleet.hangsOneIn) == 0
	fleet.busy[uid]++
	switch {
	case full:
		return respondRejected
	case fails:
		return respondError
	case uid == fleet.hangingUID || hangs:
		return respondNothing
	}
	return respondOK
}

// endRequest counts a request as no longer in progress.
func (fleet *faultyFleet) endRequest(uid string) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.busy[uid]--
}

// serve starts a server and returns its list entry.
func (fleet *faultyFleet) serve(t *testing.T, uid string) string {
	t.Helper()
	server := testutil.NewServer(t, func(conn net.Conn, r *http.Request, body string) bool {
		response := fleet.startRequest(uid, strings.Split(r.URL.Path, "/")[1])
		defer fleet.endRequest(uid)
		status := "500 Internal Server Error"
		switch response {
		case respondOK:
			time.Sleep(fleet.work) // simulates the duration of the request
			return testutil.Echo(conn, r, body)
		case respondNothing:
			conn.Read(make([]byte, 1)) // returns when the node closes the connection
			return false
		case respondRejected:
			status = "503 Service Unavailable\r\nX-Not-Run: 1"
		case respondError:
		}
		_, err := io.WriteString(conn, "HTTP/1.1 "+status+"\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	})
	return testutil.ListEntry(uid, server.Address(), "in_service")
}

// serveAll starts servers and returns their list entries.
func (fleet *faultyFleet) serveAll(t *testing.T, uids ...string) (entries []string) {
	t.Helper()
	for _, uid := range uids {
		entries = append(entries, fleet.serve(t, uid))
	}
	return entries
}

// stopFailing makes all servers succeed from now on.
func (fleet *faultyFleet) stopFailing() {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	clear(fleet.fails)
}

// count resets the counters. It returns a function for the share of the requests of a class that some servers have
// received since.
func (fleet *faultyFleet) count() (share func(class string, uids ...string) float64) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.received = map[string]int{}
	return func(class string, uids ...string) float64 {
		fleet.mu.Lock()
		defer fleet.mu.Unlock()
		total, some := 0, 0
		for uidAndClass, requests := range fleet.received {
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

// sendEach makes clients send requests, each client on its own connection and each request after the response to the
// previous one. It returns the status codes by client and request.
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
				response, _, err := c.ReadResponse()
				if err != nil {
					t.Error(err)
					return
				}
				status[client] = append(status[client], response.StatusCode)
			}
		}()
	}
	running.Wait()
	return status
}

// load sends requests of two classes, and returns the share that was served.
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

// Servers that fail one class at once, completely or in part, serve other classes well. So their runs of failures are
// short, and as they have few requests in flight, endpoint selection prefers them. Their failure rate must keep that
// class away from them, even if they are replaced by other servers that fail, while they keep the other classes.
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
	fleet := newFaultyFleet("s3 view", "s4 view", "s5 view", "s6 view")
	fleet.servedOneIn = servedOneIn
	healthy := fleet.serveAll(t, "s1", "s2")
	agent := testutil.NewRegistryAgent(t)
	cfg := testConfig(testutil.CompleteList(append(healthy, fleet.serveAll(t, "s3", "s4")...)...))
	cfg.Discovery = agent.Addr().String()
	var lists listRecorder
	n, _ := startNode(t, cfg, lists.record)
	checkShares := func(failing ...string) {
		load(t, n, 20, 20) // so that the node learns the failure rates
		share := fleet.count()
		served := load(t, n, 20, 90)
		views, notes := share("view", failing...), share("note", failing...)
		if views > 0.35 || notes < 0.4 || served < 0.97 {
			t.Errorf("%v received %.2f of view and %.2f of note, want <= 0.35 and >= 0.4; %.3f served, want >= 0.97",
				failing, views, notes, served)
		}
	}
	checkShares("s3", "s4")
	agent.Set(false, testutil.CompleteList(append(healthy, fleet.serveAll(t, "s5", "s6")...)...))
	lists.untilListed(t, "s6")
	checkShares("s5", "s6")
}

// A server at which most attempts time out occupies a part of the node's concurrent requests in vain, and in a small
// fleet no server may be ejected. Its failure rate must keep requests away from it.
func TestServerWithManyTimeoutsGetsFewRequests(t *testing.T) {
	t.Parallel()
	fleet := newFaultyFleet()
	fleet.work, fleet.hangingUID = 400*time.Millisecond, "s4"
	cfg := testConfig(testutil.CompleteList(fleet.serveAll(t, "s1", "s2", "s3", "s4")...))
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].LatencyObjective = 900 * time.Millisecond
	}
	n, _ := startNode(t, cfg, nil)
	load(t, n, 24, 8)
	share := fleet.count()
	load(t, n, 24, 8)
	if views, notes := share("view", "s4"), share("note", "s4"); (views+notes)/2 > 0.1 {
		t.Errorf("got %.2f of view and %.2f of note at the server, want a mean of at most 0.1", views, notes)
	}
}

// If all servers alike leave some attempts unanswered, no server can be avoided. Below the first tier, attempts that
// may be retried then time out early while there is time for another one. Other attempts keep their full time.
func TestUnresponsiveAttemptsAreRetriedInTime(t *testing.T) {
	t.Parallel()
	fleet := newFaultyFleet()
	fleet.hangsOneIn = 5
	cfg := testConfig(testutil.CompleteList(fleet.serveAll(t, "s1", "s2", "s3", "s4")...))
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
	var served [2]int // of classes view and note
	for _, ofClient := range codes {
		for i, code := range ofClient {
			if code == http.StatusOK {
				served[i%2]++
			}
		}
	}
	views, notes := float64(served[0])/(clients*each), float64(served[1])/(clients*each)
	if views < 0.9 || notes < 0.99 {
		t.Errorf("got %.2f of view and %.2f of note served, want at least 0.9 and 0.99", views, notes)
	}
}

// Servers that failed all requests and have recovered get their share again within a few dozen responses.
func TestRecoveredServersAreUsedAgain(t *testing.T) {
	t.Parallel()
	fleet := newFaultyFleet("s2 view", "s2 note", "s4 view", "s4 note")
	n, _ := startNode(t, testConfig(testutil.CompleteList(fleet.serveAll(t, "s1", "s2", "s3", "s4")...)), nil)
	load(t, n, 20, 100)
	fleet.stopFailing()
	load(t, n, 2, 60)
	share := fleet.count()
	load(t, n, 2, 90)
	for _, uid := range []string{"s2", "s4"} {
		if got := share("note", uid); got < 0.1 {
			t.Errorf("%s received %.2f of note, want at least 0.1", uid, got)
		}
	}
}

// In overload every server rejects requests, and a fault of a shared dependency makes all of them fail alike. No server
// is ejected for that.
func TestServersThatFailAlikeAreNotEjected(t *testing.T) {
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
			fleet := newFaultyFleet(c.fails...)
			fleet.servedOneIn, fleet.capacity = c.servedOneIn, c.capacity
			testFleetThatFailsAlike(t, fleet)
		})
	}
}

func testFleetThatFailsAlike(t *testing.T, fleet *faultyFleet) {
	uids := []string{"s1", "s2", "s3", "s4"}
	n, _ := startNode(t, testConfig(testutil.CompleteList(fleet.serveAll(t, uids...)...)), nil)
	load(t, n, 6, 60)
	share := fleet.count()
	load(t, n, 6, 200)
	for _, uid := range uids {
		for _, class := range []string{"view", "note"} {
			if got := share(class, uid); got < 0.07 {
				t.Errorf("%s received %.2f of class %s, want at least 0.07", uid, got, class)
			}
		}
	}
}
