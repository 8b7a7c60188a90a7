package wire

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"basaltdrum/balancer"
)

var updateGolden = flag.Bool("update", false, "rewrite testdata/decoded.golden with the output of the current decoder")

// fullSettings has every key that package settings reads.
const fullSettings = `{"balancers":12,"me":3.0,"zone":"north","localities":["north","east"],"tier":1,` +
	`"blend":{"whole":0.7,"worst-class":0.3},"registry-mode":"on_request","tick-ms":2.5,` +
	`"limits":{"cancelling":true,"max-attempts":4,"max-retry-after-ms":1500.5,"retry-after":true},` +
	`"rules":{"ask-within-ms":800,"cold-from":0.25,"warm-after-ms":9000,"fall-multiple":1.5,"fall-ms":400},` +
	`"lanes":[{"name":"get","effect":"read_like","target-ms":200.25,"deadline-ms":900,"late-share":0.5,"worth":2},` +
	`{"name":"pay","effect":"idempotency_key","key-scope":"zone","window-ms":700,"deadline-ms":1200},` +
	`{"name":"put","effect":"idempotency_key","key-scope":"all"},` +
	`{"name":"set","effect":"idempotency_key","key-scope":"cell"},` +
	`{"name":"post","effect":"non_idempotent","key-scope":"odd"}],"unknown":{"key":[1]}}`

const inInstance = "sync\t1\nabout\t7\n" // starts a batch and selects instance 7

// corpus holds at least one input for each message, each form of a value and each error of the decoder.
var corpus = []struct{ name, input string }{
	{"empty input", ""},
	{"empty batches", "sync\t8412.25\neob\n\r\nsync\t8413\r\neob\r\n"},
	{"two instances", "sync\t-5\nabout\t0\nring\tsweep\nabout\t5\nring\tr:1\neob\nsync\t6\nabout\t5\nring\tr:2\neob\n"},
	{"hello", inInstance + "hello\t18446744073709551615\t" + fullSettings + "\neob\n"},
	{"hello, negative seed, tab in the settings", inInstance + "hello\t-3\t{\"zone\":\t\"a\"}\neob\n"},
	{"hello, invalid counts", inInstance +
		`hello	1	{"balancers":-1,"me":1.5,"tier":3e9,` +
		`"limits":{"max-retry-after-ms":9},"lanes":[{"effect":"?"}]}` +
		"\neob\n"},
	{"crash", inInstance + "crash_now\neob\n"},
	{"lists", inInstance + "list\t0\t3\n" +
		"item\ts:1\tz\tk\t4\t2\t1.5\t6100.5\nitem\ts:2\tz\tk\t5\t0\t-\t-\nitem\ts:3\tz\tk\t6\t1\n" +
		"announce\t0\t0\t41\nlist\t15\t0\nannounce\t1\t15\t42\nannounce\t2\t0\t43\n" +
		"list\t0\t1\nitem\ts:4\tz\tk\t-1\t2\t0\t0\n" +
		"announce\t2\t0\t44\nannounce\t1\t9\t44\nannounce\t3\t-\t-\neob\n"},
	{"requests", inInstance + "job_in\tid\t8652.25\t-\tget\t3\t-\t12.0\njob_in\tid2\t90\t7\tget\t2\tacme\t12.0\n" +
		"job_in\tid3\t90\t7\tget\t5\tacme\t-\njob_in\tid4\t90\t7\tget\neob\n"},
	{"outcomes", inInstance + "outcome\tid\ts:1\t18.5\t1\t0\tsuccess\tbusy_reqs:3,odd:1\n" +
		"outcome\tid\ts:1\t18.5\t0\t1\tfailure\tsvc_ms:2.25\noutcome\tid\ts:1\t0\t0\t2\toverloaded\t-\n" +
		"outcome\tid\ts:1\t0\t0\t3\ttimed_out\n" +
		"outcome\tid\ts:1\t0\t0\t4\tunreachable\t-\noutcome\tid\ts:1\t0\t0\t5\tbroken\t-\n" +
		"outcome\tid\ts:1\t0\t0\t6\twithdrawn\t-\noutcome\tid\ts:1\t0\t0\t7\tvoid\t-\neob\n"},
	{"other events", inInstance + "timed_out_client\tid\nflowing\tid\ts:1\t9.25\t2\nchecked\tx\nmail\ty\neob\n"},

	{"message outside a batch", "\neob\n"},
	{"unknown message outside a batch", strings.Repeat("x", 50) + "\n"},
	{"sync inside a batch", "sync\t1\nsync\t2\n"},
	{"event before any about", "sync\t1\nring\ta\n"},
	{"event before any about of its batch", inInstance + "eob\nsync\t2\nhello\t1\t{}\n"},
	{"unknown message", inInstance + "huh\t1\n"},
	{"input ends after the start of a batch", "sync\t1\n"},
	{"input ends inside a line", inInstance + "ring\ta"},
	{"input ends inside the first line", "sync"},
	{"sync without a time", "sync\n"},
	{"sync, malformed time", "sync\tx\n"},
	{"sync, not a number", "sync\tNaN\n"},
	{"sync, too large", "sync\t1e13\n"},
	{"about without an instance", "sync\t1\nabout\t-\n"},
	{"about, instance not an integer", "sync\t1\nabout\t1.5\n"},
	{"about, negative instance", "sync\t1\nabout\t-2\n"},
	{"hello without settings", inInstance + "hello\t5\n"},
	{"hello, malformed seed", inInstance + "hello\tx\t{}\n"},
	{"hello, malformed settings", inInstance + "hello\t5\t{bad\n"},
	{"hello, setting of the wrong type", inInstance + `hello	5	{"tick-ms":"2"}` + "\n"},
	{"list, malformed number", "sync\t1\nlist\tx\t1\n"},
	{"list number out of range", "sync\t1\nlist\t16\t0\n"},
	{"list length out of range", "sync\t1\nlist\t0\t-1\n"},
	{"list is truncated", "sync\t1\nlist\t0\t2\nitem\ta\tz\tk\t4\t2\n"},
	{"list is truncated inside a line", "sync\t1\nlist\t0\t2\nitem\ta\tz\tk\t4\t2\nitem"},
	{"list contains another message", "sync\t1\nlist\t0\t2\nitem\ta\tz\tk\t4\t2\neob\n"},
	{"item without a cell", "sync\t1\nlist\t0\t1\nitem\ta\tb\n"},
	{"item, invalid state", "sync\t1\nlist\t0\t1\nitem\ta\tz\tk\t4\t3\n"},
	{"item, invalid capacity", "sync\t1\nlist\t0\t1\nitem\ta\tz\tk\t4\t2\t-1\n"},
	{"item, malformed start time", "sync\t1\nlist\t0\t1\nitem\ta\tz\tk\t4\t2\t1\tx\n"},
	{"announce, invalid mode", inInstance + "announce\t9\t0\t0\n"},
	{"announce without a mode", inInstance + "announce\n"},
	{"announce, list number out of range", inInstance + "announce\t1\t16\t0\n"},
	{"announce, negative list number", inInstance + "announce\t1\t-1\t0\n"},
	{"job_in without a deadline", inInstance + "job_in\ta\n"},
	{"job_in without a class", inInstance + "job_in\ta\t1\t-\t-\t0\n"},
	{"job_in, malformed bits", inInstance + "job_in\ta\t1\t-\tget\tx\n"},
	{"job_in, malformed work", inInstance + "job_in\ta\t1\t-\tget\t1\t-\tx\n"},
	{"outcome, unknown result", inInstance + "outcome\tid\ts:1\t0\t0\t0\tlost\t-\n"},
	{"outcome, malformed load report", inInstance + "outcome\tid\ts:1\t0\t0\t0\tsuccess\tbusy_reqs\n"},
	{"outcome, malformed attempt", inInstance + "outcome\tid\ts:1\t0\t0\tx\tsuccess\t-\n"},
	{"ring without a token", inInstance + "ring\t\n"},
	{"timed_out_client without an id", inInstance + "timed_out_client\n"},
	{"flowing without an attempt", inInstance + "flowing\tid\ts:1\t9.25\n"},
}

// TestCorpusDecodesAsRecorded guards against unintended changes of the decoder: it compares all messages and errors of
// the corpus with the golden file, which was first recorded before the decoder was split into several files.
func TestCorpusDecodesAsRecorded(t *testing.T) {
	var got bytes.Buffer
	for _, entry := range corpus {
		fmt.Fprintf(&got, "# %s\n", entry.name)
		messages, err := decodeAll(t, entry.input)
		for _, m := range messages {
			fmt.Fprintln(&got, describe(m))
		}
		if err != nil {
			fmt.Fprintf(&got, "error: %v\n", err)
		}
	}
	path := filepath.Join("testdata", "decoded.golden")
	if *updateGolden {
		if err := os.WriteFile(path, got.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	gotLines, wantLines := strings.Split(got.String(), "\n"), strings.Split(string(want), "\n")
	for i := range max(len(gotLines), len(wantLines)) {
		if i >= len(gotLines) || i >= len(wantLines) || gotLines[i] != wantLines[i] {
			t.Fatalf("line %d of %s differs; got from there on:\n%s",
				i+1, path, strings.Join(gotLines[min(i, len(gotLines)):], "\n"))
		}
	}
}

// describe formats a message with words and in an order of its own, so that the golden file stays valid when the
// module's names change or its types get more fields.
func describe(m Message) string {
	event, values := describeEvent(m.Event)
	return fmt.Sprintf("%v, instance %d, now %v, seed %d, settings %v, %s %v",
		m.Kind, m.Instance, m.Now, m.Seed, describeSettings(m.Settings), event, values)
}

func describeEvent(event balancer.Event) (name string, values []any) {
	switch e := event.(type) {
	case nil:
		return "no event", nil
	case balancer.EndpointUpdate:
		values = []any{e.Complete, e.Cached}
		for _, s := range e.Endpoints {
			values = append(values, []any{s.ID, s.Zone, s.Cell, int(s.State), s.Capacity, s.StartedAt})
		}
		return "endpoint list", values
	case balancer.SubscriptionFailed:
		return "list failed", nil
	case balancer.Request:
		return "request", []any{e.ID, e.Class, e.Deadline, e.ExpectedWork, e.Retry}
	case balancer.Timer:
		return "timer", []any{e.Token}
	case balancer.AttemptEnded:
		values = []any{e.ID, e.Attempt, e.Endpoint, int(e.Result), e.Latency, e.Answered, e.DelayedByHost}
		if e.Load != nil {
			values = append(values, []any{e.Load.InFlight, e.Load.ServiceTime})
		}
		return "attempt ended", values
	case balancer.ClientGone:
		return "client gone", []any{e.ID}
	case balancer.StreamStarted:
		return "stream started", []any{e.ID, e.Attempt}
	}
	return "unexpected event", nil
}

func describeSettings(s balancer.Settings) []any {
	if reflect.ValueOf(s).IsZero() {
		return nil
	}
	values := []any{
		s.Replicas, s.ReplicaIndex, s.Tier, s.Zone, s.ZoneCount, s.TotalWeight, s.WorstClassWeight,
		s.MaxAttempts, s.AllowCancel, s.PollDiscovery, s.PollWithin, s.Tick, s.MaxRetryAfter,
		s.SlowStartFloor, s.SlowStartDuration, s.OverloadMultiple, s.OverloadWindow,
	}
	for _, c := range s.Classes {
		values = append(values, []any{
			c.Name, int(c.Effect), int(c.Scope), c.DedupWindow, c.LatencyObjective, c.Deadline, c.LateValue,
			c.PriorityWeight,
		})
	}
	return values
}
