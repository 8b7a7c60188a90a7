package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

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

// TestSIGHUPUnderLoad replaces the file while requests are under way: a broken one is logged and
// changes nothing, nor does the same once more, and a new one moves the node to the servers that another
// discovery names. No request is lost, and the caller's connection is kept.
func TestSIGHUPUnderLoad(t *testing.T) {
	dir, run, _ := build(t)
	list := func(name string) *httptest.Server {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			fmt.Fprint(w, name)
		}))
		t.Cleanup(server.Close)
		text := fmt.Sprintf(`{"rev":3,"all":true,"targets":[{"uid":%q,"endpoint":%q,"az":"a","model":"m",
			"pod_group":0,"state":"in_service","capacity_hint":1,"boot_ms":0}]}`, name, strings.TrimPrefix(server.URL, "http://"))
		discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.RawQuery != "" {
				<-r.Context().Done() // nothing new
				return
			}
			fmt.Fprint(w, text)
		}))
		t.Cleanup(discovery.Close)
		return discovery
	}
	old, next := list("old"), list("next")
	config := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1,"memory_mb":64,"sockets":256},"settings":%s}`,
		strings.TrimPrefix(old.URL, "http://"), settings)
	cmd, address, log := start(t, dir, run, config)
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(4 * limit))
	br := bufio.NewReader(c)
	asked := 0
	ask := func() string {
		asked++
		fmt.Fprintf(c, "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: r%d\r\nX-Deadline: 40\r\n\r\n", asked)
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatalf("request %d: %v", asked, err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("request %d: %d %q, %v", asked, resp.StatusCode, body, err)
		}
		return string(body)
	}
	hup := func(text string) {
		t.Helper()
		if err := os.WriteFile(filepath.Join(dir, "config.json"), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	for _, text := range []string{config[:len(config)/2], config} {
		hup(text)
		if text != config {
			await(t, log, "configuration rejected")
		} else {
			await(t, log, "configuration reloaded")
		}
		for range 20 {
			if body := ask(); body != "old" {
				t.Fatalf("served by %q", body)
			}
		}
	}
	hup(strings.Replace(config, strings.TrimPrefix(old.URL, "http://"), strings.TrimPrefix(next.URL, "http://"), 1))
	for end := time.Now().Add(limit); ask() != "next"; {
		if time.Now().After(end) {
			t.Fatal("the new discovery's server gets nothing")
		}
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Fatalf("exit: %v", err)
	}
}
