package main

import (
	"bytes"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// waitTimeout limits each wait of a test. Only a failing test reaches it.
const waitTimeout = 60 * time.Second

// settings is the settings object of a node's configuration.
const settings = `{"lanes":[{"name":"view","effect":"read_like","target-ms":20000,"deadline-ms":40000}],
	"limits":{"max-attempts":3,"conn-idle-ms":60000,"connect-timeout-ms":20000,"cancelling":true,
	"retry-after":true,"max-retry-after-ms":2000},"tick-ms":5,"balancers":1,"registry-mode":"pushed"}`

// program is the build of deploy/balancer.toml, made once for all tests, with the commands named there.
var program = struct {
	once          sync.Once
	dir, run, sim string
}{}

func TestMain(m *testing.M) {
	code := m.Run()
	if program.dir != "" {
		os.RemoveAll(program.dir)
	}
	os.Exit(code)
}

// build builds the commands that deploy/balancer.toml runs. Tests must not write to the build's directory.
func build(t testing.TB) {
	t.Helper()
	readSources(t) // the result of each test depends on the sources
	program.once.Do(func() {
		deploy, err := os.ReadFile("../../deploy/balancer.toml")
		if err != nil {
			t.Fatal(err)
		}
		command := func(key string) string {
			m := regexp.MustCompile(`(?m)^` + key + ` = "(.*)"`).FindSubmatch(deploy)
			if m == nil {
				t.Fatalf("deploy/balancer.toml has no %s", key)
			}
			return string(m[1])
		}
		run, sim := command("run"), command("sim")
		//nolint:usetesting // The directory is shared by all tests of the package.
		if program.dir, err = os.MkdirTemp("", "balancer"); err != nil {
			t.Fatal(err)
		}
		out, err := exec.Command("go", "build", "-o", filepath.Join(program.dir, "bin")+"/", "../...").CombinedOutput()
		if err != nil {
			t.Fatalf("%v\n%s", err, out)
		}
		program.run, program.sim = run, sim
	})
	if program.run == "" {
		t.Fatal("the program has not been built; see the first failed test")
	}
}

// readSources reads the program's sources, so that go test takes them as inputs of the test. The test binary contains
// few of them, and a result cached before a change would be reported for the changed program.
func readSources(t testing.TB) {
	t.Helper()
	err := filepath.WalkDir("../..", func(path string, d fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case d.Name() == ".git" || d.Name() == "journal":
			return filepath.SkipDir
		case strings.HasSuffix(path, ".go") || d.Name() == "go.mod":
			_, err = os.ReadFile(path)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
}

// process is one run of the program.
type process struct {
	cmd   *exec.Cmd
	ended chan struct{} // closed once the process has ended

	mu      sync.Mutex
	log     bytes.Buffer
	awaited int // length of the log up to the last text that await has found
}

func (p *process) Write(text []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(text)
}

func (p *process) logText() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// await waits for a text in the log after the texts of earlier calls.
func (p *process) await(t *testing.T, want string) {
	t.Helper()
	eventually(t, fmt.Sprintf("%q in the log", want), func() bool {
		log := p.logText()
		at := strings.Index(log[p.awaited:], want)
		if at < 0 {
			return !p.alive()
		}
		p.awaited += at + len(want)
		return true
	})
	if !strings.HasSuffix(p.logText()[:p.awaited], want) {
		t.Fatalf("the process ended without %q in its log:\n%s", want, p.logText())
	}
}

// end sends a signal to the process, if it is running, and waits until it has ended.
func (p *process) end(s syscall.Signal) {
	p.cmd.Process.Signal(s)
	<-p.ended
}

// alive reports whether the process has not ended.
func (p *process) alive() bool {
	return !isClosed(p.ended)
}

// address waits until the process serves, and returns the address that it listens on.
func (p *process) address(t testing.TB) string {
	t.Helper()
	var match []string
	eventually(t, "the program to serve", func() bool {
		match = servingAt.FindStringSubmatch(p.logText())
		return match != nil || !p.alive()
	})
	if match == nil {
		t.Fatalf("the process ended before it served:\n%s", p.logText())
	}
	return match[1]
}

// reload replaces the process's configuration file atomically, and sends SIGHUP.
func (p *process) reload(t *testing.T, config string) {
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

// launch starts the program with a configuration. Unless sockets is 0, it is the hard limit on open descriptors.
func launch(t testing.TB, config string, sockets int) *process {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	command := program.run
	if sockets > 0 {
		command = fmt.Sprintf("ulimit -n %d; %s", sockets, command)
	}
	p := &process{cmd: exec.Command("/bin/sh", "-c", command), ended: make(chan struct{})}
	p.cmd.Dir, p.cmd.Env = program.dir, append(os.Environ(), "BALANCER_CONFIG="+path)
	p.cmd.Stdout, p.cmd.Stderr = p, p
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		p.cmd.Wait()
		close(p.ended)
	}()
	t.Cleanup(func() { p.end(syscall.SIGKILL) })
	return p
}

// servingAt matches the log line of a node that serves, and its address.
var servingAt = regexp.MustCompile(`msg=serving .*address=(\S+)`)

// eventually polls a condition, and fails the test if it does not hold within waitTimeout.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// waitFor waits until a channel delivers a value or is closed, and fails the test if neither happens within
// waitTimeout.
func waitFor(t *testing.T, c <-chan struct{}, what string) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(waitTimeout):
		t.Fatalf("timed out waiting for %s", what)
	}
}

// listEntry returns a server's entry in an endpoint list.
func listEntry(uid, endpoint string) string {
	return fmt.Sprintf(`{"uid":%q,"endpoint":%q,"az":"a","model":"m","pod_group":0,"state":"in_service",
		"capacity_hint":1,"boot_ms":0}`, uid, endpoint)
}

// nodeConfig returns a node's configuration. cachedEntries are the entries of its cached list. mode is the discovery
// mode: pushed or on_request.
func nodeConfig(listen, discovery, cachedEntries, mode string, sockets int) string {
	nodeSettings := strings.Replace(settings, `"registry-mode":"pushed"`,
		fmt.Sprintf(`"rules":{"ask-within-ms":1000},"registry-mode":%q`, mode), 1)
	return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1,"memory_mb":192,"sockets":%d},"known":{"rev":1,"all":true,"targets":[%s]},"settings":%s}`,
		listen, discovery, sockets, cachedEntries, nodeSettings)
}
