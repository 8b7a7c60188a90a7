// Package load is the client side of a scale run: a client that makes calls in the format of the operators' protocol,
// Poisson arrivals, and a generator that makes open-loop calls to a set of addresses and measures them.
//
// A Client owns its connections; Close closes the idle ones. Generator.RunRound starts a goroutine for each address and
// one for each call, and waits for all of them. Stand-in servers use the client for their own calls, hollow nodes use
// the arrivals, and package fleet uses all of the package.
package load
