package downstream

import "time"

const (
	// maxQueueAge is how long connections may have been in the accept queue while the listener waits for a descriptor.
	// The time that a client has left is counted from when the node reads its request.
	maxQueueAge = 100 * time.Millisecond

	// descriptorCheckInterval is the time between two checks whether other connections may be evicted by now.
	descriptorCheckInterval = 5 * time.Millisecond

	// minBlockedAccept is the duration of an accept from which on it has waited for a connection: the accept queue was
	// empty.
	minBlockedAccept = 200 * time.Microsecond
)

// observeAccept records when the accept queue was empty, given the clock time at which the last accept started.
func (l *Listener) observeAccept(started time.Duration) {
	if now := l.conns.clock.Now(); now-started >= minBlockedAccept {
		l.queueEmptyAt = now
	}
}

// awaitDescriptor waits until there is a descriptor for another connection, while no connection in the accept queue can
// be older than maxQueueAge. Most of the time, one of the present connections closes or may be evicted soon. If the new
// one were closed unread at once, its client might meet the same on the next one, and the clients that take up the
// descriptors would connect again as fast as they are closed.
func (l *Listener) awaitDescriptor() {
	delayed := false
	for !l.conns.hasDescriptor() && !isClosed(l.draining) && !isClosed(l.closed) {
		if l.conns.clock.Now()-l.queueEmptyAt >= maxQueueAge {
			break
		}
		delayed = true
		l.awaitClose()
	}
	if delayed {
		l.conns.countDelayedAccept()
	}
}

// awaitClose waits until a connection is closed, for descriptorCheckInterval at most.
func (l *Listener) awaitClose() {
	timer := time.NewTimer(descriptorCheckInterval)
	defer timer.Stop()
	select {
	case <-l.conns.descriptorFreed:
	case <-timer.C:
	case <-l.draining:
	case <-l.closed:
	}
}
