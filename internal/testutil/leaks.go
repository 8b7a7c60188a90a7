package testutil

import (
	"fmt"
	"os"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// VerifyTestMain runs a package's tests, for its TestMain, and fails them if a goroutine outlives them. It looks
// again for as long as a busy machine may take to end goroutines whose work is over.
func VerifyTestMain(m *testing.M) {
	code := m.Run()
	if code == 0 {
		leaked := goleak.Find()
		for end := time.Now().Add(Timeout); leaked != nil && time.Now().Before(end); {
			leaked = goleak.Find()
		}
		if leaked != nil {
			fmt.Fprintln(os.Stderr, leaked)
			code = 1
		}
	}
	os.Exit(code)
}
