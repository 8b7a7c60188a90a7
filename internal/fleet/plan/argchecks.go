package plan

import (
	"fmt"
	"time"
)

// OutOfRangeError says that an argument is not within its range.
type OutOfRangeError struct {
	Argument           string // without its dashes
	Value, Least, Most any
}

func (e *OutOfRangeError) Error() string {
	return fmt.Sprintf("--%s must be from %v to %v, not %v", e.Argument, e.Least, e.Most, e.Value)
}

// ConflictError says that arguments can't be used together.
type ConflictError struct{ Reason string }

func (e *ConflictError) Error() string { return e.Reason }

// checkRange returns an OutOfRangeError unless a value is within its range. NaN is not.
func checkRange[T float64 | time.Duration](argument string, value, least, most T) error {
	if value >= least && value <= most {
		return nil
	}
	return &OutOfRangeError{Argument: argument, Value: value, Least: least, Most: most}
}

// firstError returns the first error that is not nil, or nil.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// conflict is a rule that arguments keep together.
type conflict struct {
	violated bool
	reason   string // what the error says then
}

// firstConflict returns a ConflictError for the first rule that is violated, or nil.
func firstConflict(rules []conflict) error {
	for _, rule := range rules {
		if rule.violated {
			return &ConflictError{rule.reason}
		}
	}
	return nil
}
