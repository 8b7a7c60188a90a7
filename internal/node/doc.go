// Package node is the load-balancing node on real sockets. It accepts HTTP/1.1 requests from clients, forwards
// them to the endpoints that discovery lists, and leaves every decision (which endpoint, retries, rejections) to the
// decision module, package balancer. The node carries the decisions out and makes none itself.
//
// # State and its owners
//
// The loop's goroutine owns the decision module (a *balancer.Balancer), the pending requests, the timers, the endpoint
// list and the counters of the traffic log line. Other goroutines reach that state only by posting events (events.go).
// The loop does no I/O except for writing the traffic line to the log. It answers a request by sending the response on
// the request's buffered channel.
//
// Package downstream owns the connections of clients and their share of the file descriptors. Package upstream owns
// the connections to endpoints, the part of the endpoint list that it needs, and the decision whether a request may
// still be written to an endpoint.
//
// The following state is shared between goroutines; it is atomic or guarded by a mutex, as its declaration says:
//
//   - Loop.rules and Loop.ready: set by the loop, read by the front end;
//   - Node: the fields that Reload changes.
//
// # Goroutines
//
// Node.Run starts the following goroutines, and returns only after they have ended:
//
//   - The loop ends when Run cancels its context, after all the others of this list.
//   - The discovery client (package discovery) ends when Run cancels its context, which aborts a call in progress.
//   - The goroutine that closes expired idle connections to endpoints ends with the same context.
//   - The HTTP server's accept loop ends when draining closes the listener. If accepting fails permanently, Run
//     returns the error.
//
// Run waits for the following goroutines too, unless the drain limit passes first:
//
//   - One goroutine of net/http for each client connection. It ends when the connection is closed; draining closes
//     each connection after its last response.
//
// Run does not wait for the following goroutines. They hold no state that outlives the process, and waiting for them
// would delay the shutdown of a node whose requests are all answered:
//
//   - One goroutine for each attempt. It ends with the attempt: by a response, an error, a cancellation or the
//     deadline. An attempt whose client has departed may still be in flight when all requests are answered.
//   - The goroutines that read connections to endpoints; see package upstream.
//
// Loop and the types in its methods are exported for the scale run (package fleet), which uses the loop without
// sockets to clients and endpoints.
package node
