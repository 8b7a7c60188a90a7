package testutil

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
)

// RegistryAgent is discovery's agent: it answers watches with the list that was set last, or is unresponsive.
type RegistryAgent struct {
	net.Listener
	mu           sync.Mutex
	rev          int
	text         string
	unresponsive bool
	changed      chan struct{} // closed at each change

	Queries chan string // the query of each call, up to the channel's capacity
}

// NewRegistryAgent starts an agent that runs until the test ends.
func NewRegistryAgent(t *testing.T) *RegistryAgent {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &RegistryAgent{Listener: ln, rev: 1, changed: make(chan struct{}), Queries: make(chan string, 1000)}
	srv := &http.Server{Handler: a}
	go srv.Serve(ln)
	t.Cleanup(func() { srv.Close() })
	return a
}

// ServeHTTP answers a watch: at once if its list is newer than the one asked from, and else at the next change.
func (a *RegistryAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case a.Queries <- r.URL.RawQuery:
	default:
	}
	a.mu.Lock()
	text, unresponsive, changed := a.text, a.unresponsive, a.changed
	current := r.URL.Query().Get("from") == fmt.Sprint(a.rev)
	a.mu.Unlock()
	if unresponsive { // also once it is back, as a call that was lost
		<-r.Context().Done()
		return
	}
	if current {
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
		a.mu.Lock()
		text, unresponsive = a.text, a.unresponsive
		a.mu.Unlock()
		if unresponsive {
			<-r.Context().Done()
			return
		}
	}
	io.WriteString(w, text)
}

// Version returns the version of the agent's list.
func (a *RegistryAgent) Version() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.rev
}

// SetVersion has the agent count the versions of its list from another one on.
func (a *RegistryAgent) SetVersion(version int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rev = version
}

// Set makes the agent responsive or not, and sets its list unless the text is empty; the text may contain %d for
// its version.
func (a *RegistryAgent) Set(unresponsive bool, text string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unresponsive = unresponsive
	if text != "" {
		a.rev++
		a.text = strings.Replace(text, "%d", fmt.Sprint(a.rev), 1)
	}
	close(a.changed)
	a.changed = make(chan struct{})
}

// ListEntry is a server's entry in an endpoint list.
func ListEntry(uid, endpoint, state string) string {
	return fmt.Sprintf(`{"uid":%q,"endpoint":%q,"az":"a","model":"m","pod_group":0,"state":%q,`+
		`"capacity_hint":1,"boot_ms":0}`, uid, endpoint, state)
}

// StartedListEntry is the entry of a server in service that reports a start time, in Unix milliseconds.
func StartedListEntry(uid string, bootMS int64) string {
	return strings.Replace(
		ListEntry(uid, "127.0.0.1:1", "in_service"), `"boot_ms":0`, fmt.Sprintf(`"boot_ms":%d`, bootMS), 1)
}

// CompleteList is the text of a complete endpoint list, with %d for its version.
func CompleteList(entries ...string) string {
	return `{"rev":%d,"all":true,"targets":[` + strings.Join(entries, ",") + `]}`
}

// LongList is the text of a complete list of servers, each with the same note beside what a node reads.
func LongList(servers int, note string, indented bool) string {
	entries := make([]string, servers)
	for i := range entries {
		entries[i] = fmt.Sprintf(`{"uid":"s-%08x","endpoint":"10.1.%d.%d:7070","az":"zone-a","model":"m2","note":%q,`+
			`"pod_group":3,"state":"in_service","capacity_hint":1.0,"boot_ms":1800000000000}`, i, i/256, i%256, note)
	}
	text := strings.Replace(CompleteList(entries...), "%d", "7", 1)
	if indented {
		var b bytes.Buffer
		if err := json.Indent(&b, []byte(text), "", "        "); err != nil {
			panic(err)
		}
		text = b.String()
	}
	return text
}
