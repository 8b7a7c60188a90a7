// Unresponsive servers.

package balancer

// unresponsive says that an old call to the server is unanswered while a younger one was answered
// elsewhere: a machine gone quiet, hung or pausing shows nothing else until time-outs end.
func (b *Balancer) unresponsive(ep *endpoint) bool {
	if len(ep.attempts) == 0 {
		return false
	}
	a := ep.attempts[0]
	wait := a.request.class.slowLatency()
	return b.now-a.sent > wait && b.lastSuccess > a.sent+wait/2 && ep.lastSuccess < a.sent+wait/2
}
