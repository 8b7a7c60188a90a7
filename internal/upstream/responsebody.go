package upstream

import (
	"errors"
	"net/http"

	"basaltdrum/internal/http1"
)

// maxUncountedBody is the longest body of a response, in bytes, for which no memory is acquired: the memory that is
// counted for each open request includes it.
const maxUncountedBody = 4 << 10

// errEndedWithoutMemory reports that an attempt has ended before there was memory for the body of its response.
var errEndedWithoutMemory = errors.New("no memory for the response until the attempt ended")

// readBody reads the body of a 200 to its end, and fails if it is longer than http1.MaxBodyBytes. Any other body is
// discarded. readBody does not read a body whose declared length is greater, nor one that ends with the connection
// unless the status is 200.
//
// Before a body is held that is longer than maxUncountedBody, readBody acquires memory for it, and waits if there is
// none. The rest of the response stays in the kernel's buffers meanwhile. If the body can't be read, the memory is
// given back.
func readBody(
	limited *http1.LimitedReader, resp *http.Response, framing bodyFraming, waiter *responseWaiter,
) (body []byte, holdsMemory bool, err error) {
	switch {
	case framing == framingTooLong:
		return nil, false, http1.ErrTooLong
	case framing == framedByClose && resp.StatusCode != http.StatusOK:
		return nil, false, nil
	}
	limited.Remaining += http1.MaxBodyBytes + 1
	if resp.StatusCode != http.StatusOK {
		return nil, false, http1.DiscardBody(resp.Body)
	}
	body, err = http1.ReadBody(resp.Body, resp.ContentLength, func(size int) error {
		if size <= maxUncountedBody || holdsMemory {
			return nil
		}
		holdsMemory = waiter.acquireMemory()
		if !holdsMemory {
			return errEndedWithoutMemory
		}
		return nil
	})
	if err != nil && holdsMemory {
		waiter.memory.ReleaseResponse()
		holdsMemory = false
	}
	return body, holdsMemory, err
}

// acquireMemory acquires memory for the body of the response, and reports whether it did before the attempt ended.
func (w *responseWaiter) acquireMemory() bool {
	return w.memory.AcquireResponse(w.done, func() { w.waitedForMemory.Store(true) })
}
