package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// hup replaces a process's configuration as a whole, and tells it.
func (p *process) hup(t *testing.T, config string) {
	t.Helper()
	path := strings.TrimPrefix(p.cmd.Env[len(p.cmd.Env)-1], "BALANCER_CONFIG=")
	if err := os.WriteFile(path+".new", []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
}

// client asks on one connection, and on a new one where the node has closed it.
type client struct {
	address, name string
	asked         int
	nc            net.Conn
	br            *bufio.Reader
}

func (c *client) ask(target string) (status int, body string, err error) {
	if c.nc == nil {
		if c.nc, err = net.Dial("tcp", c.address); err != nil {
			return 0, "", err
		}
		c.br = bufio.NewReader(c.nc)
	}
	c.nc.SetDeadline(time.Now().Add(2 * limit))
	c.asked++
	fmt.Fprintf(c.nc, "GET %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s-%d\r\nX-Deadline: 20\r\n\r\n", target, c.name, c.asked)
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return 0, "", err
	}
	text, err := io.ReadAll(resp.Body)
	if resp.Close {
		c.nc.Close()
		c.nc = nil
	}
	return resp.StatusCode, string(text), err
}

// TestManySIGHUPsUnderLoad replaces the configuration many times in a row, without waiting for the node, while
// callers ask: a class comes and goes, deadlines change, discovery moves to and fro, and every fifth file is
// bad. No answer is lost or spoilt, the last file is in force in the end, and a request that is out when the
// node is told to end, among further signals, is answered.
func TestManySIGHUPsUnderLoad(t *testing.T) {
	buildOnce(t)
	slow, hold := make(chan struct{}, 1), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/slow") {
			slow <- struct{}{}
			<-hold
		}
		fmt.Fprint(w, "for ", r.Header.Get("X-Request-Id"))
	}))
	defer server.Close()
	list := target("s-1", strings.TrimPrefix(server.URL, "http://"))
	discoveries := []*registry{newRegistry(t, 5, list, none), newRegistry(t, 9, list, none)}
	config := func(i int, extra string) string {
		text := nodeConfig("127.0.0.1:0", discoveries[i%2].addr, list, "pushed", 256)
		text = strings.Replace(text, `"deadline-ms":40000`, fmt.Sprintf(`"deadline-ms":%d`, 40000-i%3*1000), 1)
		if extra != "" {
			text = strings.Replace(text, `"lanes":[`, fmt.Sprintf(`"lanes":[{"name":%q,"effect":"read_like",
				"target-ms":20000,"deadline-ms":40000},`, extra), 1)
		}
		return text
	}
	p := launch(t, config(0, ""), 0)
	address := p.address(t)
	var stop atomic.Bool
	var answered atomic.Int64
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := client{address: address, name: fmt.Sprint("c", i)}
			for !stop.Load() {
				status, body, err := c.ask("/view/k")
				if err != nil || status != http.StatusOK || body != fmt.Sprintf("for c%d-%d", i, c.asked) {
					t.Errorf("caller %d, request %d: %d %q, %v", i, c.asked, status, body, err)
					return
				}
				answered.Add(1)
			}
		}()
	}
	wg.Add(1)
	go func() { // a class that comes and goes is served or unknown, and nothing else
		defer wg.Done()
		c := client{address: address, name: "extra"}
		for !stop.Load() {
			status, body, err := c.ask("/extra/k")
			if err != nil || status != http.StatusNotFound && (status != http.StatusOK || body != fmt.Sprint("for extra-", c.asked)) {
				t.Errorf("class that comes and goes: %d %q, %v", status, body, err)
				return
			}
		}
	}()
	for i := range 60 {
		text := config(i, map[bool]string{true: "extra"}[i%2 == 0])
		if i%5 == 4 {
			text = strings.Replace(text, `"target-ms":20000`, `"target-ms":-1`, 1)
		}
		p.hup(t, text)
		for seen := answered.Load(); i%10 == 9 && answered.Load() < seen+100 && !t.Failed(); { // under load
			time.Sleep(time.Millisecond)
		}
	}
	p.hup(t, strings.Replace(config(0, ""), `"target-ms":20000`, `"target-ms":-1`, 1))
	eventually(t, "the bad file to be named", func() bool {
		return strings.Contains(p.said(), "the previous one stays in force") && strings.Contains(p.said(), "LatencyObjective")
	})
	p.hup(t, config(1, "last"))
	c := client{address: address, name: "last"}
	eventually(t, "the last file to be in force", func() bool {
		status, _, err := c.ask("/last/k")
		return err == nil && status == http.StatusOK
	})
	if status, _, err := c.ask("/extra/k"); status != http.StatusNotFound {
		t.Errorf("the class that has gone: %d, %v", status, err)
	}
	stop.Store(true)
	wg.Wait()
	out := make(chan string, 1)
	go func() {
		c := client{address: address, name: "out"}
		status, body, err := c.ask("/view/slow")
		out <- fmt.Sprint(status, " ", body, " ", err)
	}()
	<-slow
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for i := range 10 {
		p.hup(t, config(i, ""))
	}
	close(hold)
	if got := <-out; got != "200 for out-1 <nil>" {
		t.Errorf("the request that was out: %s", got)
	}
	<-p.over
	if state := p.cmd.ProcessState; !state.Success() {
		t.Errorf("it ends with %v: %s", state, p.said())
	}
	t.Logf("%d answers, and %d times in force", answered.Load(), strings.Count(p.said(), "are in force"))
}
