package node

import (
	"balancer"
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// rules are what requests are checked against: the part of one revision of the settings that callers see.
type requestRules struct {
	revision   int // of the configuration, 1 being the one that the node started with
	classes    map[string]balancer.Class
	retryAfter time.Duration // when to come back after a refusal for want of descriptors; 0: clients take none
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

// admit tells what is wrong with a request in the class that it names, and notes the revision that it fits.
func (r *requestRules) validate(c *request) *requestError {
	class, known := r.classes[c.class]
	switch {
	case !known:
		return &requestError{http.StatusNotFound, "the path names no class"}
	case (class.Effect == balancer.Idempotent) != (c.method == http.MethodGet):
		return &requestError{http.StatusMethodNotAllowed, "the class is not asked for by this method"}
	case (c.key != "") != (class.Effect == balancer.IdempotentByKey):
		return &requestError{http.StatusBadRequest, "Idempotency-Key does not fit the class"}
	}
	c.revision = r.revision
	return nil
}

// rejected is a request that can't be used: it is answered without a look at any server.
type requestError struct {
	status int
	reason string
}

func (r *requestError) Error() string { return r.reason }

// check tells what is wrong with a request's head, and fills in its class and how long it may take. A
// class that does not exist would be sent on as an unsafe one, only for the servers to turn it away,
// and the module would take that for their ill health.
func (f *frontend) validateHead(c *request, r *http.Request) error {
	path, _, _ := strings.Cut(c.target, "?")
	c.class, _, _ = strings.Cut(strings.TrimPrefix(path, "/"), "/")
	rules := f.rules.Load()
	wait, err := parseDeadline(r.Header["X-Deadline"])
	keyed := len(r.Header["Idempotency-Key"])
	switch {
	case c.method != http.MethodGet && c.method != http.MethodPost:
		return &requestError{http.StatusMethodNotAllowed, "only GET and POST are served"}
	case !strings.HasPrefix(path, "/"):
		return &requestError{http.StatusNotFound, "the path names no class"}
	case keyed > 1 || keyed == 1 && c.key == "":
		return &requestError{http.StatusBadRequest, "Idempotency-Key is empty or comes twice"}
	}
	if no := rules.validate(c); no != nil {
		return no
	}
	switch {
	case c.id == "" || len(c.id) > maxRequestIDBytes || len(r.Header["X-Request-Id"]) > 1:
		return &requestError{http.StatusBadRequest, "X-Request-Id is missing, too long, or comes twice"}
	case err != nil:
		return &requestError{http.StatusBadRequest, err.Error()}
	case wait > maxDeadlineFactor*rules.classes[c.class].Deadline:
		return &requestError{http.StatusBadRequest, "X-Deadline is far beyond the class's"}
	case r.ContentLength > maxBody:
		return &requestError{http.StatusRequestEntityTooLarge, "the body is too long"}
	case r.ContentLength > 0 && c.method == http.MethodGet:
		return &requestError{http.StatusBadRequest, "GET has no body"}
	}
	c.deadline, c.expectedWork = wait, parseWorkHint(r.Header.Get("X-Cost-Hint"))
	return nil
}

// parseWait reads X-Deadline: seconds in digits, with decimals or without, and nothing else that
// strconv would take (signs, exponents, hexadecimals, underscores).
func parseDeadline(values []string) (time.Duration, error) {
	if len(values) != 1 {
		return 0, errors.New("X-Deadline is missing or comes twice")
	}
	if strings.Trim(values[0], "0123456789.") != "" {
		return 0, errors.New("X-Deadline is no plain number")
	}
	s, err := strconv.ParseFloat(values[0], 64)
	if err != nil || !(s > 0 && s <= maxDeadline.Seconds()) {
		return 0, errors.New("X-Deadline is no number or out of range")
	}
	return time.Duration(math.Round(s * 1e9)), nil
}

// parseHint reads X-Cost-Hint, in microseconds. What can't be read is no hint: it is only advice.
func parseWorkHint(text string) time.Duration {
	us, err := strconv.ParseFloat(text, 64)
	if err != nil || !(us > 0 && us <= float64(maxDeadline.Microseconds())) {
		return 0
	}
	return time.Duration(us * 1e3)
}
