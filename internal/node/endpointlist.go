package node

import (
	"basaltdrum/balancer"
	"basaltdrum/internal/endpointlist"
)

// This file keeps the endpoint list as the loop holds it: the entries by uid, how many of them are ready, and the
// cached list that stands in until discovery has been heard. The list itself is parsed in listparser.go.

// useCachedList starts with the list that the node last had, unless a newer one has been applied. The agent's
// list is binding from the first moment of the process. So until that list has come, or discovery counts as
// unresponsive, no request is sent by the cached list, and the module queues what clients send.
func (l *loop) useCachedList() {
	if !l.listKnown {
		l.applyList(l.cachedList, true)
	}
}

// applyList takes over a list, or changes to it, and passes it to the upstream pool and to the module. Where
// lists are pushed, one that changes nothing, as it comes after discovery has moved to another address, is not
// passed on: the module treats every list as a change and selects its subset anew, which would move requests
// and open connections without need.
func (l *loop) applyList(update endpointlist.List, cached bool) {
	l.listKnown, l.cachedList = true, endpointlist.List{}
	l.setStartTimes(update.Entries)
	if !cached {
		defer l.bootClock.confirm()
	}
	if !cached && l.listsPushed && l.isUnchanged(update) {
		return
	}
	e := balancer.EndpointUpdate{Complete: update.Complete, Cached: cached, Endpoints: l.applyEntries(update)}
	l.updateEndpoints(update.Entries, update.Complete)
	l.decide(l.clock.Now(), e)
	l.ready.Store(l.readyServers > 0)
}

// setStartTimes sets the clock time of each entry's start. An entry that is already held keeps the time that was
// worked out when its boot_ms was first seen.
func (l *loop) setStartTimes(entries []endpointlist.Entry) {
	l.bootClock.observe()
	for i := range entries {
		entry := &entries[i]
		held, isHeld := l.endpoints[entry.ID]
		entry.StartedAt = l.bootClock.startTime(entry.BootMS, held, isHeld)
	}
}

// applyEntries takes over the entries of a list and returns them in the module's form.
func (l *loop) applyEntries(update endpointlist.List) []balancer.Endpoint {
	if update.Complete {
		clear(l.endpoints)
		l.readyServers = 0
	}
	endpoints := make([]balancer.Endpoint, len(update.Entries))
	for i, entry := range update.Entries {
		endpoints[i] = entry.Endpoint
		l.applyEntry(entry)
	}
	return endpoints
}

// applyEntry takes over one entry and keeps the count of ready endpoints.
func (l *loop) applyEntry(entry endpointlist.Entry) {
	if old, listed := l.endpoints[entry.ID]; listed && old.State == balancer.Ready {
		l.readyServers--
	}
	if entry.State == balancer.Removed {
		delete(l.endpoints, entry.ID)
		return
	}
	l.endpoints[entry.ID] = entry
	if entry.State == balancer.Ready {
		l.readyServers++
	}
}

// isUnchanged reports whether applying a list would change nothing.
func (l *loop) isUnchanged(update endpointlist.List) bool {
	for _, entry := range update.Entries {
		held, isHeld := l.endpoints[entry.ID]
		if isHeld && held != entry || !isHeld && entry.State != balancer.Removed {
			return false
		}
	}
	return !update.Complete || len(update.Entries) == len(l.endpoints)
}
