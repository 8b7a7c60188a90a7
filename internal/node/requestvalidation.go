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
	ofBody bool // the body is in error: the connection is closed, whatever was read behind it
}

func (e *requestError) Error() string { return e.reason }

// Errors of requests whose framing is sound (see http1.FramingError) and which are invalid nevertheless.
var (
	errMethodNotServed   = &requestError{status: http.StatusMethodNotAllowed, reason: "only GET and POST are served"}
	errMethodOfClass     = &requestError{status: http.StatusMethodNotAllowed, reason: "the class is not asked for by this method"}
	errUnknownClass      = &requestError{status: http.StatusNotFound, reason: "the path names no class"}
	errMalformedKey      = &requestError{status: http.StatusBadRequest, reason: "Idempotency-Key is empty or comes twice"}
	errKeyOfClass        = &requestError{status: http.StatusBadRequest, reason: "Idempotency-Key does not fit the class"}
	errRequestID         = &requestError{status: http.StatusBadRequest, reason: "X-Request-Id is missing, too long, or comes twice"}
	errDeadlineMissing   = &requestError{status: http.StatusBadRequest, reason: "X-Deadline is missing or comes twice"}
	errDeadlineMalformed = &requestError{status: http.StatusBadRequest, reason: "X-Deadline is no plain number"}
	errDeadlineRange     = &requestError{status: http.StatusBadRequest, reason: "X-Deadline is no number or out of range"}
	errDeadlineOfClass   = &requestError{status: http.StatusBadRequest, reason: "X-Deadline is far beyond the class's"}
	errBodyTooLong       = &requestError{status: http.StatusRequestEntityTooLarge, reason: "the body is too long", ofBody: true}
	errBodyIncomplete    = &requestError{status: http.StatusBadRequest, reason: "the body is not complete", ofBody: true}
	errBodyOfGet         = &requestError{status: http.StatusBadRequest, reason: "GET has no body", ofBody: true}
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

// validate checks a request against the class that it names, and notes the revision that it was checked by.
func (r *requestRules) validate(c *request) *requestError {
	class, known := r.classes[c.class]
	switch {
	case !known:
		return errUnknownClass
	case (class.Effect == balancer.Idempotent) != (c.method == http.MethodGet):
		return errMethodOfClass
	case (c.key != "") != (class.Effect == balancer.IdempotentByKey):
		return errKeyOfClass
	}
	c.revision = r.revision
	return nil
}

// validateHead checks a request's head, and sets its class, deadline and expected work. It has to reject an
// unknown class: a server would answer such a request with an error, and the decision module would take that
// as a sign of the server's ill health.
func (f *frontend) validateHead(c *request, r *http.Request) error {
	path, _, _ := strings.Cut(c.target, "?")
	c.class, _, _ = strings.Cut(strings.TrimPrefix(path, "/"), "/")
	keys := len(r.Header["Idempotency-Key"])
	switch {
	case c.method != http.MethodGet && c.method != http.MethodPost:
		return errMethodNotServed
	case !strings.HasPrefix(path, "/"):
		return errUnknownClass
	case keys > 1 || keys == 1 && c.key == "":
		return errMalformedKey
	}
	rules := f.rules.Load()
	if err := rules.validate(c); err != nil {
		return err
	}
	if c.id == "" || len(c.id) > maxRequestIDBytes || len(r.Header["X-Request-Id"]) > 1 {
		return errRequestID
	}
	wait, err := parseDeadline(r.Header["X-Deadline"])
	switch {
	case err != nil:
		return err
	case wait > maxDeadlineFactor*rules.classes[c.class].Deadline:
		return errDeadlineOfClass
	case r.ContentLength > http1.MaxBodyBytes:
		return errBodyTooLong
	case r.ContentLength > 0 && c.method == http.MethodGet:
		return errBodyOfGet
	}
	c.deadline, c.expectedWork = wait, parseWorkHint(r.Header.Get("X-Cost-Hint"))
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
		return 0, errDeadlineRange
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
