package balancer

import "slices"

// requestQueue holds the requests that wait for capacity, in order of arrival.
type requestQueue struct{ waiting []*request }

// len returns the number of waiting requests.
func (q *requestQueue) len() int { return len(q.waiting) }

// add adds a request unless it is already queued.
func (q *requestQueue) add(req *request) {
	if !req.queued {
		req.queued = true
		q.waiting = append(q.waiting, req)
	}
}

// remove removes a request if it is queued.
func (q *requestQueue) remove(req *request) {
	req.queued = false
	q.waiting = slices.DeleteFunc(q.waiting, func(queued *request) bool { return queued == req })
}

// all returns a copy of the queue.
func (q *requestQueue) all() []*request { return slices.Clone(q.waiting) }

// highestPriority returns the request with the highest priority, and among equals the one that arrived last,
// which has the most time left.
func (q *requestQueue) highestPriority(priority func(*request) float64) *request {
	best := q.waiting[0]
	for _, req := range q.waiting[1:] {
		if priority(req) >= priority(best) {
			best = req
		}
	}
	return best
}
