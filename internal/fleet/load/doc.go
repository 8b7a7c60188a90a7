// Package load is the client side of a scale run: a client that makes calls as PROTOCOL has them, arrivals drawn from
// a Poisson process, and a generator that makes open-loop calls at some addresses and measures them.
//
// A Client owns its connections, which Close ends. Generator.Play starts a goroutine for each address and one for each
// call, and waits for all of them. Stand-in servers use the client for their own calls, hollow nodes the arrivals, and
// package fleet all of it.
package load
