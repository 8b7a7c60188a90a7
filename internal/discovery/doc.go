// Package discovery is the client of the registry: it follows the endpoint list by watches, which are HTTP long
// polls for what is newer than a version, and passes each update to a Handler.
//
// Lists come in one of two ways. Where they are pushed, an agent on the node's machine serves the watches, and one
// poll follows the other without a pause. Where the registry itself is polled, the Handler's side paces the polls: it
// subscribes, and subscribes again after each failure.
//
// The package owns the address that is watched, the version of the list that was received from it and the
// connections to it. It holds no endpoint list, and knows nothing of what becomes of one. The node makes one Client,
// calls Run in a goroutine of its own and waits for it; SetAddress and Subscribe may be called from any goroutine.
//
// Run polls in its caller's goroutine and starts these:
//
//   - One health check of the agent beside a poll that may be lost. Run waits for it before it polls again.
//   - A timer that reports once that the agent has not answered since the start. Run stops it; a report that has
//     begun by then is not waited for.
//
// The Handler is called from these goroutines, and delays the next poll while it blocks.
package discovery
