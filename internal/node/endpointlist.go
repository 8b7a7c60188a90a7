package node

import (
	"balancer"
)

// useCachedList begins with the list that the node last had, unless a newer one has been heard. What the agent
// holds counts as told from a process's first moment: until it is known, or can't be had, no server may be
// sent to by an old list, and what callers ask for is held.
func (l *loop) useCachedList() {
	if !l.listKnown {
		l.applyList(l.cachedList, true)
	}
}

// takeList keeps where the servers listen, and passes the list on. A list that changes nothing, as after
// discovery has moved, is not passed on where lists are pushed: the module takes each list for a change
// and cuts its pool anew, so telling it of nothing would move requests and open connections for nothing.
func (l *loop) applyList(news endpointList, cached bool) {
	l.listKnown, l.cachedList = true, endpointList{}
	l.setStartTimes(news.entries)
	if !cached {
		defer l.bootClock.confirm()
	}
	if !cached && l.listsPushed && l.isUnchanged(news) {
		return
	}
	e := balancer.EndpointUpdate{Complete: news.complete, Cached: cached, Endpoints: l.applyEntries(news)}
	l.updateEndpoints(news.entries, news.complete)
	l.decide(l.clock.now(), e)
	l.ready.Store(l.readyServers > 0)
}

// convertBoots sets the clock time of each entry's start, as it was converted when its boot_ms was first seen.
func (l *loop) setStartTimes(targets []listEntry) {
	l.bootClock.observe()
	for i := range targets {
		t := &targets[i]
		held, isHeld := l.endpoints[t.ID]
		t.StartedAt = l.bootClock.startTime(t.bootMS, held, isHeld)
	}
}

// apply takes over the entries of a list, and returns them as the module is to be told of them.
func (l *loop) applyEntries(news endpointList) []balancer.Endpoint {
	if news.complete {
		clear(l.endpoints)
		l.readyServers = 0
	}
	servers := make([]balancer.Endpoint, len(news.entries))
	for i, t := range news.entries {
		servers[i] = t.Endpoint
		l.applyEntry(t)
	}
	return servers
}

// applyEntry takes over an entry of a list.
func (l *loop) applyEntry(t listEntry) {
	if old, ok := l.endpoints[t.ID]; ok && old.State == balancer.Ready {
		l.readyServers--
	}
	if t.State == balancer.Removed {
		delete(l.endpoints, t.ID)
		return
	}
	l.endpoints[t.ID] = t
	if t.State == balancer.Ready {
		l.readyServers++
	}
}

// holds says that a list tells nothing new.
func (l *loop) isUnchanged(news endpointList) bool {
	for _, t := range news.entries {
		if held, ok := l.endpoints[t.ID]; ok && held != t || !ok && t.State != balancer.Removed {
			return false
		}
	}
	return !news.complete || len(news.entries) == len(l.endpoints)
}
