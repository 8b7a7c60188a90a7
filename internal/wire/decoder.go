package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"

	"basaltdrum/balancer"
	"basaltdrum/internal/settings"
)

const (
	// listCount is how many endpoint lists the simulator numbers, from 0.
	listCount = 16
	// readBufferSize is in bytes. Batches run to megabytes, of lines that may be long as well.
	readBufferSize = 1 << 20
)

// Decoder reads messages one at a time. It keeps the state between lines: whether a batch has
// begun, the instance that events are for, and the endpoint lists that events refer to by number.
type Decoder struct {
	reader   *bufio.Reader
	line     int // number of the line read last
	inBatch  bool
	instance int
	lists    [listCount][]balancer.Endpoint
}

// NewDecoder returns a Decoder that reads r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{reader: bufio.NewReaderSize(r, readBufferSize), instance: noInstance}
}

// Next returns the next message. It returns io.EOF when the input ends between two batches, and a *ParseError
// for anything else that ends or breaks the input. A Decoder is of no use after an error.
func (d *Decoder) Next() (Message, error) {
	for {
		line, err := d.readLine()
		if errors.Is(err, io.EOF) && !d.inBatch {
			return Message{}, io.EOF
		}
		if err != nil {
			return Message{}, &ParseError{Line: d.line + 1, Err: truncation(err)}
		}
		if line == "" {
			continue
		}
		m, complete, err := d.decode(line)
		if err != nil {
			return Message{}, err
		}
		if complete {
			return m, nil
		}
	}
}

// readLine returns the next line without its end. It returns io.EOF at the end of the input, and
// io.ErrUnexpectedEOF for a last line that does not end.
func (d *Decoder) readLine() (string, error) {
	line, err := d.reader.ReadString('\n')
	if errors.Is(err, io.EOF) && line != "" {
		return "", io.ErrUnexpectedEOF
	}
	if err != nil {
		return "", err
	}
	d.line++
	return strings.TrimRight(line, "\r\n"), nil
}

// truncation replaces the two errors that an end of the input has by the protocol's error.
func truncation(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return ErrTruncated
	}
	return err
}

// decode decodes one line. Some lines only change the Decoder's state and do not complete a message.
func (d *Decoder) decode(line string) (m Message, complete bool, err error) {
	name, values, _ := strings.Cut(line, "\t")
	f := newFields(d.line, name, values)
	if err := d.checkOrder(name); err != nil {
		f.failMessage(err)
		return Message{}, false, f.err
	}
	m = Message{Kind: InstanceEvent, Instance: d.instance}
	complete = true
	switch name {
	case "sync":
		m.Kind, m.Now = BatchStart, f.time(0)
		d.inBatch, d.instance = true, noInstance
	case "eob":
		m.Kind = BatchEnd
		d.inBatch = false
	case "about":
		d.instance = decodeInstance(f)
		complete = false
	case "list":
		d.readList(f)
		complete = false
	case "hello":
		m.Kind = InstanceStart
		m.Seed, m.Settings = decodeStart(f, values)
	case "crash_now":
		m.Kind = InstanceStop
	case "checked", "mail":
		m.Kind = Ignored
	default:
		m.Event = d.decodeEvent(f)
	}
	return m, complete, f.err
}

// checkOrder checks that a message may come here: in a batch, and after its instance was selected.
func (d *Decoder) checkOrder(name string) error {
	switch {
	case name == "sync" && d.inBatch:
		return ErrNestedBatch
	case name != "sync" && !d.inBatch:
		return fmt.Errorf("%s %w", quote(name), ErrOutsideBatch)
	}
	switch name {
	case "sync", "eob", "about", "list":
		return nil
	}
	if d.instance == noInstance {
		return fmt.Errorf("%s %w", quote(name), ErrNoInstance)
	}
	return nil
}

// decodeInstance decodes about INSTANCE.
func decodeInstance(f *fields) int {
	instance := f.integer(0)
	if instance < 0 {
		f.fail(0, invalidValue("is negative"))
	}
	return instance
}

// decodeStart decodes hello SEED SETTINGS. The settings are the rest of the line, tabs included.
func decodeStart(f *fields, values string) (seed uint64, set balancer.Settings) {
	const settingsPosition = 1
	_, text, found := strings.Cut(values, "\t")
	if !found {
		f.fail(settingsPosition, ErrMissingValue)
		return 0, set
	}
	seed = f.seed(0)
	set, err := settings.Parse([]byte(text))
	if err != nil {
		f.failMessage(fmt.Errorf("hello: %w", err))
	}
	return seed, set
}
