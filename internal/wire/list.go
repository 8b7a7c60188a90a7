package wire

import (
	"fmt"
	"strings"

	"basaltdrum/balancer"
)

// errListNumber is the error of a number outside 0 to listCount-1.
const errListNumber = invalidValue("is out of range for the number of a list")

// readList decodes "list NUMBER LENGTH" and the items on the lines that follow it, one per line. The list is kept
// until another one with the same number replaces it.
func (d *Decoder) readList(f *fields) {
	number, length := f.integer(0), f.integer(1)
	if number < 0 || number >= listCount {
		f.fail(0, errListNumber)
	}
	if length < 0 {
		f.fail(1, invalidValue("is out of range: it is negative"))
	}
	if f.err != nil {
		return
	}
	var endpoints []balancer.Endpoint
	for i := range length {
		item := d.readItem(i, length)
		if item.err == nil {
			endpoints = append(endpoints, decodeEndpoint(item))
		}
		if item.err != nil {
			f.err = item.err
			return
		}
	}
	d.lists[number] = endpoints
}

// readItem reads the line of the item with an index, from 0, in a list of the given length.
func (d *Decoder) readItem(index, length int) *fields {
	line, err := d.readLine()
	if err != nil {
		f := newFields(d.line+1, "list", "")
		f.failMessage(fmt.Errorf("%w: it ends after %d of %d items: %w",
			ErrIncompleteList, index, length, replaceEOF(err)))
		return f
	}
	name, values, _ := strings.Cut(line, "\t")
	f := newFields(d.line, name, values)
	if name != "item" {
		f.failMessage(fmt.Errorf("%w: want item %d of %d, got %s", ErrIncompleteList, index+1, length, quoteName(name)))
	}
	return f
}

// The states of an endpoint in an item message.
const (
	stateDraining = 0
	stateRemoved  = 1
	stateReady    = 2
)

// decodeEndpoint decodes "item ID ZONE KIND CELL STATE CAPACITY STARTED". The last value is a clock time.
func decodeEndpoint(f *fields) balancer.Endpoint {
	e := balancer.Endpoint{
		ID:        f.text(0),
		Zone:      f.text(1),
		Cell:      f.integer(3),
		Capacity:  f.optionalCapacity(5),
		StartedAt: f.optionalTime(6),
	}
	switch f.integer(4) {
	case stateReady:
		e.State = balancer.Ready
	case stateDraining:
		e.State = balancer.Draining
	case stateRemoved:
		e.State = balancer.Removed
	default:
		f.fail(4, invalidValue("is not a state"))
	}
	return e
}
