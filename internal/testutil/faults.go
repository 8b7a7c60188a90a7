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
