package downstream

import (
	"io"
	"net"
	"testing"
	"time"

	"basaltdrum/internal/monotime"
	"basaltdrum/internal/testutil"
)

// testLimits returns limits with a number of descriptors, and ten more for rejections.
func testLimits(descriptors int) Limits {
	return Limits{
		Descriptors: descriptors, UpstreamReserve: descriptors / 4, RejectReserve: 10, ReadAhead: 1 << 20,
		GracePeriods: DefaultGracePeriods(),
	}
}

// newTestConns returns an empty set with the given limits and number of upstream connections.
func newTestConns(limits Limits, upstream int) *Conns {
	return NewConns(monotime.New(), limits, func() int { return upstream })
}

// connPair returns a connection as Listener returns it to net/http, and the client's end of it.
func connPair(t *testing.T, conns *Conns, readTimeout time.Duration) (conn *Conn, client net.Conn) {
	t.Helper()
	client, accepted := testutil.ConnPairWithListener(t, func(ln net.Listener) net.Listener {
		return NewListener(ln, conns, readTimeout, testutil.DiscardLog())
	})
	return accepted.(*Conn), client
}

// readFull fills p from r, and reports whether it succeeded.
func readFull(r io.Reader, p []byte) bool {
	_, err := io.ReadFull(r, p)
	return err == nil
}
