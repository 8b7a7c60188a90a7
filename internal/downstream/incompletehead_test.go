package downstream

import (
	"errors"
	"io"
	"strings"
	"testing"

	"basaltdrum/internal/http1"
)

// Bytes of a head count until it is complete or its connection is closed. Hundreds of clients that send endless heads
// took the node over its memory limit, as they were not counted beside open requests.
func TestIncompleteHeadsAreCounted(t *testing.T) {
	const (
		part    = "GET /view/k HTTP/1.1\r\nX-Pad: 12345"
		rest    = "678\r\n\r\n"
		started = "GET /a HTTP/1.1\r\nA:1\r\nB"
	)
	conns := newTestConns(testLimits(100), 0)
	conn, client := connPair(t, conns, 0)
	for _, step := range []struct {
		name, sent string
		want       int
	}{
		{"a part of a head", part, http1.HeadMemory(len(part), 0)},
		{"its rest", rest, 0},
		{"a complete head and a part of the next", part + rest + started, http1.HeadMemory(len(started), 1)},
	} {
		io.WriteString(client, step.sent)
		if !readFull(conn, make([]byte, len(step.sent))) {
			t.Fatalf("%s: could not be read", step.name)
		}
		if got := conns.IncompleteHeadMemory(); got != int64(step.want) {
			t.Errorf("%s: got %d bytes, want %d", step.name, got, step.want)
		}
	}
	conn.Close()
	conn.scan([]byte(started)) // the result of a read that was in progress
	if got := conns.IncompleteHeadMemory(); got != 0 {
		t.Errorf("after the close: got %d bytes, want 0", got)
	}
}

// While incomplete heads hold more memory than all of them may, long ones are rejected, and short ones are read on.
// Otherwise hundreds of clients that send heads without end would take the node over its memory limit.
func TestLongHeadsAreRejectedWithoutMemory(t *testing.T) {
	const (
		start = "GET /view/k HTTP/1.1\r\nX-Pad: "
		end   = "\r\n\r\n"
	)
	limits := testLimits(100)
	limits.HeadMemory = unlimitedHeadMemory * 3 / 2
	conns := newTestConns(limits, 0)
	long, longClient := connPair(t, conns, 0)
	short, shortClient := connPair(t, conns, 0)
	send := func(conn *Conn, client io.Writer, text string) error {
		io.WriteString(client, text)
		_, err := io.ReadFull(conn, make([]byte, len(text)))
		return err
	}
	pad := strings.Repeat("x", unlimitedHeadMemory*3/4)
	if err := send(long, longClient, start+pad); err != nil {
		t.Fatalf("a part of the long head: %v, want it read as there is memory", err)
	}
	if err := send(short, shortClient, start); err != nil {
		t.Fatalf("a part of the short head: %v", err)
	}
	if err := send(long, longClient, pad); !errors.As(err, new(http1.FramingError)) {
		t.Errorf("the rest of the long head: %v, want it rejected", err)
	}
	if err := send(short, shortClient, end); err != nil {
		t.Errorf("the rest of the short head: %v, want it read", err)
	}
	long.Close()
	if err := send(short, shortClient, start+pad[:unlimitedHeadMemory/2]); err != nil {
		t.Errorf("the start of a long head: %v, want it read as there is memory again", err)
	}
	if err := send(short, shortClient, end); err != nil {
		t.Errorf("the rest of a long head: %v, want it read as there is memory again", err)
	}
}
