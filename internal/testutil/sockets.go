package testutil

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// ClosedPort returns an address that refuses connections for as long as the test runs: its socket is bound, so that no
// other process gets the port, but does not listen.
func ClosedPort(t *testing.T) string {
	t.Helper()
	_, address := BoundSocket(t)
	return address
}

// BoundSocket returns a socket that is bound to a free loopback port until the test ends.
func BoundSocket(t *testing.T) (fd int, address string) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fd, fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
}

// UnreachableAddress returns an address to which no connection is ever established, as if the machine were down.
func UnreachableAddress(t *testing.T) string {
	t.Helper()
	fd, addr := BoundSocket(t)
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	for { // until the queue of connections waiting to be accepted is full
		c, err := net.DialTimeout("tcp", addr, 300*time.Millisecond)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { c.Close() })
	}
}

// ConnPair returns the two ends of a connection over loopback.
func ConnPair(t *testing.T) (dialed, accepted net.Conn) {
	t.Helper()
	return ConnPairWithListener(t, func(ln net.Listener) net.Listener { return ln })
}

// ConnPairWithListener is like ConnPair, but accepts the connection from the listener that wrap returns.
func ConnPairWithListener(t *testing.T, wrap func(net.Listener) net.Listener) (dialed, accepted net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if dialed, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dialed.Close() })
	if accepted, err = wrap(ln).Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	return dialed, accepted
}

// ExpectClosed waits for the other side to close a connection, and fails the test if a byte is received before that or
// the read times out.
func ExpectClosed(t *testing.T, r io.Reader, what string) {
	t.Helper()
	n, err := r.Read(make([]byte, 1))
	if n != 0 || err == nil {
		t.Fatalf("%s: received data, want the connection to be closed", what)
	}
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		t.Fatalf("%s: got %v, want the connection to be closed", what, err)
	}
}
