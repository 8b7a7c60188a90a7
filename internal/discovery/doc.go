// Package discovery is the client of the registry. It watches the endpoint list, that is, it sends one HTTP long poll
// after another for the changes since a version, and passes each update to a Handler.
//
// There are two modes. Where lists are pushed, an agent on the node's machine serves the polls, and each poll follows
// the previous one without a delay. Where the registry itself is polled, the watch ends with the first poll that fails,
// and the user of the package decides when it starts again: it calls Subscribe at first and after each failure. A poll
// that takes too long counts as failed, but stays under way beside the next one (polledWatch).
//
// The package owns the watched address, the version of the list last received from it and the connections to it. It
// stores no endpoint list. The node creates one Client, calls Run in a goroutine of its own and waits for it to return;
// SetAddress and Subscribe may be called from any goroutine.
//
// Run starts these goroutines, and otherwise works in its caller's:
//
//   - Where the registry is polled, one for each call, two at most. Run waits for them before it returns.
//   - A health check of the agent during a poll that may be lost. Run waits for it before it polls again.
//   - A timer that calls Handler.AgentUnresponsive once. Run stops the timer when it returns, but does not wait for a
//     call in progress.
//
// The Handler is called from Run's goroutine, where it delays the next poll while it blocks, and by the timer.
package discovery
