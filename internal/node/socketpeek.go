package node

import (
	"net"
	"syscall"
)

// rawConn is the connection below the runtime's, or nil if there is none.
func rawConn(nc net.Conn) syscall.RawConn {
	if sc, ok := nc.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			return raw
		}
	}
	return nil
}

// peek looks into the kernel's buffer of a connection: whether its other side has said something that
// was not read yet, or has closed.
func hasUnread(fd uintptr) bool { return hasUnreadBy(syscall.Recvfrom, fd) }

// peekBy is peek by a given recvfrom. An interrupted call says nothing of the connection and is made again:
// the runtime's poller tells of a change only once, so that what is missed here would be waited for in vain.
func hasUnreadBy(recv func(fd int, p []byte, flags int) (int, syscall.Sockaddr, error), fd uintptr) bool {
	var one [1]byte
	for {
		_, _, err := recv(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if err != syscall.EINTR {
			return err != syscall.EAGAIN
		}
	}
}

// awaitBytes waits until a connection has bytes to read, has been closed by either side, or has failed.
func awaitReadable(nc net.Conn) {
	if raw := rawConn(nc); raw != nil {
		raw.Read(hasUnread) // an error shows at the next read
	}
}

// spokenOrClosed asks the same without waiting.
func hasUnreadOrClosed(nc net.Conn) (is bool) {
	raw := rawConn(nc)
	if raw == nil {
		return false
	}
	// Control and not Read: the connection's reader holds the lock that Read takes.
	err := raw.Control(func(fd uintptr) { is = hasUnread(fd) })
	return is || err != nil
}
