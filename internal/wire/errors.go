package wire

import (
	"errors"
	"fmt"
	"strconv"
)

// What may be wrong with the input. The errors of a Decoder wrap one of these, an error of the reader, or an
// error of encoding/json for the settings; compare with errors.Is.
var (
	ErrTruncated      = errors.New("input ends inside a batch")
	ErrNestedBatch    = errors.New("sync inside a batch")
	ErrOutsideBatch   = errors.New("outside a batch")
	ErrNoInstance     = errors.New("before any about")
	ErrIncompleteList = errors.New("list is incomplete")
	ErrUnknownMessage = errors.New("unknown message")
	ErrMissingValue   = errors.New("is missing")
	ErrInvalidValue   = errors.New("is invalid") // of a wrong form or out of range; the text of the error says which
)

// ParseError says which line of the input breaks the protocol, and how.
type ParseError struct {
	Line    int    // number of the line, from 1
	Message string // name of the message on that line, cut short if it is long; empty if the line could not be read
	Field   int    // number of the value at fault, from 1 for the first after the name; 0 if it is the message as such
	Err     error
}

// Error names the line, the message, the value if it is one that is at fault, and what is wrong.
func (e *ParseError) Error() string {
	if e.Field == 0 {
		return fmt.Sprintf("line %d: %v", e.Line, e.Err) // Err names the message
	}
	return fmt.Sprintf("line %d: %s: value %d %v", e.Line, e.Message, e.Field, e.Err)
}

// Unwrap returns what is wrong.
func (e *ParseError) Unwrap() error { return e.Err }

// invalidValue is an ErrInvalidValue that says what the value should have been.
type invalidValue string

func (v invalidValue) Error() string        { return string(v) }
func (v invalidValue) Is(target error) bool { return target == ErrInvalidValue }

// longestName is how many bytes of an unknown message's name errors show.
const longestName = 40

func shorten(name string) string {
	if len(name) > longestName {
		return name[:longestName] + "..."
	}
	return name
}

func quote(name string) string { return strconv.Quote(shorten(name)) }
