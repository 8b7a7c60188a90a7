package node

import (
	"testing"

	"basaltdrum/internal/testutil"
)

// dial opens a client's connection to a node.
func dial(t *testing.T, n *Node) *testutil.Client {
	t.Helper()
	return testutil.Dial(t, n.Addr())
}
