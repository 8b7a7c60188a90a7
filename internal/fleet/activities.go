package fleet

import (
	"context"
	"sync"
)

// activities are goroutines that end together: the first error of one of them cancels the others.
type activities struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	wg     sync.WaitGroup
}

func newActivities(parent context.Context) *activities {
	ctx, cancel := context.WithCancelCause(parent)
	return &activities{ctx: ctx, cancel: cancel}
}

// start runs one activity in a goroutine of its own.
func (a *activities) start(activity func(context.Context) error) {
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		if err := activity(a.ctx); err != nil {
			a.cancel(err)
		}
	}()
}

// wait waits until all activities have ended, and returns the first error or that of the parent context.
func (a *activities) wait() error {
	a.wg.Wait()
	return context.Cause(a.ctx)
}
