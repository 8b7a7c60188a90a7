package wire

import (
	"encoding/json"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"basaltdrum/balancer"
)

const sampleBatch = "sync\t8412.25\nabout\t3\nlist\t0\t1\nitem\ts:1\tz\tk\t4\t2\t1.5\t6100.5\nannounce\t2\t0\t41\n" +
	"job_in\tid\t8652.25\t-\tget\t3\t-\t12.0\noutcome\tid\ts:1\t18.5\t1\t0\tsuccess\tbusy_reqs:3,odd:1\neob\n"

// decodeAll decodes an input to its end or its first error.
func decodeAll(t *testing.T, text string) ([]Message, error) {
	t.Helper()
	d := NewDecoder(strings.NewReader(text))
	var messages []Message
	for {
		m, err := d.Next()
		if errors.Is(err, io.EOF) {
			return messages, nil
		}
		if err != nil {
			return messages, err
		}
		messages = append(messages, m)
	}
}

func TestDecode(t *testing.T) {
	got, err := decodeAll(t, sampleBatch)
	if err != nil {
		t.Fatal(err)
	}
	want := []Message{
		{Kind: BatchStart, Instance: -1, Now: 8412250 * time.Microsecond},
		{Kind: InstanceEvent, Instance: 3, Event: balancer.EndpointUpdate{
			Complete: true, Cached: true,
			Endpoints: []balancer.Endpoint{
				{ID: "s:1", Zone: "z", Cell: 4, Capacity: 1.5, StartedAt: 6100500 * time.Microsecond},
			},
		}},
		{Kind: InstanceEvent, Instance: 3, Event: balancer.Request{
			ID: "id", Class: "get", Retry: true,
			Deadline: 8652250 * time.Microsecond, ExpectedWork: 12 * time.Millisecond,
		}},
		{Kind: InstanceEvent, Instance: 3, Event: balancer.AttemptEnded{
			ID: "id", Endpoint: "s:1", Answered: true,
			Latency: 18500 * time.Microsecond, Load: &balancer.LoadReport{InFlight: 3, ServiceTime: -1},
		}},
		{Kind: BatchEnd, Instance: 3},
	}
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v\nwant %+v", got, want)
	}
}

// badInputs are inputs that break the protocol, each with the error that Next must return and with a part of its text.
var badInputs = []struct {
	name, input string
	want        ParseError
	wantText    string
}{
	{
		"message outside a batch", "eob\n",
		ParseError{Line: 1, Message: "eob", Err: ErrOutsideBatch},
		"line 1: \"eob\" outside a batch",
	},
	{
		"batch inside a batch", "sync\t1\nsync\t2\n",
		ParseError{Line: 2, Message: "sync", Err: ErrNestedBatch},
		"line 2: sync inside a batch",
	},
	{
		"no time", "sync\tx\n",
		ParseError{Line: 1, Message: "sync", Field: 1, Err: ErrInvalidValue},
		"line 1: sync: value 1 is not a time in milliseconds",
	},
	{
		"no instance", "sync\t1\nhuh\t1\n",
		ParseError{Line: 2, Message: "huh", Err: ErrNoInstance},
		"line 2: \"huh\" before any about",
	},
	{
		"unknown message", "sync\t1\nabout\t1\nhuh\t1\n",
		ParseError{Line: 3, Message: "huh", Err: ErrUnknownMessage},
		"line 3: unknown message \"huh\"",
	},
	{
		"value is missing", "sync\t1\nabout\t1\njob_in\ta\n",
		ParseError{Line: 3, Message: "job_in", Field: 2, Err: ErrMissingValue},
		"line 3: job_in: value 2 is missing",
	},
	{
		"value of an item is missing", "sync\t1\nlist\t0\t2\nitem\ta\tb\n",
		ParseError{Line: 3, Message: "item", Field: 4, Err: ErrMissingValue},
		"line 3: item: value 4 is missing",
	},
	{
		"list number out of range", "sync\t1\nlist\t77\t2\n",
		ParseError{Line: 2, Message: "list", Field: 1, Err: ErrInvalidValue},
		"line 2: list: value 1 is out of range",
	},
	{
		"list with another message", "sync\t1\nlist\t0\t1\neob\n",
		ParseError{Line: 3, Message: "eob", Err: ErrIncompleteList},
		"want item 1 of 1, got \"eob\"",
	},
	{
		"input ends inside a list", "sync\t1\nlist\t0\t1\n",
		ParseError{Line: 3, Message: "list", Err: ErrIncompleteList},
		"ends after 0 of 1 items: input ends inside a batch",
	},
	{
		"input ends inside a batch", "sync\t1\n",
		ParseError{Line: 2, Err: ErrTruncated},
		"line 2: input ends inside a batch",
	},
	{
		"input ends inside a line", "sync\t1\nabout\t1\nannounce\t9\t0\t0",
		ParseError{Line: 3, Err: ErrTruncated},
		"line 3: input ends inside a batch",
	},
	{
		"no settings", "sync\t1\nabout\t1\nhello\t5\n",
		ParseError{Line: 3, Message: "hello", Field: 2, Err: ErrMissingValue},
		"line 3: hello: value 2 is missing",
	},
}

func TestBadInputIsReportedWithItsPlace(t *testing.T) {
	for _, tt := range badInputs {
		t.Run(tt.name, func(t *testing.T) {
			_, err := decodeAll(t, tt.input)
			var got *ParseError
			if !errors.As(err, &got) {
				t.Fatalf("got error %v, want a *ParseError", err)
			}
			samePlace := got.Line == tt.want.Line && got.Message == tt.want.Message && got.Field == tt.want.Field
			if !samePlace || !errors.Is(err, tt.want.Err) {
				t.Errorf("got error %+v, want %+v", *got, tt.want)
			}
			if !strings.Contains(err.Error(), tt.wantText) {
				t.Errorf("got error %q, want it to contain %q", err, tt.wantText)
			}
		})
	}
}

func TestBadSettingsAreReported(t *testing.T) {
	_, err := decodeAll(t, "sync\t1\nabout\t1\nhello\t5\t{bad\n")
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) || !strings.HasPrefix(err.Error(), "line 3: hello: settings: ") {
		t.Errorf("got error %v, want a JSON syntax error in the settings on line 3", err)
	}
}

func TestReaderErrorIsWrapped(t *testing.T) {
	broken := errors.New("broken")
	for name, input := range map[string]string{"in a batch": "sync\t1\n", "in a list": "sync\t1\nlist\t0\t1\n"} {
		d := NewDecoder(io.MultiReader(strings.NewReader(input), iotest.ErrReader(broken)))
		if _, err := d.Next(); err != nil {
			t.Fatal(err)
		}
		_, err := d.Next()
		if !errors.Is(err, broken) || errors.Is(err, ErrTruncated) {
			t.Errorf("%s: got error %v, want the reader's error, not ErrTruncated", name, err)
		}
	}
}

func TestKindsHaveNames(t *testing.T) {
	for kind, want := range map[Kind]string{
		BatchStart: "batch start", BatchEnd: "batch end", -1: "Kind(-1)", BatchEnd + 1: "Kind(6)",
	} {
		if got := kind.String(); got != want {
			t.Errorf("String() = %q, want %q", got, want)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(sampleBatch)
	f.Add("sync\t1\nabout\t0\ncrash_now\neob\n")
	f.Fuzz(func(t *testing.T, text string) {
		d := NewDecoder(strings.NewReader(text))
		for range 1000 {
			if _, err := d.Next(); err != nil {
				return
			}
		}
	})
}
