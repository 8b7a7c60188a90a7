// Package balancer decides where a load balancer sends each request, when it retries and when it gives up.
// It does no I/O: the host feeds events to a Balancer and carries out the actions that it returns.
//
// A Balancer belongs to one goroutine. Its only clock is the time given to Handle, which must never go back,
// and its only randomness is the seed given to New, so the same events always give the same actions.
// Balancers share nothing. Memory is held for each request until it is answered and its attempts have ended,
// and for each endpoint until it has left the list and its attempts have ended.
package balancer
