package testutil

import (
	"fmt"
	"os"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// VerifyTestMain runs a package's tests, for its TestMain, and fails them if a goroutine outlives them. It repeats the
// check for up to Timeout, as a busy machine may take a while to end goroutines that have finished their work.
func VerifyTestMain(m *testing.M) {
	code := m.Run()
	if code == 0 {
		leaked := goleak.Find()
		for deadline := time.Now().Add(Timeout); leaked != nil && time.Now().Before(deadline); {
			leaked = goleak.Find()
		}
		if leaked != nil {
			fmt.Fprintln(os.Stderr, leaked)
			code = 1
		}
	}
	os.Exit(code)
}
