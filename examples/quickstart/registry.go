package main

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// States of an endpoint, as the registry names them.
const (
	stateInService   = "in_service"
	stateTerminating = "terminating"
)

// listEntry is one endpoint of the list that the agent serves.
type listEntry struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Cell     int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`
}

// endpointList is an answer of the agent: the whole list, or what changed since a version (here: nothing).
type endpointList struct {
	Version  int         `json:"rev"`
	Complete bool        `json:"all"`
	Entries  []listEntry `json:"targets"`
}

// agent is a stand-in for the registry's agent on the node's machine. The node keeps a watch open: a call with the
// version that it has, which is answered when there is a newer one, or empty after the time that the call allows.
type agent struct {
	address string
	http    *httpServer

	mu        sync.Mutex
	list      endpointList
	changed   chan struct{} // closed when the list changes
	confirmed chan struct{} // closed when a node has asked for what is newer than the list
}

// startAgent serves a list of servers that are all in service.
func startAgent(addresses [serverCount]string) (*agent, error) {
	a := &agent{changed: make(chan struct{}), confirmed: make(chan struct{})}
	a.list = endpointList{Version: 1, Complete: true}
	for i, address := range addresses {
		a.list.Entries = append(a.list.Entries, listEntry{
			UID: serverName(i), Endpoint: address, Zone: "north", State: stateInService, Capacity: 1,
		})
	}
	var err error
	a.http, err = startHTTP(a)
	if err != nil {
		return nil, err
	}
	a.address = a.http.address
	return a, nil
}

// close ends the agent, and with it all watches.
func (a *agent) close() { a.http.close() }

// drain lists a server as terminating: it finishes what it has and wants nothing new.
func (a *agent) drain(index int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	entries := append([]listEntry(nil), a.list.Entries...)
	entries[index].State = stateTerminating
	a.list = endpointList{Version: a.list.Version + 1, Complete: true, Entries: entries}
	close(a.changed)
	a.changed, a.confirmed = make(chan struct{}), make(chan struct{})
}

// awaitConfirmed waits until the node has the newest list. It shows that by its next call, which names the version.
func (a *agent) awaitConfirmed(ctx context.Context) error {
	a.mu.Lock()
	confirmed := a.confirmed
	a.mu.Unlock()
	select {
	case <-confirmed:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// ServeHTTP answers one call for the list.
func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	version, err := strconv.Atoi(query.Get("from"))
	if err != nil {
		version = -1 // the call has none: it asks for the whole list
	}
	holdMS, _ := strconv.Atoi(query.Get("hold_ms"))
	list := a.newerThan(r.Context(), version, time.Duration(holdMS)*time.Millisecond)
	_ = json.NewEncoder(w).Encode(list) // a node that has closed the connection needs no answer
}

// newerThan returns the list once it is newer than a version, or an empty update after hold.
func (a *agent) newerThan(ctx context.Context, version int, hold time.Duration) endpointList {
	a.mu.Lock()
	list, changed := a.list, a.changed
	if version == list.Version {
		a.confirm()
	}
	a.mu.Unlock()
	if version != list.Version {
		return list
	}
	timer := time.NewTimer(hold)
	defer timer.Stop()
	select {
	case <-changed:
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.list
	case <-timer.C:
	case <-ctx.Done():
	}
	return endpointList{Version: version, Entries: []listEntry{}}
}

// confirm notes that the node has the list. The caller holds mu.
func (a *agent) confirm() {
	select {
	case <-a.confirmed:
	default:
		close(a.confirmed)
	}
}
