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

// limit is how long a test waits for something; only a failing test waits so long.
const limit = 60 * time.Second

const settings = `{"lanes":[{"name":"view","effect":"read_like","target-ms":20000,"deadline-ms":40000}],
	"limits":{"max-attempts":3,"conn-idle-ms":60000,"connect-timeout-ms":20000,"cancelling":true,
	"retry-after":true,"max-retry-after-ms":2000},"tick-ms":5,"balancers":1,"registry-mode":"pushed"}`

// program is what deploy/balancer.toml builds, made once for all tests, and the commands that it names.
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

// build makes what deploy/balancer.toml builds. Tests write nothing to its folder.
func build(t *testing.T) {
	t.Helper()
	readSources(t) // each test's result depends on them
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
		//nolint:usetesting // The folder is shared by all tests of the package.
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
		t.Fatal("the program was not built")
	}
}

// readSources lets go test know what the program is built from: the test's own binary contains little of that, and
// a result cached from before a change would stand for the changed program.
func readSources(t *testing.T) {
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
	ended chan struct{} // closed once it has ended

	mu      sync.Mutex
	log     bytes.Buffer
	awaited int // bytes of the log that await is past
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

// await waits for a text in the log behind those that it waited for before.
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
		t.Fatalf("it ended without %q: %s", want, p.logText())
	}
}

// end signals the process, if it runs, and waits until it has ended.
func (p *process) end(s syscall.Signal) {
	p.cmd.Process.Signal(s)
	<-p.ended
}

// alive says that the process has not ended.
func (p *process) alive() bool {
	return !isClosed(p.ended)
}

// address is where the process listens, once it does.
func (p *process) address(t *testing.T) string {
	t.Helper()
	var found []string
	eventually(t, "the program to serve", func() bool {
		found = servingAt.FindStringSubmatch(p.logText())
		return found != nil || !p.alive()
	})
	if found == nil {
		t.Fatalf("it ended: %s", p.logText())
	}
	return found[1]
}

// reload replaces a process's configuration file as a whole, and sends SIGHUP.
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

// launch runs the program with a configuration, and with a hard limit on descriptors unless sockets is 0.
func launch(t *testing.T, config string, sockets int) *process {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	text := program.run
	if sockets > 0 {
		text = fmt.Sprintf("ulimit -n %d; %s", sockets, text)
	}
	p := &process{cmd: exec.Command("/bin/sh", "-c", text), ended: make(chan struct{})}
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

var servingAt = regexp.MustCompile(`msg=serving .*address=(\S+)`)

// eventually polls a condition, and fails the test if it never holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain for %s", what)
		}
	}
}

// waitFor waits for a channel to be closed or to deliver, and fails the test if neither happens.
func waitFor(t *testing.T, c <-chan struct{}, what string) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(limit):
		t.Fatalf("waited in vain for %s", what)
	}
}

// listEntry is a server's entry in an endpoint list.
func listEntry(uid, endpoint string) string {
	return fmt.Sprintf(`{"uid":%q,"endpoint":%q,"az":"a","model":"m","pod_group":0,"state":"in_service",
		"capacity_hint":1,"boot_ms":0}`, uid, endpoint)
}

// nodeConfig is a node's configuration; known is the entries of its cached list.
func nodeConfig(listen, discovery, known, mode string, sockets int) string {
	set := strings.Replace(settings, `"registry-mode":"pushed"`,
		fmt.Sprintf(`"rules":{"ask-within-ms":1000},"registry-mode":%q`, mode), 1)
	return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1,"memory_mb":192,"sockets":%d},"known":{"rev":1,"all":true,"targets":[%s]},"settings":%s}`,
		listen, discovery, sockets, known, set)
}
