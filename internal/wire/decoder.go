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
	// listCount is the number of endpoint lists that events can refer to, by numbers from 0.
	listCount = 16
	// readBufferBytes is large because batches reach megabytes and may contain long lines.
	readBufferBytes = 1 << 20
)

// Decoder reads messages one at a time. It keeps the state between lines: whether a batch has
// started, the instance that events are for, and the endpoint lists that events refer to by number.
type Decoder struct {
	reader   *bufio.Reader
	line     int // number of the line read last, from 1
	inBatch  bool
	instance int // selected by the last about of the batch, or noInstance
	lists    [listCount][]balancer.Endpoint
}

// NewDecoder returns a Decoder that reads r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{reader: bufio.NewReaderSize(r, readBufferBytes), instance: noInstance}
}

// Next returns the next message. It returns io.EOF when the input ends between two batches, and a *ParseError
// for any other end of the input, for a read error and for invalid input. A Decoder must not be used after an error.
func (d *Decoder) Next() (Message, error) {
	for {
		line, err := d.readLine()
		if errors.Is(err, io.EOF) && !d.inBatch {
			return Message{}, io.EOF
		}
		if err != nil {
			return Message{}, &ParseError{Line: d.line + 1, Err: replaceEOF(err)}
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

// readLine returns the next line without its line ending. It returns io.EOF at the end of the input, and
// io.ErrUnexpectedEOF for a last line without a line ending.
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

// replaceEOF returns ErrTruncated for the errors of readLine at the end of the input, and any other error unchanged.
func replaceEOF(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return ErrTruncated
	}
	return err
}

// decode decodes one line. Some lines only change the Decoder's state and complete no message.
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

// checkOrder returns an error for a message that is not allowed at this point: all but sync must be inside a batch,
// and a message for an instance must follow an about that selects it.
func (d *Decoder) checkOrder(name string) error {
	switch {
	case name == "sync" && d.inBatch:
		return ErrNestedBatch
	case name != "sync" && !d.inBatch:
		return fmt.Errorf("%s %w", quoteName(name), ErrOutsideBatch)
	}
	switch name {
	case "sync", "eob", "about", "list":
		return nil
	}
	if d.instance == noInstance {
		return fmt.Errorf("%s %w", quoteName(name), ErrNoInstance)
	}
	return nil
}

// decodeInstance decodes "about INSTANCE".
func decodeInstance(f *fields) int {
	instance := f.integer(0)
	if instance < 0 {
		f.fail(0, invalidValue("is negative"))
	}
	return instance
}

// decodeStart decodes "hello SEED SETTINGS". The settings are the rest of the line, including tabs.
func decodeStart(f *fields, values string) (seed uint64, parsed balancer.Settings) {
	const settingsPosition = 1
	_, text, found := strings.Cut(values, "\t")
	if !found {
		f.fail(settingsPosition, ErrMissingValue)
		return 0, parsed
	}
	seed = f.seed(0)
	parsed, err := settings.Parse([]byte(text))
	if err != nil {
		f.failMessage(fmt.Errorf("hello: %w", err))
	}
	return seed, parsed
}
