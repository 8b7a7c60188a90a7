package membudget

import (
	"testing"

	"basaltdrum/internal/testutil"
)

// TestMain fails the package's tests if a goroutine outlives them.
func TestMain(m *testing.M) { testutil.VerifyTestMain(m) }
