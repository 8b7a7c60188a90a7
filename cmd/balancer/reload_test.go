package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
)

// TestManySIGHUPsUnderLoad replaces the configuration many times in a row, without waiting for the node, under
// load: a class comes and goes, deadlines change, discovery moves to and fro, and every fifth file is invalid. No
// response is lost or wrong, the last file is in force in the end, and a request that is in flight when the node
// gets SIGTERM, among further reloads, is answered.
func TestManySIGHUPsUnderLoad(t *testing.T) {
	build(t)
	list, held, release := newHoldingServer(t)
	configs := newReloadConfigs(t, list)
	p := launch(t, configs.valid(0, ""), 0)
	address := p.address(t)
	l := startLoad(t, address)
	for i := range 60 {
		p.reload(t, configs.file(i))
		if i%10 == 9 {
			l.awaitAnswers(100)
		}
	}
	p.reload(t, invalid(configs.valid(0, "")))
	eventually(t, "the bad file to be named", func() bool {
		log := p.logText()
		return strings.Contains(log, "the previous one stays in force") && strings.Contains(log, "LatencyObjective")
	})
	p.reload(t, configs.valid(1, "last"))
	checkClassesOfLastFile(t, address)
	l.stop()
	response := getInBackground(address, "out")
	waitFor(t, held, "the request to be in flight")
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for i := range 10 {
		p.reload(t, configs.valid(i, ""))
	}
	release()
	if got := <-response; got != "200 for out-1 <nil>" {
		t.Errorf("the request in flight: %s", got)
	}
	<-p.ended
	if state := p.cmd.ProcessState; !state.Success() {
		t.Errorf("it ends with %v: %s", state, p.logText())
	}
	t.Logf("%d answers, and %d times in force", l.answered.Load(), strings.Count(p.logText(), "are in force"))
}

// checkClassesOfLastFile waits until the class that only the last file has is served, and checks that the class of
// the files before it is unknown.
func checkClassesOfLastFile(t *testing.T, address string) {
	t.Helper()
	c := client{address: address, name: "last"}
	defer c.close()
	eventually(t, "the last file to be in force", func() bool {
		status, _, err := c.get("/last/k")
		return err == nil && status == http.StatusOK
	})
	if status, _, err := c.get("/extra/k"); status != http.StatusNotFound {
		t.Errorf("the class that was removed: %d, %v", status, err)
	}
}

// reloadConfigs makes the configuration files of a test, which differ in discovery, deadlines and classes.
type reloadConfigs struct {
	list       string
	registries []*registry
}

func newReloadConfigs(t *testing.T, list string) reloadConfigs {
	t.Helper()
	return reloadConfigs{list, []*registry{newRegistry(t, 5, list, available), newRegistry(t, 9, list, available)}}
}

// file is the file of a number: every other one has the class extra, and every fifth is invalid.
func (r reloadConfigs) file(i int) string {
	extra := ""
	if i%2 == 0 {
		extra = "extra"
	}
	text := r.valid(i, extra)
	if i%5 == 4 {
		text = invalid(text)
	}
	return text
}

// valid is the valid file of a number, with one class more unless extra is empty.
func (r reloadConfigs) valid(i int, extra string) string {
	text := nodeConfig("127.0.0.1:0", r.registries[i%2].addr, r.list, "pushed", 256)
	text = strings.Replace(text, `"deadline-ms":40000`, fmt.Sprintf(`"deadline-ms":%d`, 40000-i%3*1000), 1)
	if extra != "" {
		text = strings.Replace(text, `"lanes":[`, fmt.Sprintf(`"lanes":[{"name":%q,"effect":"read_like",
			"target-ms":20000,"deadline-ms":40000},`, extra), 1)
	}
	return text
}

// invalid makes a file invalid by the latency objective of a class.
func invalid(config string) string {
	return strings.Replace(config, `"target-ms":20000`, `"target-ms":-1`, 1)
}

// reloadLoad is clients that send requests until they are stopped.
type reloadLoad struct {
	t        *testing.T
	address  string
	stopped  atomic.Bool
	answered atomic.Int64
	running  sync.WaitGroup
}

// startLoad has eight clients send requests of a class that stays, and one those of a class that comes and goes.
func startLoad(t *testing.T, address string) *reloadLoad {
	l := &reloadLoad{t: t, address: address}
	t.Cleanup(l.stop)
	for i := range 8 {
		l.running.Add(1)
		go func() {
			defer l.running.Done()
			l.send(fmt.Sprint("c", i))
		}()
	}
	l.running.Add(1)
	go func() {
		defer l.running.Done()
		l.sendExtra()
	}()
	return l
}

// awaitAnswers waits until the clients have got so many answers more, or one of them has failed the test.
func (l *reloadLoad) awaitAnswers(more int64) {
	l.t.Helper()
	before := l.answered.Load()
	eventually(l.t, "answers under load", func() bool {
		return l.answered.Load() >= before+more || l.t.Failed()
	})
}

// stop ends the clients.
func (l *reloadLoad) stop() {
	l.stopped.Store(true)
	l.running.Wait()
}

func (l *reloadLoad) send(name string) {
	c := client{address: l.address, name: name}
	for !l.stopped.Load() {
		status, body, err := c.get("/view/k")
		if err != nil || status != http.StatusOK || body != fmt.Sprintf("for %s-%d", name, c.sent) {
			l.t.Errorf("client %s, request %d: %d %q, %v", name, c.sent, status, body, err)
			return
		}
		l.answered.Add(1)
	}
}

// sendExtra sends requests of a class that comes and goes: each is served or unknown, and nothing else.
func (l *reloadLoad) sendExtra() {
	c := client{address: l.address, name: "extra"}
	for !l.stopped.Load() {
		status, body, err := c.get("/extra/k")
		served := status == http.StatusOK && body == fmt.Sprint("for extra-", c.sent)
		if err != nil || !served && status != http.StatusNotFound {
			l.t.Errorf("class that comes and goes: %d %q, %v", status, body, err)
			return
		}
	}
}

// TestSIGHUPUnderLoad replaces the file while requests are sent: an invalid one is logged and changes nothing, nor
// does the same file once more, and a new one moves the node to the servers of another discovery. No request is
// lost, and the client's connection stays open.
func TestSIGHUPUnderLoad(t *testing.T) {
	build(t)
	old := newRegistry(t, 3, newNamingServer(t, "old"), available)
	next := newRegistry(t, 3, newNamingServer(t, "next"), available)
	config := nodeConfig("127.0.0.1:0", old.addr, "", "pushed", 256)
	p := launch(t, config, 0)
	c := client{address: p.address(t), name: "c"}
	defer c.close()
	get := func() string {
		status, body, err := c.get("/view/k")
		if err != nil || status != http.StatusOK {
			t.Fatalf("request %d: %d %q, %v", c.sent, status, body, err)
		}
		return body
	}
	for _, reload := range []struct{ config, log string }{
		{config[:len(config)/2], "configuration rejected"},
		{config, "configuration reloaded"},
	} {
		p.reload(t, reload.config)
		p.await(t, reload.log)
		for range 20 {
			if body := get(); body != "old" {
				t.Fatalf("served by %q", body)
			}
		}
	}
	p.reload(t, strings.Replace(config, old.addr, next.addr, 1))
	eventually(t, "the new discovery's server to get a request", func() bool { return get() == "next" })
	if c.dials != 1 {
		t.Errorf("%d connections for one client, want 1", c.dials)
	}
	p.end(syscall.SIGTERM)
	if state := p.cmd.ProcessState; !state.Success() {
		t.Fatalf("it ends with %v: %s", state, p.logText())
	}
}
