package downstream

import (
	"io"
	"net"
	"testing"
	"time"

	"basaltdrum/internal/testutil"
)

// testLimits are limits on downstream connections, with a number of descriptors beside ten for rejections.
func testLimits(descriptors int) Limits {
	return Limits{
		Descriptors: descriptors, UpstreamReserve: descriptors / 4, RejectReserve: 10, ReadAhead: 1 << 20,
		GracePeriods: DefaultGracePeriods(),
	}
}

// downstreamPair returns a downstream connection as the node's listener hands it to net/http, and its client's
// end.
func downstreamPair(t *testing.T, conns *Conns, readTimeout time.Duration) (ours *Conn, theirs net.Conn) {
	t.Helper()
	theirs, accepted := testutil.ConnPairBy(t, func(ln net.Listener) net.Listener {
		return NewListener(ln, conns, readTimeout, testutil.DiscardLog())
	})
	return accepted.(*Conn), theirs
}

func readsAll(r io.Reader, p []byte) bool {
	_, err := io.ReadFull(r, p)
	return err == nil
}
