// Package node is the load-balancing node on real sockets. It accepts HTTP/1.1 requests from clients, forwards
// them to the endpoints that discovery lists, and takes every decision (which endpoint, retries, rejections) from
// the decision module, package balancer. The node carries the decisions out and makes none itself.
//
// # State and its owners
//
// The loop's goroutine owns the module (a *balancer.Balancer) and all that goes with it: the pending requests, the
// timers, the endpoint list and the figures of the traffic line. Other goroutines reach it only by posting events
// (events.go). It never waits for I/O, and it answers a request by a send on that request's buffered channel.
//
// Package downstream owns the clients' connections, with their part of the descriptors. Package upstream owns the
// connections to endpoints, the list as far as it needs it, and whether an attempt may begin for a request.
//
// The following state is shared, and guarded by a mutex or atomic where it stands:
//
//   - Loop.rules and Loop.ready: set by the loop, read by the front end;
//   - Node: what Reload changes.
//
// # Goroutines
//
// Node.Run starts the first four kinds, and it has waited for all of these when it returns:
//
//   - The loop ends when Run cancels its context, after all the others of this list.
//   - Discovery's client (package discovery) ends when Run cancels its context; a call that is open is aborted by
//     that.
//   - The sweep that closes expired idle connections to endpoints ends with the same context.
//   - The HTTP server's accept loop ends when the listener is closed, by draining. If accepting fails for good, Run
//     returns its error.
//
// Run waits for the following in the ordinary case, and not if the drain limit passes first:
//
//   - One goroutine of net/http for each client's connection. It ends when the connection is closed; draining
//     closes each one behind its last answer.
//
// Run does not wait for the following. They hold no state that outlives the process, and waiting for them would
// delay the end of a node whose requests are all answered:
//
//   - One goroutine for each attempt ends with the attempt: by an answer, an error, its cancellation or its
//     deadline. An attempt whose client has departed may still be in flight when all requests are answered.
//   - The readers of connections to endpoints; see package upstream.
//
// Loop, with the names that it takes and returns, is exported for the scale run (package fleet), which runs it without
// sockets to clients and endpoints.
package node
