package discovery

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"basaltdrum/internal/endpointlist"
)

// errStaleList reports an incremental update that is older than the list that the node has.
var errStaleList = errors.New("the update is older than the list")

// statusError is a response of the registry with a status other than 200.
type statusError int

func (e statusError) Error() string { return fmt.Sprintf("unexpected status %d", int(e)) }

// call is a poll that is under way in a goroutine of its own.
type call struct {
	number  int   // counts the calls of a watch in the order in which they were started
	from    int64 // the version whose changes are requested, or NoVersion
	started time.Time
	cancel  context.CancelFunc
	result  chan callResult  // receives one result; has a buffer of one
	overdue <-chan time.Time // receives a value once the call has taken longer than a registry without load
}

// callResult is the result of a call.
type callResult struct {
	list endpointlist.List
	err  error // a malformed list fails with a *malformedError
}

// results returns the channel that receives the result, or a nil channel if there is no call.
func (k *call) results() <-chan callResult {
	if k == nil {
		return nil
	}
	return k.result
}

// overdueTimer returns the channel that receives a value once the call is overdue, or a nil channel if there is no
// call.
func (k *call) overdueTimer() <-chan time.Time {
	if k == nil {
		return nil
	}
	return k.overdue
}

// end cancels the call, if there is one. Its result is discarded.
func (k *call) end() {
	if k != nil {
		k.cancel()
	}
}

// malformedError reports a response with an invalid list. It is unknown which changes were missed.
type malformedError struct{ err error }

func (e *malformedError) Error() string { return e.err.Error() }
func (e *malformedError) Unwrap() error { return e.err }

// fetchList requests the changes since a version, and reads the list in the response. An incremental update must not be
// older than that version.
func (a *registryAddress) fetchList(
	ctx context.Context, from int64, hold time.Duration,
) (list endpointlist.List, err error) {
	resp, err := a.get(ctx, from, hold)
	if err != nil {
		return list, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return list, fmt.Errorf("watch: %w", statusError(resp.StatusCode))
	}
	body := newListBody(resp.Body)
	list, err = endpointlist.Read(body)
	switch {
	case body.err != nil:
		return list, fmt.Errorf("watch: %w", body.err)
	case err != nil:
		return list, &malformedError{err}
	case !list.Complete && list.Version < from:
		err = fmt.Errorf("list: %w: version %d after %d", errStaleList, list.Version, from)
		return list, &malformedError{err}
	}
	return list, nil
}
