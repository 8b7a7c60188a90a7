package wire

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"basaltdrum/balancer"
)

func TestEncode(t *testing.T) {
	var out bytes.Buffer
	e := NewEncoder(&out)
	e.AddAction(3, balancer.Send{ID: "a", Endpoint: "s", Timeout: 80500 * time.Microsecond})
	e.AddAction(3, balancer.Cancel{ID: "a", Attempt: 1})
	e.AddAction(5, balancer.Reject{ID: "b"})
	if err := e.Flush(); err != nil {
		t.Fatal(err)
	}
	want := "instance\t3\nforward\ta\ts\t80.5\nretract\ta\t1\ninstance\t5\nturn_away\tb\t0\nyield\n"
	if out.String() != want {
		t.Fatalf("got %q, want %q", out.String(), want)
	}
}

// Each action is one line of the reply, below a line with its instance.
func TestEncodeReplies(t *testing.T) {
	var out bytes.Buffer
	e := NewEncoder(&out)
	reply := func(instance int, actions ...balancer.Action) {
		for _, a := range actions {
			e.AddAction(instance, a)
		}
	}
	flush := func() {
		if err := e.Flush(); err != nil {
			t.Fatal(err)
		}
	}
	flush()
	reply(0, balancer.Subscribe{}, balancer.Fail{ID: "a"},
		balancer.SetTimer{At: 8912250 * time.Microsecond, Token: "r:a"})
	reply(3, balancer.Send{ID: "b", Endpoint: "10.0.0.1:7", Timeout: 1}, balancer.Send{ID: "c", Endpoint: "s"},
		balancer.Cancel{ID: "b", Attempt: 2}, balancer.Reject{ID: "d", RetryAfter: 1234567 * time.Nanosecond})
	flush()
	reply(3, balancer.Send{ID: "e", Endpoint: "s", Timeout: -time.Millisecond, NotAfter: 5})
	reply(0, balancer.Reject{ID: "f"})
	reply(3, balancer.SetTimer{At: 1e18, Token: "t"})
	flush()
	const want = "yield\n" +
		"instance\t0\nsubscribe\t1\nreport_failure\ta\nremind\t8912.25\tr:a\n" +
		"instance\t3\nforward\tb\t10.0.0.1:7\t0.000001\nforward\tc\ts\t0\nretract\tb\t2\n" +
		"turn_away\td\t1.234567\nyield\n" +
		"instance\t3\nforward\te\ts\t-1\ninstance\t0\nturn_away\tf\t0\ninstance\t3\nremind\t1000000000000\tt\nyield\n"
	if out.String() != want {
		t.Fatalf("got  %q\nwant %q", out.String(), want)
	}
}

// failingWriter fails all writes and counts them.
type failingWriter struct {
	err   error
	calls int
}

func (w *failingWriter) Write([]byte) (int, error) {
	w.calls++
	return 0, w.err
}

func TestFlushWritesOnceAndWrapsTheError(t *testing.T) {
	w := &failingWriter{err: errors.New("broken")}
	e := NewEncoder(w)
	for range 10_000 {
		e.AddAction(1, balancer.Subscribe{})
	}
	if w.calls != 0 {
		t.Errorf("got %d writes before Flush, want none", w.calls)
	}
	if err := e.Flush(); !errors.Is(err, w.err) || w.calls != 1 {
		t.Errorf("Flush returned %v after %d writes, want the writer's error after one", err, w.calls)
	}
}
