// Package wire implements the simulator's text protocol: a Decoder reads batches of events, and an Encoder writes
// one reply for each batch. A message is a line of tab-separated values, the first of which is its name. Times on
// the wire are in milliseconds with decimals. The package only translates; it makes no balancing decisions.
package wire

import (
	"fmt"
	"time"

	"basaltdrum/balancer"
)

// Kind is the kind of a Message.
type Kind int

// Message kinds. A batch starts with BatchStart and ends with BatchEnd; the others come between them.
const (
	BatchStart    Kind = iota // Now is set, for all events of the batch
	InstanceStart             // an instance starts without any state; Seed and Settings are set
	InstanceEvent             // an event for an instance; Event is set
	InstanceStop              // an instance was killed and loses its state
	Ignored                   // a known message that the module does not use
	BatchEnd                  // the batch is complete and must be replied to
)

var kindNames = [...]string{
	BatchStart:    "batch start",
	InstanceStart: "instance start",
	InstanceEvent: "instance event",
	InstanceStop:  "instance stop",
	Ignored:       "ignored",
	BatchEnd:      "batch end",
}

// String returns the name of the kind.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return fmt.Sprintf("Kind(%d)", int(k))
	}
	return kindNames[k]
}

// noInstance is the value of Message.Instance while no instance is selected.
const noInstance = -1

// Message is one decoded message. Its Kind determines which of the other fields are set.
type Message struct {
	Kind Kind
	// Instance is the instance that the message is for. In a BatchStart or BatchEnd it is the one selected last, or -1.
	Instance int
	Now      time.Duration // clock time of all events of the batch
	Seed     uint64
	Settings balancer.Settings
	Event    balancer.Event
}
