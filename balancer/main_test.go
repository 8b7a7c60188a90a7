package balancer

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails the package's tests if a goroutine is still running after them.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
