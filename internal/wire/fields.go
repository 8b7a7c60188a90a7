package wire

import (
	"math"
	"strconv"
	"strings"
	"time"

	"basaltdrum/internal/settings"
)

const (
	// absent stands for a missing value on the wire.
	absent = "-"
	// maxNumber bounds the magnitude of numbers, so that none overflows when it is converted. As a time in
	// milliseconds it is about thirty years.
	maxNumber = 1e12
)

// fields reads the values of one message by their position, from 0. It keeps the first error, so that a caller can
// decode a whole message and check for errors once.
type fields struct {
	line    int
	message string
	values  []string
	err     error // a *ParseError, or nil
}

// newFields splits the values that follow a message's name on its line. line is the number of that line.
func newFields(line int, message, values string) *fields {
	return &fields{line: line, message: message, values: strings.Split(values, "\t")}
}

// fail records an error in the value at a position, unless an earlier error is recorded.
func (f *fields) fail(position int, cause error) {
	if f.err == nil {
		f.err = &ParseError{Line: f.line, Message: truncateName(f.message), Field: position + 1, Err: cause}
	}
}

// failMessage records an error in the message as a whole, unless an earlier error is recorded. The text of cause
// must name the message.
func (f *fields) failMessage(cause error) {
	if f.err == nil {
		f.err = &ParseError{Line: f.line, Message: truncateName(f.message), Err: cause}
	}
}

// optionalText returns the value, or an empty string if it is absent.
func (f *fields) optionalText(position int) string {
	if position >= len(f.values) || f.values[position] == absent {
		return ""
	}
	return f.values[position]
}

func (f *fields) text(position int) string {
	s := f.optionalText(position)
	if s == "" {
		f.fail(position, ErrMissingValue)
	}
	return s
}

func (f *fields) integer(position int) int {
	v, err := strconv.Atoi(f.text(position))
	if err != nil {
		f.fail(position, invalidValue("is not an integer"))
	}
	return v
}

// optionalInteger returns 0 if the value is absent.
func (f *fields) optionalInteger(position int) int {
	if f.optionalText(position) == "" {
		return 0
	}
	return f.integer(position)
}

// seed reads a signed or unsigned 64-bit integer. A negative one stands for its two's complement.
func (f *fields) seed(position int) uint64 {
	s := f.text(position)
	if v, err := strconv.ParseUint(s, 10, 64); err == nil {
		return v
	}
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		f.fail(position, invalidValue("is not an integer"))
	}
	return uint64(v)
}

// time reads a time or a duration in milliseconds.
func (f *fields) time(position int) time.Duration {
	v, ok := parseNumber(f.text(position))
	if !ok {
		f.fail(position, invalidValue("is not a time in milliseconds"))
		return 0
	}
	return settings.Milliseconds(v)
}

// optionalTime returns 0 if the value is absent.
func (f *fields) optionalTime(position int) time.Duration {
	if f.optionalText(position) == "" {
		return 0
	}
	return f.time(position)
}

// optionalCapacity reads the relative capacity of an endpoint. It returns 0, for an unknown capacity, if the value
// is absent.
func (f *fields) optionalCapacity(position int) float64 {
	s := f.optionalText(position)
	if s == "" {
		return 0
	}
	v, ok := parseNumber(s)
	if !ok || v < 0 {
		f.fail(position, invalidValue("is not a capacity"))
	}
	return v
}

// parseNumber parses a number, and reports whether it is valid and at most maxNumber in magnitude.
func parseNumber(s string) (v float64, ok bool) {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(v) || math.Abs(v) > maxNumber {
		return 0, false
	}
	return v, true
}
