package upstream

import (
	"slices"
	"time"

	"basaltdrum/internal/endpointlist"
)

// idleConns holds the idle connections of a pool by the instance to which they are open, in the order in which they
// became idle. It neither opens nor closes connections. The caller holds Pool.mu.
//
// An instance whose last idle connection was taken keeps its empty list, as that connection is usually put back. An
// empty list is deleted when a connection to the instance is removed.
type idleConns map[endpointlist.Instance][]*conn

// put adds a connection that has just become idle.
func (i idleConns) put(c *conn) {
	i[c.instance] = append(i[c.instance], c)
}

// take removes and returns the connection to an instance that became idle last, among those that may carry a request
// now. It returns nil if there is none.
func (i idleConns) take(instance endpointlist.Instance, now time.Duration) *conn {
	conns := i[instance]
	for index, c := range slices.Backward(conns) {
		if now >= c.reusableAt {
			i[instance] = slices.Delete(conns, index, index+1)
			return c
		}
	}
	return nil
}

// remove removes a closed connection, whether it was idle or in use.
func (i idleConns) remove(c *conn) {
	conns := i[c.instance]
	if index := slices.Index(conns, c); index >= 0 {
		i[c.instance] = slices.Delete(conns, index, index+1)
	}
	if len(i[c.instance]) == 0 {
		delete(i, c.instance)
	}
}

// newest returns the connection to an instance that became idle last, or nil if none is idle.
func (i idleConns) newest(instance endpointlist.Instance) *conn {
	conns := i[instance]
	if len(conns) == 0 {
		return nil
	}
	return conns[len(conns)-1]
}

// longestIdle returns the connection that has been idle the longest, or nil if none is idle.
func (i idleConns) longestIdle() *conn {
	var oldest *conn
	for _, conns := range i {
		if len(conns) > 0 && (oldest == nil || conns[0].idleSince < oldest.idleSince) {
			oldest = conns[0]
		}
	}
	return oldest
}

// expired returns the connections that have been idle for timeout or longer.
func (i idleConns) expired(now, timeout time.Duration) []*conn {
	var expired []*conn
	for _, conns := range i {
		for _, c := range conns {
			if now-c.idleSince < timeout {
				break
			}
			expired = append(expired, c)
		}
	}
	return expired
}

// count returns the number of connections.
func (i idleConns) count() int {
	total := 0
	for _, conns := range i {
		total += len(conns)
	}
	return total
}
