package node

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"basaltdrum/balancer"
	"basaltdrum/internal/http1"
)

const (
	// maxRequestIDBytes is the maximum length of X-Request-Id, in bytes.
	maxRequestIDBytes = 128

	// maxWorkHint is the maximum value of X-Cost-Hint.
	maxWorkHint = time.Hour

	// maxDeadlineFactor limits X-Deadline to this multiple of the deadline of the request's class.
	maxDeadlineFactor = 2
)

// requestError reports why a request is invalid. The request is answered with status and reason and never forwarded.
type requestError struct {
	status int // HTTP status of the response
	reason string
	inBody bool // the error is in the body: the connection is closed, even with a pipelined request read after it
}

func newHeadError(status int, reason string) *requestError {
	return &requestError{status: status, reason: reason}
}

func newBodyError(status int, reason string) *requestError {
	return &requestError{status: status, reason: reason, inBody: true}
}

func (e *requestError) Error() string { return e.reason }

// Errors of invalid requests whose framing is valid (see http1.FramingError for the others).
var (
	errMethodUnsupported     = newHeadError(http.StatusMethodNotAllowed, "only GET and POST are served")
	errMethodMismatchesClass = newHeadError(http.StatusMethodNotAllowed, "the class is not asked for by this method")
	errUnknownClass          = newHeadError(http.StatusNotFound, "the path names no class")
	errMalformedKey          = newHeadError(http.StatusBadRequest, "Idempotency-Key is empty or comes twice")
	errKeyMismatchesClass    = newHeadError(http.StatusBadRequest, "Idempotency-Key does not fit the class")
	errInvalidRequestID      = newHeadError(http.StatusBadRequest, "X-Request-Id is missing, too long, or comes twice")
	errDeadlineMissing       = newHeadError(http.StatusBadRequest, "X-Deadline is missing or comes twice")
	errDeadlineMalformed     = newHeadError(http.StatusBadRequest, http1.ErrDeadlineMalformed.Error())
	errDeadlineOutOfRange    = newHeadError(http.StatusBadRequest, http1.ErrDeadlineOutOfRange.Error())
	errDeadlineExceedsClass  = newHeadError(http.StatusBadRequest, "X-Deadline is far beyond the class's")
	errBodyTooLong           = newBodyError(http.StatusRequestEntityTooLarge, "the body is too long")
	errBodyIncomplete        = newBodyError(http.StatusBadRequest, "the body is not complete")
	errGetWithBody           = newBodyError(http.StatusBadRequest, "GET has no body")
)

// requestRules holds the part of the settings that requests are validated against, in one revision.
type requestRules struct {
	revision int // of the configuration; starts at initialRevision
	classes  map[string]balancer.Class
	// retryAfter is the Retry-After of rejections that the module does not decide, as for lack of descriptors; 0: none
	// is sent.
	retryAfter time.Duration
}

func newRequestRules(revision int, settings balancer.Settings) *requestRules {
	r := &requestRules{
		revision: revision, classes: map[string]balancer.Class{},
		retryAfter: min(settings.MaxRetryAfter, max(settings.Tick, time.Millisecond)),
	}
	for _, class := range settings.Classes {
		r.classes[class.Name] = class
	}
	return r
}

// validateClass checks a request against the class that it names, and records the revision of the rules in it.
func (r *requestRules) validateClass(req *request) *requestError {
	class, known := r.classes[req.class]
	switch {
	case !known:
		return errUnknownClass
	case (class.Effect == balancer.Idempotent) != (req.Method == http.MethodGet):
		return errMethodMismatchesClass
	case (req.IdempotencyKey != "") != (class.Effect == balancer.IdempotentByKey):
		return errKeyMismatchesClass
	}
	req.revision = r.revision
	return nil
}

// validateHead checks the head of a request against the rules, and sets the request's class, deadline and expected
// work. The deadline is relative to the first byte of the request; readRequest converts it to a clock time. An unknown
// class has to be rejected here: an endpoint would answer such a request with an error, which the decision module would
// count as a failure of the endpoint.
func (r *requestRules) validateHead(req *request, httpRequest *http.Request) error {
	if err := req.readClass(httpRequest); err != nil {
		return err
	}
	if err := r.validateClass(req); err != nil {
		return err
	}
	if req.ID == "" || len(req.ID) > maxRequestIDBytes || len(httpRequest.Header["X-Request-Id"]) > 1 {
		return errInvalidRequestID
	}
	wait, err := parseDeadline(httpRequest.Header["X-Deadline"])
	switch {
	case err != nil:
		return err
	case wait > maxDeadlineFactor*r.classes[req.class].Deadline:
		return errDeadlineExceedsClass
	case httpRequest.ContentLength > http1.MaxBodyBytes:
		return errBodyTooLong
	case httpRequest.ContentLength > 0 && req.Method == http.MethodGet:
		return errGetWithBody
	}
	req.deadline, req.expectedWork = wait, parseWorkHint(httpRequest.Header.Get("X-Cost-Hint"))
	return nil
}

// readClass sets the class of a request, which is the first segment of its path, and checks the method, the form of the
// path and the number of idempotency keys.
func (req *request) readClass(r *http.Request) error {
	path, _, _ := strings.Cut(req.Target, "?")
	req.class, _, _ = strings.Cut(strings.TrimPrefix(path, "/"), "/")
	keys := len(r.Header["Idempotency-Key"])
	switch {
	case req.Method != http.MethodGet && req.Method != http.MethodPost:
		return errMethodUnsupported
	case !strings.HasPrefix(path, "/"):
		return errUnknownClass
	case keys > 1 || keys == 1 && req.IdempotencyKey == "":
		return errMalformedKey
	}
	return nil
}

// parseDeadline parses the values of X-Deadline: a single one.
func parseDeadline(values []string) (time.Duration, error) {
	if len(values) != 1 {
		return 0, errDeadlineMissing
	}
	wait, err := http1.ParseDeadline(values[0])
	switch {
	case errors.Is(err, http1.ErrDeadlineMalformed):
		return 0, errDeadlineMalformed
	case err != nil:
		return 0, errDeadlineOutOfRange
	}
	return wait, nil
}

// parseWorkHint parses X-Cost-Hint, in microseconds. The hint is optional: a malformed one counts as none (0) and does
// not make the request invalid.
func parseWorkHint(text string) time.Duration {
	us, err := strconv.ParseFloat(text, 64)
	if err != nil || !(us > 0 && us <= float64(maxWorkHint.Microseconds())) {
		return 0
	}
	return time.Duration(us * 1e3)
}
