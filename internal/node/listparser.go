package node

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/netip"
	"strings"

	"balancer"
)

// list is what discovery tells: the complete list of servers, or the entries that changed.
type endpointList struct {
	version  int64
	complete bool
	entries  []listEntry
}

// target is an entry of a list: the module's view of a server, where it listens, and when it last started.
type listEntry struct {
	balancer.Endpoint // its Boot is set by the loop
	address           string
	bootMS            float64 // as listed: Unix time in milliseconds; 0: long ago
}

func (t listEntry) instance() endpointInstance { return endpointInstance{t.ID, t.address, t.bootMS} }

var states = map[string]balancer.EndpointState{
	"in_service": balancer.Ready, "terminating": balancer.Draining, "terminated": balancer.Removed,
}

// listEntry is an entry of a list as discovery writes it.
type wireEntry struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Cell     float64 `json:"pod_group"`
	State    string  `json:"state"`
	Size     float64 `json:"capacity_hint"`
	Boot     float64 `json:"boot_ms"`
}

// target checks an entry and converts it.
func (e *wireEntry) toListEntry() (listEntry, error) {
	state, ok := states[e.State]
	_, err := netip.ParseAddrPort(e.Endpoint)
	switch {
	case e.UID == "":
		return listEntry{}, errors.New("uid is empty")
	case !ok:
		return listEntry{}, fmt.Errorf("unknown state %q", e.State)
	case err != nil && state != balancer.Removed:
		return listEntry{}, err
	case !(e.Size >= 0 && e.Size <= 1e12) || !(e.Boot >= 0 && e.Boot <= 1e13) || !(math.Abs(e.Cell) <= 1e9):
		return listEntry{}, errors.New("capacity_hint, boot_ms or pod_group is out of range")
	}
	return listEntry{address: e.Endpoint, bootMS: e.Boot, Endpoint: balancer.Endpoint{
		ID: e.UID, Zone: e.Zone,
		Cell: int(e.Cell), State: state, Capacity: e.Size,
	}}, nil
}

// listParser reads one list entry by entry, so that neither its text nor its entries are held twice. Keys come in
// any order and any case, and the last of equal ones counts, as with json.Unmarshal.
type listParser struct {
	decoder     *json.Decoder
	version     *int64
	complete    *bool
	entriesRead []listEntry
	seen        map[string]bool // the uids of targets
}

// parseList reads a list that is in memory.
func parseList(text []byte) (endpointList, error) { return readList(bytes.NewReader(text)) }

// readList reads a list to the end of its text. A malformed one is dropped: a part of a list would look as if the
// rest had gone.
func readList(text io.Reader) (endpointList, error) {
	p := listParser{decoder: json.NewDecoder(text)}
	if err := p.parse(); err != nil {
		return endpointList{}, err
	}
	if p.version == nil || p.complete == nil {
		return endpointList{}, fmt.Errorf("list: rev or all is missing")
	}
	return endpointList{version: *p.version, complete: *p.complete, entries: p.entriesRead}, nil
}

func (p *listParser) parse() error {
	if err := p.delim('{'); err != nil {
		return err
	}
	for p.decoder.More() {
		key, err := p.decoder.Token()
		if err != nil {
			return fmt.Errorf("list: %w", err)
		}
		if err := p.field(key.(string)); err != nil {
			return err
		}
	}
	if err := p.delim('}'); err != nil {
		return err
	}
	switch _, err := p.decoder.Token(); {
	case errors.Is(err, io.EOF):
		return nil
	case err != nil:
		return fmt.Errorf("list: after its end: %w", err)
	}
	return errors.New("list: something follows its end")
}

// field reads the value of a key of the list.
func (p *listParser) field(key string) (err error) {
	switch {
	case strings.EqualFold(key, "rev"):
		err = p.decoder.Decode(&p.version)
	case strings.EqualFold(key, "all"):
		err = p.decoder.Decode(&p.complete)
	case strings.EqualFold(key, "targets"):
		return p.entries()
	default:
		err = p.decoder.Decode(&ignoredValue{})
	}
	if err != nil {
		return fmt.Errorf("list: %s: %w", key, err)
	}
	return nil
}

// entries reads the value of targets, which may be null.
func (p *listParser) entries() error {
	p.entriesRead, p.seen = nil, map[string]bool{}
	open, err := p.decoder.Token()
	switch {
	case err != nil:
		return fmt.Errorf("list: targets: %w", err)
	case open == nil:
		return nil
	case open != json.Delim('['):
		return fmt.Errorf("list: targets: got %v", open)
	}
	for p.decoder.More() {
		if err := p.entry(); err != nil {
			return fmt.Errorf("list: targets[%d]: %w", len(p.entriesRead), err)
		}
	}
	return p.delim(']')
}

func (p *listParser) entry() error {
	var e wireEntry
	if err := p.decoder.Decode(&e); err != nil {
		return err
	}
	t, err := e.toListEntry()
	if err != nil {
		return err
	}
	if p.seen[t.ID] {
		return fmt.Errorf("uid %q comes twice", t.ID)
	}
	p.seen[t.ID] = true
	p.entriesRead = append(p.entriesRead, t)
	return nil
}

// delim reads a bracket.
func (p *listParser) delim(want json.Delim) error {
	switch got, err := p.decoder.Token(); {
	case err != nil:
		return fmt.Errorf("list: %w", err)
	case got != want:
		return fmt.Errorf("list: got %v instead of %v", got, want)
	}
	return nil
}

// ignoredValue takes any value and keeps nothing.
type ignoredValue struct{}

func (*ignoredValue) UnmarshalJSON([]byte) error { return nil }

// listBody is the body of discovery's answer, up to maxList bytes. It notes why it could not be read to its end:
// to the parser that looks like a malformed list.
type listBody struct {
	limitedReader
	err error
}

func newListBody(body io.Reader) *listBody {
	return &listBody{limitedReader: limitedReader{Reader: body, left: maxListBytes + 1}}
}

func (b *listBody) Read(p []byte) (int, error) {
	n, err := b.limitedReader.Read(p)
	if b.left == 0 {
		return n, errResponseTooLong
	}
	if err != nil && !errors.Is(err, io.EOF) {
		b.err = err
	}
	return n, err
}
