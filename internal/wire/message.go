// Package wire speaks the simulator's text protocol: a Decoder reads batches of events, and an Encoder writes
// one reply for each batch. A message is a line of values separated by tabs, the first of which is its name.
// Times on the wire are milliseconds with decimals. The package makes no decisions.
package wire

import (
	"fmt"
	"time"

	"basaltdrum/balancer"
)

// Kind says what a Message carries.
type Kind int

// Message kinds, in the order in which a batch may bring them.
const (
	BatchStart    Kind = iota // Now is set for the whole batch
	InstanceStart             // an instance starts without any state; Seed and Settings are set
	InstanceEvent             // Event is set
	InstanceStop              // the instance was killed and loses its state
	Ignored                   // a known message that the module has no use for
	BatchEnd                  // a reply is due
)

var kindNames = [...]string{
	BatchStart:    "batch start",
	InstanceStart: "instance start",
	InstanceEvent: "instance event",
	InstanceStop:  "instance stop",
	Ignored:       "ignored",
	BatchEnd:      "batch end",
}

// String names the kind in words.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return fmt.Sprintf("Kind(%d)", int(k))
	}
	return kindNames[k]
}

// noInstance is the Instance of messages before the first that selects one.
const noInstance = -1

// Message is one decoded message. Kind says which of the other fields are set.
type Message struct {
	Kind Kind
	// Instance is the instance selected last, or -1. The message is for it, unless it is a batch's start or end.
	Instance int
	Now      time.Duration // clock time of all events of the batch
	Seed     uint64
	Settings balancer.Settings
	Event    balancer.Event
}
