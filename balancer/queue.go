package balancer

import "slices"

// requestQueue holds the requests that wait for capacity, in order of arrival.
type requestQueue struct{ waiting []*request }

// len returns how many requests wait.
func (q *requestQueue) len() int { return len(q.waiting) }

// add adds a request, unless it waits already.
func (q *requestQueue) add(req *request) {
	if !req.queued {
		req.queued = true
		q.waiting = append(q.waiting, req)
	}
}

// remove removes a request, if it waits.
func (q *requestQueue) remove(req *request) {
	req.queued = false
	q.waiting = slices.DeleteFunc(q.waiting, func(queued *request) bool { return queued == req })
}

// all returns the requests that wait, in a slice of its own.
func (q *requestQueue) all() []*request { return slices.Clone(q.waiting) }

// highestPriority returns the request with the highest priority; of equal ones the youngest, which has
// the most time left.
func (q *requestQueue) highestPriority(priority func(*request) float64) *request {
	best := q.waiting[0]
	for _, req := range q.waiting[1:] {
		if priority(req) >= priority(best) {
			best = req
		}
	}
	return best
}
