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

// RegistryAgent is a stand-in for discovery's agent. It answers watches with the list that was set last, or leaves them
// unanswered while it is unresponsive.
type RegistryAgent struct {
	net.Listener
	mu           sync.Mutex
	listVersion  int
	list         string // JSON; empty until the first Set with a list
	unresponsive bool
	changed      chan struct{} // closed and replaced by each Set

	Queries chan string // receives the query of each request; queries are dropped while the channel is full
}

// NewRegistryAgent starts an agent that runs until the test ends.
func NewRegistryAgent(t *testing.T) *RegistryAgent {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &RegistryAgent{Listener: ln, listVersion: 1, changed: make(chan struct{}), Queries: make(chan string, 1000)}
	srv := &http.Server{Handler: a}
	go srv.Serve(ln)
	t.Cleanup(func() { srv.Close() })
	return a
}

// ServeHTTP answers a watch: at the next Set if the client has the current version, and immediately otherwise.
func (a *RegistryAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case a.Queries <- r.URL.RawQuery:
	default:
	}
	a.mu.Lock()
	list, unresponsive, changed := a.list, a.unresponsive, a.changed
	current := r.URL.Query().Get("from") == fmt.Sprint(a.listVersion)
	a.mu.Unlock()
	if unresponsive { // stays unanswered even once the agent responds again, like a lost request
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
		list, unresponsive = a.list, a.unresponsive
		a.mu.Unlock()
		if unresponsive {
			<-r.Context().Done()
			return
		}
	}
	io.WriteString(w, list)
}

// Version returns the version of the agent's list.
func (a *RegistryAgent) Version() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.listVersion
}

// SetVersion sets the version of the agent's list. Each further list gets the next version.
func (a *RegistryAgent) SetVersion(version int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.listVersion = version
}

// Set makes the agent unresponsive or responsive. Unless list is empty, the agent serves it from now on, under the next
// version, which replaces a %d in it.
func (a *RegistryAgent) Set(unresponsive bool, list string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unresponsive = unresponsive
	if list != "" {
		a.listVersion++
		a.list = strings.Replace(list, "%d", fmt.Sprint(a.listVersion), 1)
	}
	close(a.changed)
	a.changed = make(chan struct{})
}

// ListEntry returns a server's entry in an endpoint list.
func ListEntry(uid, endpoint, state string) string {
	return fmt.Sprintf(`{"uid":%q,"endpoint":%q,"az":"a","model":"m","pod_group":0,"state":%q,`+
		`"capacity_hint":1,"boot_ms":0}`, uid, endpoint, state)
}

// StartedListEntry returns the entry of a server in service that reports a start time, in Unix milliseconds.
func StartedListEntry(uid string, bootMS int64) string {
	return strings.Replace(
		ListEntry(uid, "127.0.0.1:1", "in_service"), `"boot_ms":0`, fmt.Sprintf(`"boot_ms":%d`, bootMS), 1)
}

// CompleteList returns a complete endpoint list in JSON, with %d in place of its version.
func CompleteList(entries ...string) string {
	return `{"rev":%d,"all":true,"targets":[` + strings.Join(entries, ",") + `]}`
}

// LongList returns a complete endpoint list in JSON. Each entry also has the note, under a key that nodes ignore.
func LongList(servers int, note string, indented bool) string {
	entries := make([]string, servers)
	for i := range entries {
		entries[i] = fmt.Sprintf(`{"uid":"s-%08x","endpoint":"10.1.%d.%d:7070","az":"zone-a","model":"m2","note":%q,`+
			`"pod_group":3,"state":"in_service","capacity_hint":1.0,"boot_ms":1800000000000}`, i, i/256, i%256, note)
	}
	text := strings.Replace(CompleteList(entries...), "%d", "7", 1)
	if indented {
		var formatted bytes.Buffer
		if err := json.Indent(&formatted, []byte(text), "", "        "); err != nil {
			panic(err)
		}
		text = formatted.String()
	}
	return text
}
