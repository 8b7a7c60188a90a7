package wire_test

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"basaltdrum/balancer"
	"basaltdrum/internal/wire"
)

// The batch has two events for instance 3: the departure of a client and a timer.
func ExampleDecoder() {
	batch := "sync\t8412.25\nabout\t3\ntimed_out_client\tid-1\nring\tsweep\neob\n"
	decoder := wire.NewDecoder(strings.NewReader(batch))
	for {
		m, err := decoder.Next()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			fmt.Println(err)
			return
		}
		switch m.Kind {
		case wire.BatchStart:
			fmt.Println(m.Kind, m.Now)
		case wire.InstanceEvent:
			fmt.Printf("%v for %d: %T %v\n", m.Kind, m.Instance, m.Event, m.Event)
		default:
			fmt.Println(m.Kind)
		}
	}
	// Output:
	// batch start 8.41225s
	// instance event for 3: balancer.ClientGone {id-1}
	// instance event for 3: balancer.Timer {sweep}
	// batch end
}

// The error says which value of which line is invalid.
func ExampleParseError() {
	_, err := wire.NewDecoder(strings.NewReader("sync\tnow\n")).Next()
	var parseError *wire.ParseError
	if errors.As(err, &parseError) {
		fmt.Println(parseError.Line, parseError.Message, parseError.Field)
	}
	fmt.Println(errors.Is(err, wire.ErrInvalidValue))
	fmt.Println(err)
	// Output:
	// 1 sync 1
	// true
	// line 1: sync: value 1 is not a time in milliseconds
}

func ExampleEncoder() {
	encoder := wire.NewEncoder(os.Stdout)
	encoder.AddAction(3, balancer.Cancel{ID: "id-1", Attempt: 0})
	encoder.AddAction(3, balancer.Fail{ID: "id-1"})
	encoder.AddAction(5, balancer.Reject{ID: "id-2", RetryAfter: 250 * time.Millisecond})
	if err := encoder.Flush(); err != nil {
		fmt.Println(err)
	}
	// The values have tabs between them.
	// Output:
	// instance	3
	// retract	id-1	0
	// report_failure	id-1
	// instance	5
	// turn_away	id-2	250
	// yield
}
