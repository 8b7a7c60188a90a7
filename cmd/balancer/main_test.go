package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestSimStarts checks that the sim command of deploy/balancer.toml starts and replies to an empty batch.
func TestSimStarts(t *testing.T) {
	build(t)
	cmd := exec.Command("/bin/sh", "-c", program.sim)
	cmd.Dir, cmd.Stdin = program.dir, strings.NewReader("sync\t1\neob\n")
	out, err := cmd.CombinedOutput()
	if err != nil || string(out) != "yield\n" {
		t.Fatalf("got error %v, output %q; want output \"yield\\n\"", err, out)
	}
}

// TestGracefulShutdownOnSIGTERM runs the real program and sends it SIGTERM after one request and during another. The
// program must respond to both and exit with status 0.
func TestGracefulShutdownOnSIGTERM(t *testing.T) {
	build(t)
	list, held, release := newHoldingServer(t)
	r := newRegistry(t, 1, "", unresponsive)
	p := launch(t, nodeConfig("127.0.0.1:0", r.addr, list, "pushed", 1024), 0)
	address := p.address(t)
	fast := client{address: address, name: "fast"}
	if status, body, err := fast.get("/view/fast"); err != nil || status != http.StatusOK || body != "for fast-1" {
		t.Fatalf("got %d %q, error %v; want 200 \"for fast-1\"", status, body, err)
	}
	idle := awaitReady(t, address)
	response := getInBackground(address, "slow")
	waitFor(t, held, "the request to be in flight")
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if _, err := idle.Read(make([]byte, 1)); !errors.Is(err, io.EOF) { // the node closes its idle connections
		t.Fatalf("read from an idle connection after SIGTERM: got error %v, want EOF", err)
	}
	release()
	if got := <-response; got != "200 for slow-1 <nil>" {
		t.Fatalf("request in flight: got %q, want 200 for slow-1 and no error", got)
	}
	<-p.ended
	if state := p.cmd.ProcessState; !state.Success() {
		t.Fatalf("the process ended with %v, want exit status 0; log:\n%s", state, p.logText())
	}
	if c, err := net.Dial("tcp", address); err == nil {
		c.Close()
		t.Fatal("the address still accepts connections after the process has ended, want them refused")
	}
}

// awaitReady sends health checks until the node is ready, and returns the idle connection of the last one. An
// unresponsive agent delays readiness but does not prevent it.
func awaitReady(t *testing.T, address string) net.Conn {
	t.Helper()
	for {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(waitTimeout))
		fmt.Fprint(c, "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatalf("health check failed: %v", err)
		}
		io.Copy(io.Discard, resp.Body)
		if resp.StatusCode == http.StatusOK {
			return c
		}
		c.Close()
	}
}

// getInBackground sends a request that the server holds. The returned channel delivers the result as text: the status,
// the body and the error.
func getInBackground(address, name string) <-chan string {
	result := make(chan string, 1)
	go func() {
		c := client{address: address, name: name}
		status, body, err := c.get("/view/slow")
		result <- fmt.Sprint(status, " ", body, " ", err)
	}()
	return result
}

func TestBadConfigExitsWithOneLine(t *testing.T) {
	build(t)
	dir := t.TempDir()
	for name, text := range map[string]string{"missing": "", "cut": `{"listen":`, "empty": `{}`} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(dir, name)
			if text != "" {
				if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			cmd := exec.Command("/bin/sh", "-c", program.run)
			cmd.Dir, cmd.Env = program.dir, append(os.Environ(), "BALANCER_CONFIG="+path)
			out, err := cmd.CombinedOutput()
			if err == nil || !strings.HasPrefix(string(out), "balancer: config: ") ||
				strings.Count(string(out), "\n") != 1 {
				t.Errorf("%s: got error %v, output %q; want one line of a config error", name, err, out)
			}
		})
	}
}
