package testutil

import (
	"context"
	"net"
	"os"
	"sync/atomic"
)

// FailTimes returns a function that returns err for a number of calls, and nil from then on.
func FailTimes(err error, times int32) func() error {
	var left atomic.Int32
	left.Store(times)
	return func() error {
		if left.Add(-1) >= 0 {
			return err
		}
		return nil
	}
}

// DialError is the error that net.Dialer returns for a failed system call.
func DialError(call string, err error) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError(call, err)}
}

// FailingDialer fails its first dials with an error, lets the others through, and counts all of them.
type FailingDialer struct {
	Err      error
	Failures int32        // number of dials that fail
	Dials    atomic.Int32 // number of dials so far
}

// Dial is a netdial.Func.
func (f *FailingDialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if f.Dials.Add(1) <= f.Failures {
		return nil, f.Err
	}
	return (&net.Dialer{}).DialContext(ctx, network, address)
}

// HoldingDialer establishes connections but returns none before Release is closed. It ignores contexts, so that
// whatever happens to a request meanwhile is noticed only at the first byte.
type HoldingDialer struct {
	Dialed  chan struct{} // receives a value when a connection is established
	Release chan struct{} // to be closed by the test
}

// NewHoldingDialer returns a HoldingDialer whose Release is open.
func NewHoldingDialer() HoldingDialer {
	return HoldingDialer{Dialed: make(chan struct{}, 10), Release: make(chan struct{})}
}

// Dial is a netdial.Func.
func (h HoldingDialer) Dial(_ context.Context, network, address string) (net.Conn, error) {
	c, err := net.Dial(network, address)
	h.Dialed <- struct{}{}
	<-h.Release
	return c, err
}

// FailingListener fails to accept, as with a failed system call, for as long as Fail returns an error.
type FailingListener struct {
	*net.TCPListener
	Fail func() error
}

// Accept returns the error of Fail if there is one, and otherwise accepts the next connection.
func (l FailingListener) Accept() (net.Conn, error) {
	if err := l.Fail(); err != nil {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", err)}
	}
	return l.TCPListener.Accept()
}
