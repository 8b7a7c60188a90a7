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

// endpointList is a response of the agent: the whole list, or the changes since a version (here always none).
type endpointList struct {
	Version  int         `json:"rev"`
	Complete bool        `json:"all"`
	Entries  []listEntry `json:"targets"`
}

// agent is a stand-in for the registry's agent on the node's machine. The node keeps a watch open: a request with the
// version that the node has. The agent responds to it with a newer list as soon as there is one, or with no changes
// after the hold time in the request.
type agent struct {
	address string
	http    *httpServer

	mu        sync.Mutex
	list      endpointList
	changed   chan struct{} // closed when the list changes
	confirmed chan struct{} // closed when a node has sent a request with the version of the list
}

// startAgent starts an agent whose list has a server in service at each address.
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

// close stops the agent and closes all watches.
func (a *agent) close() { a.http.close() }

// drain lists a server as terminating: it finishes the requests that it has and must not get new ones.
func (a *agent) drain(index int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	entries := append([]listEntry(nil), a.list.Entries...)
	entries[index].State = stateTerminating
	a.list = endpointList{Version: a.list.Version + 1, Complete: true, Entries: entries}
	close(a.changed)
	a.changed, a.confirmed = make(chan struct{}), make(chan struct{})
}

// awaitConfirmed waits until the node has the newest list, which the version in its next request shows.
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

// ServeHTTP responds to one request for the list.
func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	version, err := strconv.Atoi(query.Get("from"))
	if err != nil {
		version = -1 // no version: the request is for the whole list
	}
	holdMS, _ := strconv.Atoi(query.Get("hold_ms"))
	list := a.newerThan(r.Context(), version, time.Duration(holdMS)*time.Millisecond)
	_ = json.NewEncoder(w).Encode(list) // a node that has closed the connection needs no response
}

// newerThan returns the list as soon as its version differs from the given one, or an empty update after hold.
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

// confirm records that the node has the list. The caller must hold mu.
func (a *agent) confirm() {
	select {
	case <-a.confirmed:
	default:
		close(a.confirmed)
	}
}
