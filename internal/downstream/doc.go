// Package downstream has the node's side of its clients' connections, between net/http's server and the sockets. It
// knows neither the node nor its configuration.
//
// # What it owns
//
//   - Listener accepts connections, retries a failed accept, and can be drained without the loss of a request.
//   - Conn is one connection. It follows the framing of requests (package http1), watches for the client's departure
//     while a request is open (Departure), buffers what the client pipelines meanwhile (read-ahead), and limits the
//     time for reading a request.
//   - Conns is the set of all connections. It keeps them within their share of the process's descriptors: when there
//     are too many, it evicts those without an open request.
//
// # Who calls it
//
// The front end of package node. It gives net/http's server the Listener, and Conns.ConnStateChanged and NewContext as
// hooks. The server reads and writes through Conn; the front end's handler gets the Conn of its request by FromContext.
// Package node supplies the clock, the limits, the time-outs and the count of upstream connections.
//
// # Goroutines
//
// The package starts none. Accept runs in the server's goroutine; a Conn is used by the goroutine that the server has
// for it, and by the one in which the server reads in the background while a request is open: this is the departure
// watch. Both end when the connection is closed.
//
// # Locks
//
// Conns.mu guards the set, its counts, the budget of descriptors (descriptorBudget) and what each connection is doing
// (activity); Conn.mu guards the rest of a connection's state, with its read-ahead buffer (readAheadBuffer) and what
// is known of its client's departure (departureWatch). These types have no lock of their own: their comments say which
// one the caller holds.
//
// Conns.mu is taken before Conn.mu, never while Conn.mu is held. The function that counts upstream connections is
// called while Conns.mu is held: the upstream pool's lock is taken behind it, and the pool asks for UpstreamAllowance
// before it takes its own lock. Memory for read-ahead is counted by an atomic (readAheadBudget).
package downstream
