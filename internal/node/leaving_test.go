package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// A request whose client leaves while it waits is not sent on: neither while the module holds it nor while
// its connection comes up, whether or not attempts may be called off, and though the client said more first.
func TestNothingIsSentForACallerThatLeftWhileItWaited(t *testing.T) {
	for _, held := range []bool{true, false} {
		for _, method := range []string{"GET", "POST"} {
			for _, reset := range []bool{true, false} {
				for _, stray := range []string{"", "G", "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: next\r\nX-Deadline: 60\r\n\r\n"} {
					for _, mayCancel := range []bool{true, false} {
						t.Run(fmt.Sprintf("held=%v %s reset=%v stray=%d mayCancel=%v", held, method, reset, len(stray), mayCancel),
							func(t *testing.T) {
								t.Parallel()
								leaveWhileWaiting(t, held, method, reset, stray, mayCancel)
							})
					}
				}
			}
		}
	}
}

func leaveWhileWaiting(t *testing.T, held bool, method string, reset bool, stray string, mayCancel bool) {
	s := newServer(t, echo)
	state := "in_service"
	if held {
		state = "terminating"
	}
	cfg := testConfig(whole(entry("s1", s.addr(), state)))
	cfg.Settings.MayCancel = mayCancel
	var dials heldDial
	n, _ := startNode(t, cfg, func(n *Node) {
		if dials = holdDials(n.backend); held {
			close(dials.through)
		}
	})
	c := dial(t, n)
	target, body := "/view/k", ""
	if method == "POST" {
		target, body = "/note/k", "body"
	}
	c.send(method, target, "leaving", body, "60")
	if held {
		until(t, "the request to be with the module", func() bool {
			n.frontend.callers.mu.Lock()
			defer n.frontend.callers.mu.Unlock()
			return n.frontend.callers.opened == 1
		})
	} else {
		wait(t, dials.up, "the connection")
	}
	if stray != "" {
		io.WriteString(c, stray)
		until(t, "the byte to be read", func() bool { return readAhead(n) == len(stray) })
	}
	if reset {
		c.Conn.(*net.TCPConn).SetLinger(0)
	}
	c.Close()
	until(t, "the node to notice", func() bool { return n.frontend.callers.held() == 0 })
	if held {
		news, err := parseList([]byte(`{"rev":2,"all":true,"targets":[` + entry("s1", s.addr(), "in_service") + `]}`))
		if err != nil {
			t.Fatal(err)
		}
		n.loop.post(listNews{list: news})
	} else {
		close(dials.through)
	}
	other := dial(t, n)
	other.get("other")
	other.want(t, 200, "for other")
	until(t, "the first attempt's end", func() bool {
		n.backend.mu.Lock()
		defer n.backend.mu.Unlock()
		kept := 0
		for _, idle := range n.backend.idle {
			kept += len(idle)
		}
		return kept == n.backend.open
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.requests) != 1 || s.requests[0] != "other" {
		t.Errorf("the server got %v", s.requests)
	}
}

// readAhead is how many bytes are kept of callers whose requests are not answered.
func readAhead(n *Node) (sum int) {
	n.frontend.callers.mu.Lock()
	defer n.frontend.callers.mu.Unlock()
	for c := range n.frontend.callers.conns {
		c.mu.Lock()
		sum += len(c.ahead)
		c.mu.Unlock()
	}
	return sum
}

// What a caller sends before its answer has come is its next request, in order and whole.
func TestRequestsSentAheadAreAnsweredInOrder(t *testing.T) {
	hold, got := make(chan struct{}), make(chan struct{}, 100)
	s := newServer(t, func(c net.Conn, r *http.Request, body string) bool {
		got <- struct{}{}
		<-hold
		return echo(c, r, body)
	})
	n, _ := startNode(t, testConfig(whole(entry("s1", s.addr(), "in_service"))), nil)
	c := dial(t, n)
	c.get("r0")
	wait(t, got, "the first request")
	const more = 60 // longer than what is read ahead
	for i := 1; i <= more; i++ {
		c.get(fmt.Sprint("r", i))
	}
	until(t, "the bytes to be read", func() bool { return readAhead(n) >= maxAhead-512 })
	close(hold)
	for i := 0; i <= more; i++ {
		c.want(t, 200, fmt.Sprint("for r", i))
	}
}
