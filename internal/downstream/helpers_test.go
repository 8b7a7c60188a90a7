package downstream

import (
	"io"
	"net"
	"testing"
	"time"

	"basaltdrum/internal/monotime"
	"basaltdrum/internal/testutil"
)

// testLimits are limits with a number of descriptors, and ten more for rejections.
func testLimits(descriptors int) Limits {
	return Limits{
		Descriptors: descriptors, UpstreamReserve: descriptors / 4, RejectReserve: 10, ReadAhead: 1 << 20,
		GracePeriods: DefaultGracePeriods(),
	}
}

// newTestConns returns an empty set with these limits, beside a number of upstream connections.
func newTestConns(limits Limits, upstream int) *Conns {
	return NewConns(monotime.New(), limits, func() int { return upstream })
}

// connPair returns a connection as the listener hands it to net/http, and its client's end.
func connPair(t *testing.T, conns *Conns, readTimeout time.Duration) (ours *Conn, theirs net.Conn) {
	t.Helper()
	theirs, accepted := testutil.ConnPairWithListener(t, func(ln net.Listener) net.Listener {
		return NewListener(ln, conns, readTimeout, testutil.DiscardLog())
	})
	return accepted.(*Conn), theirs
}

// readFull reports whether p could be filled.
func readFull(r io.Reader, p []byte) bool {
	_, err := io.ReadFull(r, p)
	return err == nil
}
