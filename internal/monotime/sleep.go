package monotime

import (
	"context"
	"time"
)

// Sleep waits for a duration or until ctx ends, whichever comes first.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
