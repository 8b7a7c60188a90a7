package testutil

import (
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
