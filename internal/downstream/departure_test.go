package downstream

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"basaltdrum/internal/testutil"
)

// The watch detects a client's departure, whatever the client has pipelined before, unless that is more than is
// buffered. After a FIN, an interim response distinguishes a client that still reads from one that has closed.
func TestWatchDetectsDepartures(t *testing.T) {
	stayConnected := func(*net.TCPConn) {}
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
		{"half-close after pipelined bytes", 3 * minReadAheadBytes, halfClosed, HalfClosed},
		{"close", 0, closed, Disconnected},
		{"close after pipelined bytes", 3 * minReadAheadBytes, closed, Disconnected},
		{"reset", 0, reset, Disconnected},
		{"reset after pipelined bytes", 3 * minReadAheadBytes, reset, Disconnected},
		{"more than may be buffered", 2 * maxReadAheadBytes, stayConnected, Unobservable},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			checkDeparture(t, row.pipelined, row.depart, row.want)
		})
	}
}

// checkDeparture makes a client pipeline a number of bytes and depart, and checks what the watch observes.
func checkDeparture(t *testing.T, pipelined int, depart func(client *net.TCPConn), want Departure) {
	t.Helper()
	conns := newTestConns(testLimits(10), 0)
	conn, client := connPair(t, conns, 0)
	watchEnded := watch(conns, conn)
	if conn.AwaitCaughtUp() != Present {
		t.Fatalf("departure before the client did anything: %v, want %v", conn.Departure(), Present)
	}
	io.WriteString(client, strings.Repeat("x", pipelined))
	if pipelined <= maxReadAheadBytes {
		buffered := func() bool { return conn.status().ReadAhead == pipelined }
		testutil.Until(t, "reading the pipelined bytes", buffered)
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
		t.Errorf("departure after the watch: %v, want %v", conn.Departure(), want)
	}
	conns.ConnStateChanged(conn, http.StateClosed)
	if reserved := conns.ReadAheadReserved(); reserved != 0 {
		t.Errorf("%d bytes are reserved for a closed connection, want 0", reserved)
	}
}

// Stopping a watch records no departure, and the pipelined bytes are read as the next request.
func TestStoppedWatchKeepsPipelinedBytes(t *testing.T) {
	conns := newTestConns(testLimits(10), 0)
	conn, client := connPair(t, conns, 0)
	watchEnded := watch(conns, conn)
	next := testutil.RequestText("next")
	io.WriteString(client, next)
	testutil.Until(t, "reading the pipelined bytes", func() bool { return conn.status().ReadAhead == len(next) })
	if !conn.StopDepartureWatch() {
		t.Error("StopDepartureWatch reports no pipelined request, want one")
	}
	testutil.Wait(t, watchEnded, "the end of the watch")
	if conn.Departure() != Present {
		t.Errorf("departure after the watch: %v, want %v", conn.Departure(), Present)
	}
	conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	if text := make([]byte, len(next)); !readFull(conn, text) || string(text) != next {
		t.Errorf("read %q after the response, want %q", text, next)
	}
}

// watch opens a request on a connection and starts the watch for its client's departure, as net/http does. The channel
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

// Of two observations the greater one holds, and only an increase is reported. The next request starts with the
// departure observed so far, unless it is Unobservable.
func TestDepartureWatchKeepsTheGreatestObservation(t *testing.T) {
	for _, row := range []struct {
		name                   string
		first, second          Departure
		reported               bool // whether the second one is
		departure, nextRequest Departure
	}{
		{"no sign of a departure", Present, Present, false, Present, Present},
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
			if reported := len(w.changed) > 0; reported != row.reported || w.departure != row.departure {
				t.Errorf("departure %v, reported: %v; want %v, %v", w.departure, reported, row.departure, row.reported)
			}
			if w.start(); w.departure != row.nextRequest {
				t.Errorf("departure at the start of the next request: %v, want %v", w.departure, row.nextRequest)
			}
		})
	}
}

// Each request has its own watch to wait for. A change that the handler of the previous request has not received is
// kept for the next one.
func TestDepartureWatchStartsForEachRequest(t *testing.T) {
	var w departureWatch
	w.start()
	w.markCaughtUp()
	w.markCaughtUp() // a watch marks itself caught up again when it ends
	if !isClosed(w.caughtUp) {
		t.Error("caughtUp is not closed after markCaughtUp")
	}
	close(w.ended)
	w.observe(HalfClosed)
	w.observe(Disconnected)
	w.start()
	if isClosed(w.caughtUp) || isClosed(w.ended) {
		t.Error("the watch of the next request has caught up or ended before it started")
	}
	if len(w.changed) != 1 {
		t.Errorf("%d changes are pending, want 1", len(w.changed))
	}
}
