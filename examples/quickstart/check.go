package main

import (
	"errors"
	"fmt"
	"net/http"
)

// Errors that checkResults returns.
var (
	errNoResponse      = errors.New("a request got no response")
	errWrongResponse   = errors.New("a request got the response to another one")
	errFailed          = errors.New("a request failed although it could have been retried")
	errServedByStopped = errors.New("a request was served by a server that has stopped")
	errSentToDrained   = errors.New("a server got requests after its drain")
)

// checkResults returns an error for the first request with a wrong result, or for the first server that received
// requests after its drain.
func checkResults(phases []phaseResult, servers serverGroup) error {
	for _, completed := range phases {
		for _, outcome := range completed.results {
			if err := completed.check(outcome, servers); err != nil {
				return fmt.Errorf("phase %q, %s: %w", completed.name, outcome.id, err)
			}
		}
	}
	for _, s := range servers {
		if lateRequests := s.lateRequests.Load(); lateRequests > 0 {
			return fmt.Errorf("%w: %s got %d, more than %v later",
				errSentToDrained, s.name, lateRequests, stopSendingWithin)
		}
	}
	return nil
}

// check returns an error if a request has a wrong result.
//
// A request of a class that may be retried is served even if a server crashes: the node retries it on another one. An
// order must not run twice. If a server that may have started it crashes, the node can only respond that it failed.
func (p phase) check(outcome result, servers serverGroup) error {
	switch {
	case outcome.err != nil:
		return fmt.Errorf("%w: %w", errNoResponse, outcome.err)
	case outcome.status == http.StatusBadGateway && p.mayLoseOrders && outcome.class == classOrder:
		return nil
	case outcome.status != http.StatusOK:
		return fmt.Errorf("%w: status %d", errFailed, outcome.status)
	case outcome.body != responseBody(outcome.server(), outcome.id):
		return fmt.Errorf("%w: %q", errWrongResponse, outcome.body)
	}
	for _, s := range servers {
		if outcome.server() == s.name && !s.stoppedAt.IsZero() && outcome.sentAt.After(s.stoppedAt) {
			return fmt.Errorf("%w: %s", errServedByStopped, s.name)
		}
	}
	return nil
}
