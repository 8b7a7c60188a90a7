// Package endpointlist implements the endpoint list: List is the list as discovery sends it, with a parser, and Table
// is the list as the node stores it, with the start times of the endpoints by the node's clock. Handover reconciles the
// list of a new address of discovery with it. The package does no I/O of its own and starts no goroutine. A parsed List
// does not change, except that Table.SetStartTimes sets the start times of its entries.
package endpointlist

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strings"

	"basaltdrum/balancer"
)

// List is a list as the registry sends it: all endpoints, or the entries that changed since a version.
type List struct {
	Version  int64
	Complete bool
	Entries  []Entry
}

// hasReady reports whether a listed endpoint is ready.
func (l List) hasReady() bool {
	return slices.ContainsFunc(l.Entries, func(entry Entry) bool { return entry.State == balancer.Ready })
}

// Entry is an entry of a list: the endpoint as package balancer represents it, with its address and its start.
type Entry struct {
	balancer.Endpoint // its StartedAt is set by Table.SetStartTimes
	Address           string
	BootMS            float64 // as listed: Unix time in milliseconds; 0: long ago
}

// Instance returns the process that the entry describes.
func (e Entry) Instance() Instance { return Instance{e.ID, e.Address, e.BootMS} }

// Instance is one process of an endpoint at one address. An endpoint that has restarted, or another
// endpoint at an address that was in use before, must not be reached over connections to its predecessor.
type Instance struct {
	UID, Address string
	BootMS       float64 // start of the process as listed: Unix time in milliseconds
}

// endpointStates maps the states of the registry to those of package balancer.
var endpointStates = map[string]balancer.EndpointState{
	"in_service":  balancer.Ready,
	"terminating": balancer.Draining,
	"terminated":  balancer.Removed,
}

// Limits of the numbers in an entry. An entry with a larger number is malformed.
const (
	maxCapacity = 1e12 // capacity_hint, in the unit of the settings
	maxBootMS   = 1e13 // boot_ms, Unix time in milliseconds
	maxCell     = 1e9  // pod_group, absolute value
)

var (
	errNoUID         = errors.New("uid is empty")
	errOutOfRange    = errors.New("capacity_hint, boot_ms or pod_group is out of range")
	errNoVersion     = errors.New("rev or all is missing")
	errTrailingBytes = errors.New("unexpected data after its end")
)

// wireEntry is an entry of a list in its JSON form.
type wireEntry struct {
	UID          string  `json:"uid"`
	Endpoint     string  `json:"endpoint"`
	Zone         string  `json:"az"`
	Cell         float64 `json:"pod_group"`
	State        string  `json:"state"`
	CapacityHint float64 `json:"capacity_hint"`
	BootTimeMS   float64 `json:"boot_ms"`
}

// toListEntry validates an entry and converts it. An endpoint that was removed needs no address.
func (e *wireEntry) toListEntry() (Entry, error) {
	state, ok := endpointStates[e.State]
	_, err := netip.ParseAddrPort(e.Endpoint)
	switch {
	case e.UID == "":
		return Entry{}, errNoUID
	case !ok:
		return Entry{}, fmt.Errorf("unknown state %q", e.State)
	case err != nil && state != balancer.Removed:
		return Entry{}, err
	case !inRange(e.CapacityHint, 0, maxCapacity), !inRange(e.BootTimeMS, 0, maxBootMS),
		!inRange(e.Cell, -maxCell, maxCell):
		return Entry{}, errOutOfRange
	}
	return Entry{Address: e.Endpoint, BootMS: e.BootTimeMS, Endpoint: balancer.Endpoint{
		ID: e.UID, Zone: e.Zone, Cell: int(e.Cell), State: state, Capacity: e.CapacityHint,
	}}, nil
}

// inRange reports whether v is between least and most.
func inRange(v, least, most float64) bool { return v >= least && v <= most }

// listParser is a streaming parser of one list. It reads entry by entry, so that neither the text nor the entries
// are in memory twice. Keys may have any order and any case, and the last of duplicate keys counts, as with
// json.Unmarshal.
type listParser struct {
	decoder  *json.Decoder
	version  *int64
	complete *bool
	entries  []Entry
	seen     map[string]bool // the uids of entries
}

// Parse parses a list that is in memory.
func Parse(text []byte) (List, error) { return Read(bytes.NewReader(text)) }

// Read parses a list up to the end of its text. It returns no part of a malformed list, which would look as if all
// other endpoints had been removed.
func Read(text io.Reader) (List, error) {
	p := listParser{decoder: json.NewDecoder(text)}
	if err := p.parse(); err != nil {
		return List{}, err
	}
	if p.version == nil || p.complete == nil {
		return List{}, fmt.Errorf("list: %w", errNoVersion)
	}
	return List{Version: *p.version, Complete: *p.complete, Entries: p.entries}, nil
}

// parse parses the JSON object of the list, which must be the whole text.
func (p *listParser) parse() error {
	if err := p.expectDelim('{'); err != nil {
		return err
	}
	for p.decoder.More() {
		key, err := p.decoder.Token()
		if err != nil {
			return fmt.Errorf("list: %w", err)
		}
		if err := p.parseField(key.(string)); err != nil {
			return err
		}
	}
	if err := p.expectDelim('}'); err != nil {
		return err
	}
	switch _, err := p.decoder.Token(); {
	case errors.Is(err, io.EOF):
		return nil
	case err != nil:
		return fmt.Errorf("list: after its end: %w", err)
	}
	return fmt.Errorf("list: %w", errTrailingBytes)
}

// parseField parses the value of a key of the list.
func (p *listParser) parseField(key string) (err error) {
	switch {
	case strings.EqualFold(key, "rev"):
		err = p.decoder.Decode(&p.version)
	case strings.EqualFold(key, "all"):
		err = p.decoder.Decode(&p.complete)
	case strings.EqualFold(key, "targets"):
		return p.parseEntries()
	default:
		err = p.decoder.Decode(&ignoredValue{})
	}
	if err != nil {
		return fmt.Errorf("list: %s: %w", key, err)
	}
	return nil
}

// parseEntries parses the value of targets, which may be null.
func (p *listParser) parseEntries() error {
	p.entries, p.seen = nil, map[string]bool{}
	open, err := p.decoder.Token()
	switch {
	case err != nil:
		return fmt.Errorf("list: targets: %w", err)
	case open == nil:
		return nil
	case open != json.Delim('['):
		return fmt.Errorf("list: targets: got %v instead of an array", open)
	}
	for p.decoder.More() {
		if err := p.parseEntry(); err != nil {
			return fmt.Errorf("list: targets[%d]: %w", len(p.entries), err)
		}
	}
	return p.expectDelim(']')
}

// parseEntry parses one entry and rejects a duplicate uid.
func (p *listParser) parseEntry() error {
	var wire wireEntry
	if err := p.decoder.Decode(&wire); err != nil {
		return err
	}
	entry, err := wire.toListEntry()
	if err != nil {
		return err
	}
	if p.seen[entry.ID] {
		return fmt.Errorf("uid %q occurs twice", entry.ID)
	}
	p.seen[entry.ID] = true
	p.entries = append(p.entries, entry)
	return nil
}

// expectDelim reads a bracket or a brace.
func (p *listParser) expectDelim(want json.Delim) error {
	switch got, err := p.decoder.Token(); {
	case err != nil:
		return fmt.Errorf("list: %w", err)
	case got != want:
		return fmt.Errorf("list: got %v instead of %v", got, want)
	}
	return nil
}

// ignoredValue accepts any JSON value and stores nothing.
type ignoredValue struct{}

func (*ignoredValue) UnmarshalJSON([]byte) error { return nil }
