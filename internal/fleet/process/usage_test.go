package process

import (
	"os"
	"testing"
	"time"

	"basaltdrum/internal/testutil"
)

func TestUsageOf(t *testing.T) {
	before, err := UsageOf(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(testutil.Limit); ; {
		after, err := UsageOf(os.Getpid())
		if err != nil {
			t.Fatal(err)
		}
		if after.CPU >= before.CPU+50*time.Millisecond && after.RSS > 1<<20 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%+v, then %+v", before, after)
		}
	}
}
