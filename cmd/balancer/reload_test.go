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

// TestManySIGHUPsUnderLoad replaces the configuration many times in a row under load, without waiting for the node. A
// class is added and removed, deadlines change, discovery moves between two addresses, and every fifth file is invalid.
// No response may be lost or wrong, the last file must be in force in the end, and a request that is in flight when the
// node receives SIGTERM, followed by further reloads, must be answered.
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
			l.awaitResponses(100)
		}
	}
	p.reload(t, invalid(configs.valid(0, "")))
	eventually(t, "the invalid file to be rejected in the log", func() bool {
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
		t.Errorf("request in flight: got %q, want 200 for out-1 and no error", got)
	}
	<-p.ended
	if state := p.cmd.ProcessState; !state.Success() {
		t.Errorf("the process ended with %v, want exit status 0; log:\n%s", state, p.logText())
	}
	t.Logf("%d responses, settings in force %d times", l.responses.Load(), strings.Count(p.logText(), "are in force"))
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
		t.Errorf("request of the removed class: got %d, error %v; want 404", status, err)
	}
}

// reloadConfigs generates the configuration files of a test, which differ in discovery, deadlines and classes.
type reloadConfigs struct {
	list       string
	registries []*registry
}

func newReloadConfigs(t *testing.T, list string) reloadConfigs {
	t.Helper()
	return reloadConfigs{list, []*registry{newRegistry(t, 5, list, available), newRegistry(t, 9, list, available)}}
}

// file returns file number i. Every other file has the class extra, and every fifth is invalid.
func (r reloadConfigs) file(i int) string {
	extraClass := ""
	if i%2 == 0 {
		extraClass = "extra"
	}
	config := r.valid(i, extraClass)
	if i%5 == 4 {
		config = invalid(config)
	}
	return config
}

// valid returns valid file number i. Unless extraClass is empty, the file has that class too.
func (r reloadConfigs) valid(i int, extraClass string) string {
	config := nodeConfig("127.0.0.1:0", r.registries[i%2].addr, r.list, "pushed", 256)
	config = strings.Replace(config, `"deadline-ms":40000`, fmt.Sprintf(`"deadline-ms":%d`, 40000-i%3*1000), 1)
	if extraClass != "" {
		config = strings.Replace(config, `"lanes":[`, fmt.Sprintf(`"lanes":[{"name":%q,"effect":"read_like",
			"target-ms":20000,"deadline-ms":40000},`, extraClass), 1)
	}
	return config
}

// invalid returns a configuration with an invalid latency objective of a class.
func invalid(config string) string {
	return strings.Replace(config, `"target-ms":20000`, `"target-ms":-1`, 1)
}

// reloadLoad is a set of clients that send requests until they are stopped.
type reloadLoad struct {
	t         *testing.T
	address   string
	stopped   atomic.Bool
	responses atomic.Int64 // without those of sendExtra
	clients   sync.WaitGroup
}

// startLoad starts eight clients that send requests of a permanent class, and one that sends requests of a class that
// is added and removed.
func startLoad(t *testing.T, address string) *reloadLoad {
	l := &reloadLoad{t: t, address: address}
	t.Cleanup(l.stop)
	for i := range 8 {
		l.clients.Add(1)
		go func() {
			defer l.clients.Done()
			l.send(fmt.Sprint("c", i))
		}()
	}
	l.clients.Add(1)
	go func() {
		defer l.clients.Done()
		l.sendExtra()
	}()
	return l
}

// awaitResponses waits until the clients have received more further responses, or one of them has failed the test.
func (l *reloadLoad) awaitResponses(more int64) {
	l.t.Helper()
	before := l.responses.Load()
	eventually(l.t, "responses under load", func() bool {
		return l.responses.Load() >= before+more || l.t.Failed()
	})
}

// stop stops the clients and waits for them.
func (l *reloadLoad) stop() {
	l.stopped.Store(true)
	l.clients.Wait()
}

func (l *reloadLoad) send(name string) {
	c := client{address: l.address, name: name}
	for !l.stopped.Load() {
		status, body, err := c.get("/view/k")
		if err != nil || status != http.StatusOK || body != fmt.Sprintf("for %s-%d", name, c.sent) {
			l.t.Errorf("client %s, request %d: got %d %q, error %v; want 200", name, c.sent, status, body, err)
			return
		}
		l.responses.Add(1)
	}
}

// sendExtra sends requests of a class that is added and removed. Each must be served or get status 404.
func (l *reloadLoad) sendExtra() {
	c := client{address: l.address, name: "extra"}
	for !l.stopped.Load() {
		status, body, err := c.get("/extra/k")
		served := status == http.StatusOK && body == fmt.Sprint("for extra-", c.sent)
		if err != nil || !served && status != http.StatusNotFound {
			l.t.Errorf("request of class extra: got %d %q, error %v; want 200 or 404", status, body, err)
			return
		}
	}
}

// TestSIGHUPUnderLoad replaces the configuration file while requests are sent. An invalid file is logged and changes
// nothing, an identical file changes nothing, and a new one moves the node to the servers of another registry. No
// request may be lost, and the client's connection must stay open.
func TestSIGHUPUnderLoad(t *testing.T) {
	build(t)
	old := newRegistry(t, 3, newNamedServer(t, "old"), available)
	next := newRegistry(t, 3, newNamedServer(t, "next"), available)
	config := nodeConfig("127.0.0.1:0", old.addr, "", "pushed", 256)
	p := launch(t, config, 0)
	c := client{address: p.address(t), name: "c"}
	defer c.close()
	get := func() string {
		status, body, err := c.get("/view/k")
		if err != nil || status != http.StatusOK {
			t.Fatalf("request %d: got %d %q, error %v; want 200", c.sent, status, body, err)
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
				t.Fatalf("request was served by %q, want \"old\"", body)
			}
		}
	}
	p.reload(t, strings.Replace(config, old.addr, next.addr, 1))
	eventually(t, "a response from the new registry's server", func() bool { return get() == "next" })
	if c.dials != 1 {
		t.Errorf("the client opened %d connections, want 1", c.dials)
	}
	p.end(syscall.SIGTERM)
	if state := p.cmd.ProcessState; !state.Success() {
		t.Fatalf("the process ended with %v, want exit status 0; log:\n%s", state, p.logText())
	}
}
