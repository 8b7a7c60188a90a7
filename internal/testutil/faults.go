package testutil

import (
	"context"
	"net"
	"os"
	"sync/atomic"
)

// FailTimes returns an error a number of times, and then none.
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

// FailingDialer fails its first dials with an error and lets the others through. It counts all of them.
type FailingDialer struct {
	Err      error
	Failures int32 // how many fail
	Dials    atomic.Int32
}

// Dial is a netdial.Func.
func (f *FailingDialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if f.Dials.Add(1) <= f.Failures {
		return nil, f.Err
	}
	return (&net.Dialer{}).DialContext(ctx, network, address)
}

// HoldingDialer hold each connection back once it is established, until they are released. They ignore their contexts,
// so that whatever happens meanwhile is noticed at the first byte only.
type HoldingDialer struct {
	Dialed  chan struct{} // receives one for each connection
	Release chan struct{} // to be closed
}

// NewHoldingDialer returns dials that hold connections back.
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

// FailingListener fails accepts as the system would, for as long as Fail returns an error.
type FailingListener struct {
	*net.TCPListener
	Fail func() error
}

// Accept fails, or accepts the next connection.
func (l FailingListener) Accept() (net.Conn, error) {
	if err := l.Fail(); err != nil {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", err)}
	}
	return l.TCPListener.Accept()
}
