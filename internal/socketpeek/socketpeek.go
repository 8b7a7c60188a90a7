// Package socketpeek checks whether a socket is readable without reading from it (recv with MSG_PEEK). This is used to
// check an idle connection before its reuse, and to wait for input without holding a read buffer. The package starts no
// goroutine and has no state.
package socketpeek

import (
	"net"
	"syscall"
)

// recvFunc receives from a socket, as syscall.Recvfrom does.
type recvFunc func(fd int, p []byte, flags int) (int, syscall.Sockaddr, error)

// RawConn returns the raw connection of nc, or nil if it has none.
func RawConn(nc net.Conn) syscall.RawConn {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// IsFDReadable reports whether a socket has unread bytes, its peer has closed the connection, or it has failed: in all
// three cases a read does not block.
func IsFDReadable(fd uintptr) bool { return isReadableBy(syscall.Recvfrom, fd) }

// isReadableBy is IsFDReadable with a given recv. An interrupted call is repeated, as it gives no information about
// the socket: the runtime's poller is edge-triggered, so an event that is missed here is not reported again.
//
// The system call's error is compared without errors.Is, with which this function would be too long to be inlined, so
// that buf would be allocated at each call, several times for a request.
func isReadableBy(recv recvFunc, fd uintptr) bool {
	var buf [1]byte
	for {
		_, _, err := recv(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if err != syscall.EINTR { //nolint:errorlint // recv wraps no error, see above
			return err != syscall.EAGAIN //nolint:errorlint // the same
		}
	}
}

// AwaitReadable waits until a connection has bytes to read, has been closed by either side, or has failed.
func AwaitReadable(nc net.Conn) {
	if raw := RawConn(nc); raw != nil {
		_ = raw.Read(IsFDReadable) // The next read of the connection returns the same error.
	}
}

// IsReadable reports, without waiting, whether a connection has bytes to read, has been closed by either side, or has
// failed.
func IsReadable(nc net.Conn) bool {
	raw := RawConn(nc)
	if raw == nil {
		return false
	}
	var readable bool
	// Control and not Read, as the connection's reader holds the lock that Read takes.
	err := raw.Control(func(fd uintptr) { readable = IsFDReadable(fd) })
	return readable || err != nil
}
