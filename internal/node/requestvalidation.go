package node

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"basaltdrum/balancer"
	"basaltdrum/internal/http1"
)

const (
	// maxRequestIDBytes is the longest X-Request-Id, in bytes.
	maxRequestIDBytes = 128

	// maxDeadline is the longest time that X-Deadline or X-Cost-Hint may name.
	maxDeadline = time.Hour

	// maxDeadlineFactor is how many times its class's deadline a request's X-Deadline may be.
	maxDeadlineFactor = 2
)

// requestError says why a request is invalid. It is answered with status and reason before any server is
// involved.
type requestError struct {
	status int // of HTTP
	reason string
	inBody bool // the body is in error: the connection is closed, whatever was read behind it
}

func newHeadError(status int, reason string) *requestError {
	return &requestError{status: status, reason: reason}
}

func newBodyError(status int, reason string) *requestError {
	return &requestError{status: status, reason: reason, inBody: true}
}

func (e *requestError) Error() string { return e.reason }

// Errors of requests whose framing is sound (see http1.FramingError) and which are invalid nevertheless.
var (
	errMethodUnsupported   = newHeadError(http.StatusMethodNotAllowed, "only GET and POST are served")
	errMethodMismatchesClass     = newHeadError(http.StatusMethodNotAllowed, "the class is not asked for by this method")
	errUnknownClass      = newHeadError(http.StatusNotFound, "the path names no class")
	errMalformedKey      = newHeadError(http.StatusBadRequest, "Idempotency-Key is empty or comes twice")
	errKeyMismatchesClass        = newHeadError(http.StatusBadRequest, "Idempotency-Key does not fit the class")
	errInvalidRequestID         = newHeadError(http.StatusBadRequest, "X-Request-Id is missing, too long, or comes twice")
	errDeadlineMissing   = newHeadError(http.StatusBadRequest, "X-Deadline is missing or comes twice")
	errDeadlineMalformed = newHeadError(http.StatusBadRequest, "X-Deadline is no plain number")
	errDeadlineOutOfRange     = newHeadError(http.StatusBadRequest, "X-Deadline is no number or out of range")
	errDeadlineExceedsClass   = newHeadError(http.StatusBadRequest, "X-Deadline is far beyond the class's")
	errBodyTooLong       = newBodyError(http.StatusRequestEntityTooLarge, "the body is too long")
	errBodyIncomplete    = newBodyError(http.StatusBadRequest, "the body is not complete")
	errGetWithBody         = newBodyError(http.StatusBadRequest, "GET has no body")
)

// requestRules are the part of one revision of the settings that requests are checked against.
type requestRules struct {
	revision   int // of the configuration; the node starts with revision 1
	classes    map[string]balancer.Class
	retryAfter time.Duration // Retry-After of rejections for want of descriptors; 0: clients take none
}

func newRequestRules(revision int, set balancer.Settings) *requestRules {
	r := &requestRules{
		revision: revision, classes: map[string]balancer.Class{},
		retryAfter: min(set.MaxRetryAfter, max(set.Tick, time.Millisecond)),
	}
	for _, class := range set.Classes {
		r.classes[class.Name] = class
	}
	return r
}

// validateClass checks a request against the class that it names, and notes the revision that it was checked by.
func (r *requestRules) validateClass(c *request) *requestError {
	class, known := r.classes[c.class]
	switch {
	case !known:
		return errUnknownClass
	case (class.Effect == balancer.Idempotent) != (c.Method == http.MethodGet):
		return errMethodMismatchesClass
	case (c.IdempotencyKey != "") != (class.Effect == balancer.IdempotentByKey):
		return errKeyMismatchesClass
	}
	c.revision = r.revision
	return nil
}

// validateHead checks a request's head against the rules, and sets its class, deadline and expected work. It has to
// reject an unknown class: a server would answer such a request with an error, and the decision module would take
// that as a sign of the server's ill health.
func (r *requestRules) validateHead(c *request, httpRequest *http.Request) error {
	if err := c.readClass(httpRequest); err != nil {
		return err
	}
	if err := r.validateClass(c); err != nil {
		return err
	}
	if c.ID == "" || len(c.ID) > maxRequestIDBytes || len(httpRequest.Header["X-Request-Id"]) > 1 {
		return errInvalidRequestID
	}
	wait, err := parseDeadline(httpRequest.Header["X-Deadline"])
	switch {
	case err != nil:
		return err
	case wait > maxDeadlineFactor*r.classes[c.class].Deadline:
		return errDeadlineExceedsClass
	case httpRequest.ContentLength > http1.MaxBodyBytes:
		return errBodyTooLong
	case httpRequest.ContentLength > 0 && c.Method == http.MethodGet:
		return errGetWithBody
	}
	c.deadline, c.expectedWork = wait, parseWorkHint(httpRequest.Header.Get("X-Cost-Hint"))
	return nil
}

// readClass sets a request's class, which is the first part of its path, and checks the form of what depends on it.
func (c *request) readClass(r *http.Request) error {
	path, _, _ := strings.Cut(c.Target, "?")
	c.class, _, _ = strings.Cut(strings.TrimPrefix(path, "/"), "/")
	keys := len(r.Header["Idempotency-Key"])
	switch {
	case c.Method != http.MethodGet && c.Method != http.MethodPost:
		return errMethodUnsupported
	case !strings.HasPrefix(path, "/"):
		return errUnknownClass
	case keys > 1 || keys == 1 && c.IdempotencyKey == "":
		return errMalformedKey
	}
	return nil
}

// parseDeadline parses X-Deadline: seconds in decimal digits with an optional fraction. The other forms that
// strconv takes (signs, exponents, hexadecimals, underscores) are rejected.
func parseDeadline(values []string) (time.Duration, error) {
	if len(values) != 1 {
		return 0, errDeadlineMissing
	}
	if strings.Trim(values[0], "0123456789.") != "" {
		return 0, errDeadlineMalformed
	}
	seconds, err := strconv.ParseFloat(values[0], 64)
	if err != nil || !(seconds > 0 && seconds <= maxDeadline.Seconds()) {
		return 0, errDeadlineOutOfRange
	}
	return time.Duration(math.Round(seconds * 1e9)), nil
}

// parseWorkHint parses X-Cost-Hint, in microseconds. The hint is only advice, so that a malformed one counts
// as none (0) and is no reason to reject the request.
func parseWorkHint(text string) time.Duration {
	us, err := strconv.ParseFloat(text, 64)
	if err != nil || !(us > 0 && us <= float64(maxDeadline.Microseconds())) {
		return 0
	}
	return time.Duration(us * 1e3)
}
