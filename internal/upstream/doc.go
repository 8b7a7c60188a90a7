// Package upstream implements the node's side of its connections to the endpoints. A Pool holds persistent HTTP/1.1
// connections and makes attempts over them, from the dial to the response or the reason for its absence. It makes no
// decisions: the caller chooses the endpoint and the deadline of each attempt, and whether a request is retried.
//
// # State and locks
//
// A Pool owns its connections, and a copy of those parts of the endpoint list that it needs: which endpoints are ready,
// and the current instance of each. Pool.mu guards both. The types that hold them (conn, idleConns, endpointTable) have
// no lock of their own. A Request decides whether an attempt may start for its client, under Request.mu: this lock
// orders the first byte of an attempt and the client's departure. The node's loop calls UpdateEndpoints, an attempt's
// goroutine calls Do, and the front end calls MarkDeparted. Any goroutine may read counts or change timeouts.
//
// An attempt starts when the first byte of its request is about to be written, not when Do is called.
//
// Locks are taken in this order: the caller's own, Pool.mu, Request.mu or that of the request's membudget.Reservation.
// Callers may hold their own locks when they call Connections, Stats, Timeouts or SetTimeouts. No lock of this package
// is held while Pool.Allowance or Pool.Dial is called, or while a connection is read or written.
//
// # Goroutines
//
// Do and CloseExpired run in their caller's goroutine, and the caller waits for them. The package itself starts one
// reader per connection. It ends when either side closes the connection, and nothing waits for it: idle connections
// stay open until they expire or the process exits.
package upstream
