package http1

import (
	"errors"
	"math"
	"strconv"
	"strings"
	"time"
)

// maxDeadline is the maximum value of X-Deadline.
const maxDeadline = time.Hour

// Errors of ParseDeadline.
var (
	ErrDeadlineMalformed  = errors.New("X-Deadline is no plain number")
	ErrDeadlineOutOfRange = errors.New("X-Deadline is no number or out of range")
)

// ParseDeadline parses a value of X-Deadline: the time that a client waits for the response, in seconds, in decimal
// digits with an optional fraction. The other forms that strconv accepts (signs, exponents, hexadecimal, underscores)
// are rejected. The error is one of those declared here.
func ParseDeadline(value string) (time.Duration, error) {
	if strings.Trim(value, "0123456789.") != "" {
		return 0, ErrDeadlineMalformed
	}
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || !(seconds > 0 && seconds <= maxDeadline.Seconds()) {
		return 0, ErrDeadlineOutOfRange
	}
	return time.Duration(math.Round(seconds * 1e9)), nil
}
