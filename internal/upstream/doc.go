// Package upstream is the node's side towards the endpoints: a Pool of persistent HTTP/1.1 connections, and the
// attempts that it carries out over them, from the dial to the response or the reason why there is none. It takes no
// decision: the caller says at which endpoint a request is attempted, until when, and whether it is attempted again.
//
// # State and its owner
//
// A Pool owns its connections and a copy of the endpoint list, as far as it needs it: which endpoints are ready, and in
// which instance. Pool.mu guards both, and the types that hold them (conn, idleConns, endpointTable) have no lock of
// their own. A Request owns the decision whether an attempt may begin for its client, under Request.mu; the first byte
// of an attempt and the client's departure are ordered by it. The node's loop calls UpdateEndpoints, an attempt's
// goroutine calls Do, the front end calls MarkDeparted, and whoever reads counts or changes timeouts may do so from any
// goroutine.
//
// Locks are taken in this order: the caller's own, Pool.mu, Request.mu. Callers may hold locks of theirs when they call
// Connections, Stats, Timeouts or SetTimeouts. No lock of this package is held while Pool.Allowance or Pool.Dial is
// called, or while a connection is read or written.
//
// # Goroutines
//
// Do runs in its caller's goroutine, and CloseExpired too; the caller waits for both. The package itself starts one
// reader for each connection. It ends when the connection is closed, by either side, and nobody waits for it: idle
// connections stay open until they expire or the process exits.
package upstream
