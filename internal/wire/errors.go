package wire

import (
	"errors"
	"fmt"
	"strconv"
)

// Errors in the input. The errors of a Decoder wrap one of these, an error of the reader, or an error of
// encoding/json for the settings. Use errors.Is to compare them.
var (
	ErrTruncated      = errors.New("input ends inside a batch")
	ErrNestedBatch    = errors.New("sync inside a batch")
	ErrOutsideBatch   = errors.New("outside a batch")
	ErrNoInstance     = errors.New("before any about")
	ErrIncompleteList = errors.New("list is incomplete")
	ErrUnknownMessage = errors.New("unknown message")
	ErrMissingValue   = errors.New("is missing")
	ErrInvalidValue   = errors.New("is invalid") // malformed or out of range; the text of the error says which
)

// ParseError is an error in a line of the input, or in reading it.
type ParseError struct {
	Line    int    // number of the line, from 1
	Message string // name of the message on that line, truncated if it is long; empty if the line could not be read
	Field   int    // number of the invalid value, from 1 for the first after the name; 0 for the message as a whole
	Err     error  // cause
}

// Error returns a text with the line, the message, the number of the value if a single one is invalid, and the cause.
func (e *ParseError) Error() string {
	if e.Field == 0 {
		return fmt.Sprintf("line %d: %v", e.Line, e.Err) // Err names the message
	}
	return fmt.Sprintf("line %d: %s: value %d %v", e.Line, e.Message, e.Field, e.Err)
}

// Unwrap returns the cause.
func (e *ParseError) Unwrap() error { return e.Err }

// invalidValue is an ErrInvalidValue with a text that says why the value is invalid.
type invalidValue string

func (v invalidValue) Error() string        { return string(v) }
func (v invalidValue) Is(target error) bool { return target == ErrInvalidValue }

// maxNameBytes limits how much of a message's name an error shows: the name of an unknown message may be long.
const maxNameBytes = 40

func truncateName(name string) string {
	if len(name) > maxNameBytes {
		return name[:maxNameBytes] + "..."
	}
	return name
}

func quoteName(name string) string { return strconv.Quote(truncateName(name)) }
