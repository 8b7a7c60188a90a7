package main

import (
	"errors"
	"fmt"
	"net/http"
)

// Faults that a request may show.
var (
	errNoResponse      = errors.New("a request got no response")
	errWrongResponse   = errors.New("a request got the response to another one")
	errFailed          = errors.New("a request failed though it could have been repeated")
	errServedByStopped = errors.New("a request was served by a server that has stopped")
	errSentToDrained   = errors.New("a server got requests after its drain")
)

// checkResults returns an error for the first request that did not end as it should, or if a server got requests
// after its drain.
func checkResults(phases []phaseResult, servers serverGroup) error {
	for _, played := range phases {
		for _, ended := range played.results {
			if err := played.check(ended, servers); err != nil {
				return fmt.Errorf("phase %q, %s: %w", played.name, ended.id, err)
			}
		}
	}
	for _, s := range servers {
		if late := s.late.Load(); late > 0 {
			return fmt.Errorf("%w: %s got %d, more than %v later", errSentToDrained, s.name, late, stopSendingWithin)
		}
	}
	return nil
}

// check returns what is amiss with the end of one request, or nil.
//
// A request of a class that may be repeated is served even if a server dies: the node retries it on another one. An
// order must not run twice. Once a server that may have begun it has died, the node can only say that it failed.
func (p phase) check(ended result, servers serverGroup) error {
	switch {
	case ended.err != nil:
		return fmt.Errorf("%w: %w", errNoResponse, ended.err)
	case ended.status == http.StatusBadGateway && p.mayLose && ended.class == classOrder:
		return nil
	case ended.status != http.StatusOK:
		return fmt.Errorf("%w: status %d", errFailed, ended.status)
	case ended.body != responseBody(ended.server(), ended.id):
		return fmt.Errorf("%w: %q", errWrongResponse, ended.body)
	}
	for _, s := range servers {
		if ended.server() == s.name && !s.stoppedAt.IsZero() && ended.sentAt.After(s.stoppedAt) {
			return fmt.Errorf("%w: %s", errServedByStopped, s.name)
		}
	}
	return nil
}
