package lab

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// maxHold is the longest time that a watch may wait.
const maxHold = time.Minute

// Entry is an entry of the list of servers.
type Entry struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Cell     int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`
}

// List is the list of servers, or the changed entries of it, in discovery's form.
type List struct {
	Rev     int64   `json:"rev"`
	All     bool    `json:"all"`
	Targets []Entry `json:"targets"`
}

// Discovery is a stand-in for discovery: the agent on a node's machine, or the registry that nodes ask.
type Discovery struct {
	Address string

	c    *Case
	wait time.Duration // that each call waits in turn

	mu      sync.Mutex // guards the fields below
	rev     int64
	entries map[string]Entry
	changed map[string]int64 // the version in which an entry changed last
	order   []string
	news    chan struct{} // closed and replaced by each change
}

// StartDiscovery starts discovery with a list. Each call waits in turn for the given time before it is looked at.
func (c *Case) StartDiscovery(entries []Entry, wait time.Duration) (*Discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{
		Address: ln.Addr().String(), c: c, wait: wait, rev: 1, entries: map[string]Entry{},
		changed: map[string]int64{}, news: make(chan struct{}),
	}
	for _, e := range entries {
		d.entries[e.UID], d.changed[e.UID] = e, 1
		d.order = append(d.order, e.UID)
	}
	server := &http.Server{Handler: d}
	c.Defer(func() { _ = server.Close() })
	go func() { _ = server.Serve(ln) }()
	return d, nil
}

// ReadyEntries returns an entry in service for each server.
func ReadyEntries(servers []*Server) (entries []Entry) {
	for _, s := range servers {
		entries = append(entries, Entry{
			UID: s.UID, Endpoint: s.Address, Zone: s.Zone, Model: "m1", State: "in_service", Capacity: 1,
		})
	}
	return entries
}

// SetState changes the state of a server, and returns when discovery had the change.
func (d *Discovery) SetState(uid, state string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entries[uid]
	e.State = state
	d.rev++
	d.entries[uid], d.changed[uid] = e, d.rev
	close(d.news)
	d.news = make(chan struct{})
	d.c.Note("discovery: %s is %s in version %d", uid, state, d.rev)
	return time.Now()
}

// Known returns the present list, for the `known` of a configuration.
func (d *Discovery) Known() List { return d.list(0) }

// list returns the complete list for from 0, or the entries that have changed since that version.
func (d *Discovery) list(from int64) List {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := List{Rev: d.rev, All: from == 0, Targets: []Entry{}}
	for _, uid := range d.order {
		if d.changed[uid] > from && !(l.All && d.entries[uid].State == "terminated") {
			l.Targets = append(l.Targets, d.entries[uid])
		}
	}
	return l
}

// ServeHTTP answers a call for the list or a watch.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case <-time.After(d.wait):
	case <-r.Context().Done():
		d.c.Note("discovery: the caller gave up %q", r.URL.RawQuery)
		return
	}
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	hold, _ := strconv.ParseInt(r.URL.Query().Get("hold_ms"), 10, 64)
	end := time.After(min(time.Duration(hold)*time.Millisecond, maxHold))
	for waiting := from > 0; waiting; {
		d.mu.Lock()
		news, current := d.news, d.rev
		d.mu.Unlock()
		if current > from {
			break
		}
		select {
		case <-news:
		case <-end:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	l := d.list(from)
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(l); err == nil {
		d.c.Note("discovery: answered %q with version %d, %d entries", r.URL.RawQuery, l.Rev, len(l.Targets))
	}
}
