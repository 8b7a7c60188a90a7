package wire

import (
	"fmt"
	"strings"

	"basaltdrum/balancer"
	"basaltdrum/internal/settings"
)

// decodeEvent decodes a message that carries an event for an instance. The comments of the functions below list the
// values of each message in order.
func (d *Decoder) decodeEvent(f *fields) balancer.Event {
	switch f.message {
	case "announce":
		return d.decodeListUpdate(f)
	case "job_in":
		return decodeRequest(f)
	case "outcome":
		return decodeOutcome(f)
	case "flowing":
		return decodeStreamStarted(f)
	case "timed_out_client":
		return balancer.ClientGone{ID: f.text(0)}
	case "ring":
		return balancer.Timer{Token: f.text(0)}
	}
	f.failMessage(fmt.Errorf("%w %s", ErrUnknownMessage, quoteName(f.message)))
	return nil
}

// The modes of an announce message.
const (
	modeChanges  = 0 // the list holds only the entries that have changed
	modeComplete = 1
	modeCached   = 2 // a complete list, as the instance last had it before a restart
	modeFailed   = 3 // a subscription failed; there is no list
)

// decodeListUpdate decodes "announce MODE LIST VERSION".
func (d *Decoder) decodeListUpdate(f *fields) balancer.Event {
	mode := f.integer(0)
	switch mode {
	case modeFailed:
		return balancer.SubscriptionFailed{}
	case modeChanges, modeComplete, modeCached:
	default:
		f.fail(0, invalidValue("is not a mode"))
		return nil
	}
	number := f.integer(1)
	if number < 0 || number >= listCount {
		f.fail(1, errListNumber)
		return nil
	}
	return balancer.EndpointUpdate{
		Complete: mode != modeChanges, Cached: mode == modeCached, Endpoints: d.lists[number],
	}
}

// The bits of a job_in message's BITS.
const (
	bitExpectedWork = 1 << 0 // WORK is valid
	bitClientRetry  = 1 << 1 // the client marked the request as a retry
)

// decodeRequest decodes "job_in ID DEADLINE ITEM CLASS BITS TENANT WORK". The deadline is a clock time.
func decodeRequest(f *fields) balancer.Event {
	r := balancer.Request{ID: f.text(0), Deadline: f.time(1), Class: f.text(3)}
	bits := f.optionalInteger(4)
	r.Retry = bits&bitClientRetry != 0
	if bits&bitExpectedWork != 0 {
		r.ExpectedWork = f.optionalTime(6)
	}
	return r
}

// decodeOutcome decodes "outcome ID SERVER LATENCY ANSWERED ATTEMPT RESULT LOAD".
func decodeOutcome(f *fields) balancer.Event {
	return balancer.AttemptEnded{
		ID:       f.text(0),
		Endpoint: f.text(1),
		Latency:  f.time(2),
		Answered: f.text(3) == "1",
		Attempt:  f.integer(4),
		Result:   decodeResult(f, 5),
		Load:     decodeLoad(f, 6),
	}
}

// attemptResults maps the simulator's names of attempt results to those of the module.
var attemptResults = map[string]balancer.AttemptResult{
	"success":     balancer.Success,
	"failure":     balancer.ServerError,
	"overloaded":  balancer.Rejected,
	"timed_out":   balancer.TimedOut,
	"unreachable": balancer.ConnectFailed,
	"broken":      balancer.ConnectionLost,
	"withdrawn":   balancer.Cancelled,
	"void":        balancer.NotSent,
}

func decodeResult(f *fields, position int) balancer.AttemptResult {
	result, ok := attemptResults[f.text(position)]
	if !ok {
		f.fail(position, invalidValue("is not the result of an attempt"))
	}
	return result
}

// notReported is the value of a LoadReport field for which the report has no pair.
const notReported = -1

// decodeLoad decodes a load report: NAME:VALUE pairs, separated by commas. It ignores unknown names, and returns nil
// if there is no report.
func decodeLoad(f *fields, position int) *balancer.LoadReport {
	text := f.optionalText(position)
	if text == "" {
		return nil
	}
	load := &balancer.LoadReport{InFlight: notReported, ServiceTime: notReported}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(pair, ":")
		number, ok := parseNumber(value)
		if !ok {
			f.fail(position, invalidValue("is not a load report"))
			return nil
		}
		switch name {
		case "busy_reqs":
			load.InFlight = number
		case "svc_ms":
			load.ServiceTime = settings.Milliseconds(number)
		}
	}
	return load
}

// decodeStreamStarted decodes "flowing ID SERVER LATENCY ATTEMPT".
func decodeStreamStarted(f *fields) balancer.Event {
	return balancer.StreamStarted{ID: f.text(0), Attempt: f.integer(3)}
}
