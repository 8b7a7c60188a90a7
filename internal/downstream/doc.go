// Package downstream implements the client side of the node: the connections from clients, between net/http's server
// and the sockets. It does not depend on the node or its configuration.
//
// # Types
//
//   - Listener accepts connections, retries a failed accept, and can be drained without losing a request.
//   - Conn is one connection. It follows the framing of requests (package http1), watches for the client's departure
//     while a request is open (Departure), buffers what the client pipelines meanwhile (read-ahead), and limits the
//     time for reading a request.
//   - Conns is the set of all connections. It keeps them within their share of the process's file descriptors: when
//     there are too many, it evicts connections without an open request.
//
// # Callers
//
// The front end of package node passes the Listener to net/http's server, and installs Conns.ConnStateChanged and
// NewContext as its hooks. The server reads and writes through Conn; the front end's handler gets the Conn of its
// request from FromContext. Package node supplies the clock, the limits, the timeouts and the number of upstream
// connections.
//
// # Goroutines
//
// The package starts no goroutine. Accept runs in the server's goroutine. A Conn is used by the goroutine that the
// server runs for it, and by the one in which the server reads in the background while a request is open: this read is
// the departure watch. Both goroutines end when the connection is closed, also while it lingers (CloseWrite).
//
// # Locks
//
// Conns.mu guards the set, its counts, the budget of descriptors (descriptorBudget) and the activity of each
// connection (activity). Conn.mu guards the rest of a connection's state, including its read-ahead buffer
// (readAheadBuffer), its read deadline (readDeadline) and the departure watch of its open request (departureWatch).
// These types have no lock of their own: their comments name the lock that the caller holds.
//
// Conns.mu is locked before Conn.mu, never while Conn.mu is held. The function that counts upstream connections is
// called while Conns.mu is held, and locks the upstream pool. The pool therefore calls UpstreamAllowance before it
// takes its own lock. The memory for read-ahead is counted atomically (readAheadBudget).
package downstream
