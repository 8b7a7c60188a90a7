package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"basaltdrum/balancer"
	"basaltdrum/internal/http1"
	"basaltdrum/internal/socketpeek"
	"basaltdrum/internal/testutil"
)

// Each response, or lack of one, has its attempt result, and leaves the connection in the pool or closes it.
func TestAttemptResults(t *testing.T) {
	for _, c := range []struct {
		name, answer string // "-": the server breaks the connection
		want         balancer.AttemptResult
		keeps        bool
	}{
		{"served", "200 OK\r\nContent-Length: 2\r\n\r\nok", balancer.Success, true},
		{"served in chunks", "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", balancer.Success, true},
		{"served and closed", "200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok", balancer.Success, false},
		{"served after 100", "100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", balancer.Success, true},
		{"error", "500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", balancer.ServerError, true},
		{"turned away", "503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", balancer.Rejected, true},
		{"turned away as over", "504 Gateway Timeout\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", balancer.Rejected, true},
		{"503 that may have run", "503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", balancer.ServerError, true},
		{"504 that may have run", "504 Gateway Timeout\r\nX-Not-Run: 0\r\nContent-Length: 0\r\n\r\n", balancer.ServerError, true},
		{"500 with the mark", "500 Internal Server Error\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", balancer.ServerError, true},
		{"turned away, the answer cut", "503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 9\r\n\r\ncut", balancer.ServerError, false},
		{"turned away without a length", "503 Service Unavailable\r\nX-Not-Run: 1\r\n\r\nno", balancer.ServerError, false},
		{"turned away with 3 GB", "503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 3000000000\r\n\r\nand so on", balancer.ServerError, false},
		{"turned away in spoilt chunks", "503 Service Unavailable\r\nX-Not-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", balancer.ServerError, false},
		{"reset", "-", balancer.ConnectionLost, false},
		{"cut head", "200 OK\r\nContent-Le", balancer.ConnectionLost, false},
		{"cut body", "200 OK\r\nContent-Length: 9\r\n\r\nok", balancer.ConnectionLost, false},
		{"cut chunks", "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", balancer.ConnectionLost, false},
		{"too long", fmt.Sprintf("200 OK\r\nContent-Length: %d\r\n\r\n%s", http1.MaxBodyBytes+1, strings.Repeat("x", http1.MaxBodyBytes+1)), balancer.ConnectionLost, false},
		{"said to be too long", "200 OK\r\nContent-Length: 3000000000\r\n\r\nand so on", balancer.ConnectionLost, false},
		{"an error said to be too long", "500 Internal Server Error\r\nContent-Length: 3000000000\r\n\r\nand so on", balancer.ServerError, false},
		{"a head too long", "200 OK\r\n" + strings.Repeat("X-Pad: pppp\r\n", maxResponseOverhead/10), balancer.ConnectionLost, false},
		{"a line too long", "200 OK\r\nX-Pad: " + strings.Repeat("p", 2*maxResponseOverhead), balancer.ConnectionLost, false},
		{"1xx without end", strings.Repeat("102 Processing\r\n\r\nHTTP/1.1 ", maxResponseOverhead/20), balancer.ConnectionLost, false},
		{"two lengths", "200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok", balancer.ConnectionLost, false},
		{"a negative length", "200 OK\r\nContent-Length: -2\r\n\r\nok", balancer.ConnectionLost, false},
		{"no status", "OK 200\r\nContent-Length: 2\r\n\r\nok", balancer.ConnectionLost, false},
		{"a line with no colon", "200 OK\r\nno colon\r\nContent-Length: 2\r\n\r\nok", balancer.ConnectionLost, false},
		{"spoilt chunks", "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\nzz\r\nok\r\n0\r\n\r\n", balancer.ConnectionLost, false},
		{"served, and noise behind", "200 OK\r\nContent-Length: 2\r\n\r\nok\xff\x00noise\r\n\r\n", balancer.Success, false},
		{"served twice", "200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", balancer.Success, false},
		{"served with a spoilt report", "200 OK\r\nX-Load: %%%\r\nX-Load: =,=\r\nContent-Length: 2\r\n\r\nok", balancer.Success, true},
		{"served after hints", "103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", balancer.Success, true},
		{"no HTTP", "what?\r\n\r\n", balancer.ConnectionLost, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := testutil.NewServer(t, func(conn net.Conn, r *http.Request, body string) bool {
				if c.answer == "-" {
					conn.(*net.TCPConn).SetLinger(0)
					return false
				}
				io.WriteString(conn, "HTTP/1.1 "+c.answer)
				if !c.keeps && !strings.Contains(c.name, "cut") {
					io.Copy(io.Discard, conn) // it stays open until the node closes it
				}
				return c.keeps
			})
			b := testPool(10)
			h := testInstance(b, s.Address())
			r := doAttempt(t, b, testAttempt(t, b, s.Address()))
			if r.result != c.want || c.want == balancer.Success && string(r.body) != "ok" {
				t.Errorf("ending %d, body %q; want %d", r.result, r.body, c.want)
			}
			b.mu.Lock()
			defer b.mu.Unlock()
			if kept := len(b.idle[h]) == 1; kept != c.keeps || b.open != len(b.idle[h]) {
				t.Errorf("kept %v, %d open; want kept %v", kept, b.open, c.keeps)
			}
		})
	}
}

// The end of the connection completes a response without a length only if the server closed it: a reset, the
// node's own close and a body that is too long do not. Its connection is never reused.
func TestResponsesWithoutALength(t *testing.T) {
	const plain, old = "HTTP/1.1 200 OK\r\n\r\nok", "HTTP/1.0 200 OK\r\n\r\nok"
	longest := strings.Repeat("x", http1.MaxBodyBytes)
	head := "HTTP/1.1 200 OK\r\nX-Pad: " + strings.Repeat("p", maxResponseOverhead-28) + "\r\n\r\n"
	if len(head) != maxResponseOverhead {
		t.Fatalf("the longest head has %d bytes, want %d", len(head), maxResponseOverhead)
	}
	for _, c := range []struct {
		name, answer, end string
		want              balancer.AttemptResult
		body              string
	}{
		{"closed", plain, "close", balancer.Success, "ok"},
		{"closed as said", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok", "close", balancer.Success, "ok"},
		{"closed after 100", "HTTP/1.1 100 Continue\r\n\r\n" + plain, "close", balancer.Success, "ok"},
		{"closed, no body", "HTTP/1.1 200 OK\r\n\r\n", "close", balancer.Success, ""},
		{"closed, HTTP/1.0", old, "close", balancer.Success, "ok"},
		{"closed, HTTP/1.0 that keeps alive", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n\r\nok", "close", balancer.Success, "ok"},
		{"closed, the longest", head + longest, "close", balancer.Success, longest},
		{"closed, too long", plain + longest, "close", balancer.ConnectionLost, ""},
		{"closed, chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "close", balancer.ConnectionLost, ""},
		{"closed, a coding in HTTP/1.0", "HTTP/1.0 200 OK\r\ntransfer-encoding: gzip\r\n\r\nok", "close", balancer.ConnectionLost, ""},
		{"closed, another coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok", "close", balancer.ConnectionLost, ""},
		{"closed, an empty length", "HTTP/1.1 200 OK\r\nContent-Length: \r\n\r\nok", "close", balancer.ConnectionLost, ""},
		{"closed, a length that is no number", "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\nok", "close", balancer.ConnectionLost, ""},
		{"closed in the head", "HTTP/1.1 200 OK\r\n", "close", balancer.ConnectionLost, ""},
		{"closed in the version", "HTTP/1", "close", balancer.ConnectionLost, ""},
		{"closed, an error", "HTTP/1.1 500 Internal Server Error\r\n\r\n", "close", balancer.ServerError, ""},
		{"closed, said not to have run", "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n\r\n", "close", balancer.ServerError, ""},
		{"reset", plain, "reset", balancer.ConnectionLost, ""},
		{"reset, HTTP/1.0", old, "reset", balancer.ConnectionLost, ""},
		{"reset, no body", "HTTP/1.1 200 OK\r\n\r\n", "reset", balancer.ConnectionLost, ""},
		{"without end", strings.Repeat(plain, http1.MaxBodyBytes/len("ok")), "open", balancer.ConnectionLost, ""},
		{"open until the time is over", plain, "time-out", balancer.TimedOut, ""},
		{"open until it is called off", plain, "cancel", balancer.Cancelled, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			answered := make(chan struct{})
			s := testutil.NewServer(t, func(conn net.Conn, r *http.Request, body string) bool {
				io.WriteString(conn, c.answer)
				close(answered)
				switch c.end {
				case "close":
				case "reset":
					conn.(*net.TCPConn).SetLinger(0)
				default:
					io.Copy(io.Discard, conn) // until the node closes
				}
				return false
			})
			b := testPool(10)
			a := testAttempt(t, b, s.Address())
			switch c.end {
			case "time-out":
				a.deadline = a.sentAt + 200*time.Millisecond
			case "cancel":
				go func() { <-answered; a.cancel() }()
			}
			if r := doAttempt(t, b, a); r.result != c.want || string(r.body) != c.body {
				t.Errorf("ending %d, a body of %d bytes; want %d, %d", r.result, len(r.body), c.want, len(c.body))
			}
			if n := b.connections(); n != 0 || len(b.idle) != 0 {
				t.Errorf("%d connections are open, %d hosts have idle ones", n, len(b.idle))
			}
		})
	}
}

// The client gets the body unchanged, and an error where the end was a reset.
func TestResponseWithoutALengthIsForwarded(t *testing.T) {
	s := testutil.NewServer(t, func(conn net.Conn, r *http.Request, body string) bool {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\n\r\nfor %s\r\n\x00", r.Header.Get("X-Request-Id"))
		if r.Header.Get("X-Request-Id") == "reset" {
			conn.(*net.TCPConn).SetLinger(0)
		}
		return false
	})
	n, _ := startNode(t, testConfig(testutil.CompleteList(testutil.ListEntry("s1", s.Address(), "in_service"))), nil)
	c := dial(t, n)
	for i := range 3 {
		id := fmt.Sprint("n", i)
		c.Send("POST", "/note/k", id, "x", "60")
		r, body := c.Response(t)
		if want := "for " + id + "\r\n\x00"; r.StatusCode != 200 || body != want || r.Header.Get("Content-Type") != "a/b" {
			t.Errorf("got %d %q, %v; want 200 %q", r.StatusCode, body, r.Header, want)
		}
	}
	c.Send("POST", "/note/k", "reset", "x", "60")
	c.Expect(t, http.StatusBadGateway, "")
	if s.Received() != 4 || s.Accepted() != 4 {
		t.Errorf("%d requests on %d connections, want 4 on 4", s.Received(), s.Accepted())
	}
}

// lateWriteConn writes the last byte of a request after the connection was reset under it, reads no more before
// that, and returns from the write only once the reader has ended.
type lateWriteConn struct {
	*net.TCPConn
	read  chan struct{} // closed once something was read
	reset func()        // resets the connection, and returns once this side knows
	wrote chan struct{} // closed after the last write
	ended func()        // returns once the reader has come to an end
	once  sync.Once
}

func (c *lateWriteConn) Read(p []byte) (int, error) {
	select {
	case <-c.read:
		<-c.wrote
	default:
	}
	n, err := c.TCPConn.Read(p)
	c.once.Do(func() { close(c.read) })
	return n, err
}

func (c *lateWriteConn) Write(p []byte) (int, error) {
	sent, err := c.TCPConn.Write(p[:len(p)-1])
	if err == nil {
		<-c.read
		c.reset()
		_, err = c.TCPConn.Write(p[len(p)-1:])
	}
	close(c.wrote)
	c.ended()
	return sent, err
}

// tcpClosed reports whether the system has ended a connection, as by a reset; unlike a read it leaves the error
// there.
func tcpClosed(nc net.Conn) (is bool) {
	socketpeek.RawConn(nc).Control(func(fd uintptr) {
		var info [256]byte // struct tcp_info: the state is its first byte
		size := uint32(len(info))
		syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, syscall.TCP_INFO,
			uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
		is = info[0] == 7 // TCP_CLOSE
	})
	return is
}

// The system reports a reset once. If a write got the error, the next read finds what looks like the end of a
// response without a length: the part that was read is no success.
func TestResetReportedToTheWriteIsNoEndOfResponse(t *testing.T) {
	nc, server := testutil.ConnPair(t)
	c := &lateWriteConn{TCPConn: nc.(*net.TCPConn), read: make(chan struct{}), wrote: make(chan struct{})}
	c.reset = func() {
		server.(*net.TCPConn).SetLinger(0)
		server.Close()
		testutil.Until(t, "the reset to arrive", func() bool { return tcpClosed(nc) })
	}
	go func() {
		server.Read(make([]byte, 1))
		io.WriteString(server, "HTTP/1.1 200 OK\r\n\r\nhal")
	}()
	b := testPool(10)
	c.ended = func() { testutil.Until(t, "the reader's end", func() bool { return b.connections() == 0 }) }
	b.adopt(c, testInstance(b, nc.RemoteAddr().String()))
	if r := doAttempt(t, b, testAttempt(t, b, nc.RemoteAddr().String())); r.result != balancer.ConnectFailed || b.connections() != 0 {
		t.Errorf("ending %d, body %q, %d open; want %d", r.result, r.body, b.connections(), balancer.ConnectFailed)
	}
}
