package plan

import (
	"fmt"
	"time"
)

// OutOfRangeError reports an argument whose value is outside its range.
type OutOfRangeError struct {
	Argument        string // without its dashes
	Value, Min, Max any
}

func (e *OutOfRangeError) Error() string {
	return fmt.Sprintf("--%s must be from %v to %v, not %v", e.Argument, e.Min, e.Max, e.Value)
}

// ConflictError reports arguments that can't be used together.
type ConflictError struct{ Reason string }

func (e *ConflictError) Error() string { return e.Reason }

// checkRange returns an OutOfRangeError if value is less than least, greater than most, or NaN.
func checkRange[T float64 | time.Duration](argument string, value, least, most T) error {
	if value >= least && value <= most {
		return nil
	}
	return &OutOfRangeError{Argument: argument, Value: value, Min: least, Max: most}
}

// firstError returns the first non-nil error, or nil if there is none.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// conflictRule is a rule for arguments that are each within their range but can't be used together.
type conflictRule struct {
	violated bool
	reason   string // text of the error if violated
}

// firstConflict returns a ConflictError for the first violated rule, or nil if there is none.
func firstConflict(rules []conflictRule) error {
	for _, rule := range rules {
		if rule.violated {
			return &ConflictError{rule.reason}
		}
	}
	return nil
}
