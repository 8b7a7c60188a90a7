package monotime

import (
	"context"
	"time"
)

// Sleep returns after a duration or when ctx ends, whichever is first.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
