package fleet

import (
	"context"
	"sync"
)

// activities are goroutines that end together: the first error of one of them ends the context of all.
type activities struct {
	cancel context.CancelCauseFunc
	cause  func() error // why their context has ended; nil while it has not
	wg     sync.WaitGroup
}

// newActivities returns no activities yet, and the context that they are to run in.
func newActivities(parent context.Context) (*activities, context.Context) {
	ctx, cancel := context.WithCancelCause(parent)
	return &activities{cancel: cancel, cause: func() error { return context.Cause(ctx) }}, ctx
}

// start runs one activity in a goroutine of its own. It must return once the context ends.
func (a *activities) start(activity func() error) {
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		if err := activity(); err != nil {
			a.cancel(err)
		}
	}()
}

// wait waits until all activities have ended, and returns the first error or that of the parent context.
func (a *activities) wait() error {
	a.wg.Wait()
	return a.cause()
}
