package downstream

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"basaltdrum/internal/testutil"
)

// The watch finds out that a client departs, whatever it has pipelined before, unless that is more than is buffered.
// After the end of the stream, an interim response tells a client that still reads from one that has closed.
func TestWatchFindsDepartures(t *testing.T) {
	nothing := func(*net.TCPConn) {}
	closed := func(client *net.TCPConn) { client.Close() }
	halfClosed := func(client *net.TCPConn) { client.CloseWrite() }
	reset := func(client *net.TCPConn) {
		client.SetLinger(0)
		client.Close()
	}
	for _, row := range []struct {
		name      string
		pipelined int // bytes
		depart    func(client *net.TCPConn)
		want      Departure
	}{
		{"half-close", 0, halfClosed, HalfClosed},
		{"half-close behind pipelined bytes", 3 * minReadAheadBytes, halfClosed, HalfClosed},
		{"close", 0, closed, Disconnected},
		{"close behind pipelined bytes", 3 * minReadAheadBytes, closed, Disconnected},
		{"reset", 0, reset, Disconnected},
		{"reset behind pipelined bytes", 3 * minReadAheadBytes, reset, Disconnected},
		{"more than may be buffered", 2 * maxReadAheadBytes, nothing, Unobservable},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			checkDeparture(t, row.pipelined, row.depart, row.want)
		})
	}
}

// checkDeparture has a client pipeline a number of bytes and depart, and checks what the watch finds.
func checkDeparture(t *testing.T, pipelined int, depart func(client *net.TCPConn), want Departure) {
	t.Helper()
	conns := newTestConns(testLimits(10), 0)
	conn, client := connPair(t, conns, 0)
	watchEnded := watch(conns, conn)
	if conn.AwaitCaughtUp() != Present {
		t.Fatal("departed before the client did anything")
	}
	io.WriteString(client, strings.Repeat("x", pipelined))
	if pipelined <= maxReadAheadBytes {
		buffered := func() bool { return conn.status().ReadAhead == pipelined }
		testutil.Until(t, "the bytes to be read", buffered)
	}
	depart(client.(*net.TCPConn))
	testutil.Wait(t, conn.DepartureChanged(), "the departure")
	if conn.Departure() == HalfClosed {
		conn.SendInterimResponse(testutil.Timeout)
	}
	testutil.Until(t, want.String(), func() bool { return conn.Departure() == want })
	conn.StopDepartureWatch()
	testutil.Wait(t, watchEnded, "the end of the watch")
	if conn.Departure() != want {
		t.Errorf("%v after the watch, want %v", conn.Departure(), want)
	}
	conns.ConnStateChanged(conn, http.StateClosed)
	if reserved := conns.ReadAheadReserved(); reserved != 0 {
		t.Errorf("%d bytes are reserved for a connection that is closed", reserved)
	}
}

// A watch that is ended reports nothing about its client, and what was pipelined is read as the next request.
func TestEndedWatchKeepsPipelinedBytes(t *testing.T) {
	conns := newTestConns(testLimits(10), 0)
	conn, client := connPair(t, conns, 0)
	watchEnded := watch(conns, conn)
	next := testutil.RequestText("next")
	io.WriteString(client, next)
	testutil.Until(t, "the bytes to be read", func() bool { return conn.status().ReadAhead == len(next) })
	if !conn.StopDepartureWatch() {
		t.Error("the pipelined request was not read")
	}
	testutil.Wait(t, watchEnded, "the end of the watch")
	if conn.Departure() != Present {
		t.Errorf("departed: %v", conn.Departure())
	}
	conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	if text := make([]byte, len(next)); !readFull(conn, text) || string(text) != next {
		t.Errorf("read %q", text)
	}
}

// watch opens a request on a connection and watches for its client's departure, as net/http does. The channel
// receives a value when the watch has ended.
func watch(conns *Conns, conn *Conn) <-chan struct{} {
	conns.ConnStateChanged(conn, http.StateNew)
	conns.ConnStateChanged(conn, http.StateActive)
	conns.AdmitRequest(conn)
	ended := make(chan struct{}, 1)
	go func() {
		conn.Read(make([]byte, 1))
		ended <- struct{}{}
	}()
	return ended
}

// Of two observations the greater holds, and only a greater one is reported. The next request begins with what is
// known, but for a buffer that was full.
func TestDepartureWatchKeepsTheGreatestObservation(t *testing.T) {
	for _, row := range []struct {
		name            string
		first, second   Departure
		reported        bool // the second one
		known, nextTime Departure
	}{
		{"nothing seen", Present, Present, false, Present, Present},
		{"half-closed", Present, HalfClosed, true, HalfClosed, HalfClosed},
		{"disconnected", Present, Disconnected, true, Disconnected, Disconnected},
		{"buffer full", Present, Unobservable, true, Unobservable, Present},
		{"half-closed, then disconnected", HalfClosed, Disconnected, true, Disconnected, Disconnected},
		{"half-closed twice", HalfClosed, HalfClosed, false, HalfClosed, HalfClosed},
		{"disconnected, then half-closed", Disconnected, HalfClosed, false, Disconnected, Disconnected},
		{"half-closed, then buffer full", HalfClosed, Unobservable, false, HalfClosed, HalfClosed},
		{"buffer full, then half-closed", Unobservable, HalfClosed, true, HalfClosed, HalfClosed},
	} {
		t.Run(row.name, func(t *testing.T) {
			var w departureWatch
			w.start()
			w.observe(row.first)
			select {
			case <-w.changed:
			default:
			}
			w.observe(row.second)
			if reported := len(w.changed) > 0; reported != row.reported || w.departure != row.known {
				t.Errorf("%v, reported: %v, want %v and %v", w.departure, reported, row.known, row.reported)
			}
			if w.start(); w.departure != row.nextTime {
				t.Errorf("%v as the next request begins, want %v", w.departure, row.nextTime)
			}
		})
	}
}

// Each request has a watch of its own to wait for; a change that its handler has not received stays to be received.
func TestDepartureWatchBeginsAnew(t *testing.T) {
	var w departureWatch
	w.start()
	w.markCaughtUp()
	w.markCaughtUp() // as a watch that ends after it has caught up
	if !isClosed(w.caughtUp) {
		t.Error("not caught up")
	}
	close(w.ended)
	w.observe(HalfClosed)
	w.observe(Disconnected)
	w.start()
	if isClosed(w.caughtUp) || isClosed(w.ended) {
		t.Error("the next request's watch has caught up or ended before it began")
	}
	if len(w.changed) != 1 {
		t.Errorf("%d changes to be received, want 1", len(w.changed))
	}
}
