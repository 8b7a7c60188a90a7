package fleet

import (
	"context"
	"sync"
)

// activities is a group of goroutines with a common context, which the first error of one of them cancels.
type activities struct {
	cancel     context.CancelCauseFunc
	firstError func() error // cause of the end of their context, or nil
	wg         sync.WaitGroup
}

// newActivities returns an empty group, and the context in which its activities must run.
func newActivities(parent context.Context) (*activities, context.Context) {
	ctx, cancel := context.WithCancelCause(parent)
	return &activities{cancel: cancel, firstError: func() error { return context.Cause(ctx) }}, ctx
}

// start runs an activity in a new goroutine. The activity must return once the context ends.
func (a *activities) start(activity func() error) {
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		if err := activity(); err != nil {
			a.cancel(err)
		}
	}()
}

// wait waits until all activities have returned, and returns the first error, or that of the parent context.
func (a *activities) wait() error {
	a.wg.Wait()
	return a.firstError()
}
