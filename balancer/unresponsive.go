// Unresponsive endpoints: suspicion by comparison with the others, long before a timeout.

package balancer

// isUnresponsive says that an old attempt at the endpoint is unanswered while the endpoint has answered no
// later one and another endpoint has: a machine that hangs, pauses or has lost its network shows nothing else
// until its attempts time out.
func (b *Balancer) isUnresponsive(ep *endpoint) bool {
	if len(ep.attempts) == 0 {
		return false
	}
	oldest := ep.attempts[0]
	wait := oldest.request.class.latency.Slow()
	recent := oldest.sent + wait/2
	return b.now-oldest.sent > wait && b.lastSuccess > recent && ep.lastSuccess < recent
}
