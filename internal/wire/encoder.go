package wire

import (
	"fmt"
	"io"
	"strconv"
	"time"

	"basaltdrum/balancer"
)

// Encoder writes replies. It buffers each until Flush, so that a reply is written completely or not at all.
type Encoder struct {
	writer   io.Writer
	reply    []byte
	instance int // of the action added last, or noInstance at the start of a reply
}

// NewEncoder returns an Encoder that writes to w.
func NewEncoder(w io.Writer) *Encoder {
	return &Encoder{writer: w, instance: noInstance}
}

// AddAction adds one action of an instance to the reply.
func (e *Encoder) AddAction(instance int, action balancer.Action) {
	if instance != e.instance {
		e.addLine("instance", strconv.Itoa(instance))
		e.instance = instance
	}
	switch a := action.(type) {
	case balancer.Send:
		e.addLine("forward", a.ID, a.Endpoint, milliseconds(a.Timeout))
	case balancer.Cancel:
		e.addLine("retract", a.ID, strconv.Itoa(a.Attempt))
	case balancer.Reject:
		e.addLine("turn_away", a.ID, milliseconds(a.RetryAfter))
	case balancer.Fail:
		e.addLine("report_failure", a.ID)
	case balancer.SetTimer:
		e.addLine("remind", milliseconds(a.At), a.Token)
	case balancer.Subscribe:
		e.addLine("subscribe", "1")
	}
}

// Flush ends the reply and writes it in one call of the writer, whose error it wraps. The next action starts
// another reply.
func (e *Encoder) Flush() error {
	e.addLine("yield")
	_, err := e.writer.Write(e.reply)
	e.reply = e.reply[:0]
	e.instance = noInstance
	if err != nil {
		return fmt.Errorf("write a reply: %w", err)
	}
	return nil
}

// addLine adds one line to the reply: a name and its values, separated by tabs.
func (e *Encoder) addLine(name string, values ...string) {
	e.reply = append(e.reply, name...)
	for _, v := range values {
		e.reply = append(e.reply, '\t')
		e.reply = append(e.reply, v...)
	}
	e.reply = append(e.reply, '\n')
}

// milliseconds formats a time in milliseconds, with as many decimals as necessary.
func milliseconds(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', -1, 64)
}
