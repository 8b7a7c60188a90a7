package fleet

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"

	"go.uber.org/goleak"

	"basaltdrum/internal/fleet/plan"
	"basaltdrum/internal/fleet/report"
)

// childArgument makes the test binary act as a child process. The arguments after it are the directory of the test that
// started the child, and the role.
const childArgument = "child"

// TestMain lets the test binary act as the child processes, and fails the tests if a goroutine or a process is left at
// their end.
func TestMain(m *testing.M) {
	if len(os.Args) > 3 && os.Args[1] == childArgument { // a child must not run the tests
		if err := Child(os.Args[3]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	goleak.VerifyTestMain(processCheck{m})
}

// processCheck runs the tests, and fails them if a process is left at their end.
type processCheck struct{ tests *testing.M }

// Run implements goleak.TestingM.
func (c processCheck) Run() int {
	code := c.tests.Run()
	if left := children(); code == 0 && len(left) > 0 {
		fmt.Fprintf(os.Stderr, "processes are left: %v\n", left)
		return 1
	}
	return code
}

// testRunner makes runs, and tracks the processes that they start.
type testRunner struct {
	Runner
	processes *processTracker
}

func newTestRunner(t *testing.T) *testRunner {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	processes := &processTracker{dir: dir, seen: map[int]bool{}}
	return &testRunner{
		Runner: Runner{
			ChildCommand: []string{self, childArgument, dir}, TempDir: dir,
			Log: slog.New(messageHandler{slog.DiscardHandler, func(string) { processes.find() }}),
		},
		processes: processes,
	}
}

// cancelAt records the processes of a run and then cancels it, when it logs the given message.
func (r *testRunner) cancelAt(message string, cancel context.CancelFunc) {
	r.Log = slog.New(messageHandler{slog.DiscardHandler, func(logged string) {
		if logged == message {
			r.processes.find()
			cancel()
		}
	}})
}

// run makes a run that must succeed and leave no process, and logs its table.
func (r *testRunner) run(t *testing.T, args plan.Args) report.Point {
	t.Helper()
	point, err := r.Run(t.Context(), args)
	if err != nil {
		t.Fatal(err)
	}
	r.processes.checkEnded(t)
	var table strings.Builder
	if err := point.Table(&table); err != nil {
		t.Fatal(err)
	}
	t.Log("\n" + table.String())
	return point
}

// processTracker records the processes that the runs of one test have started. It looks for them whenever a run logs a
// message, which it does after it has started all of them. The command line or the environment of each contains the
// test's directory, so that tests that run at the same time can distinguish their processes.
type processTracker struct {
	dir string

	mu   sync.Mutex
	seen map[int]bool // by process id
}

// find records and returns the existing processes of the test, including zombies.
func (p *processTracker) find() (found []int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pid := range children() {
		if !p.seen[pid] && processMentions(pid, p.dir) {
			p.seen[pid] = true
		}
		if p.seen[pid] {
			found = append(found, pid)
		}
	}
	return found
}

// checkEnded fails the test if no process was recorded, or if one still exists, even as a zombie.
func (p *processTracker) checkEnded(t *testing.T) {
	t.Helper()
	if left := p.find(); len(left) > 0 {
		t.Errorf("processes are left: %v", left)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.seen) == 0 {
		t.Error("the run started no process of its own that the test could find")
	}
}

// processMentions reports whether the command line or the environment of a process contains a text. Both are empty for
// a zombie.
func processMentions(pid int, text string) bool {
	for _, name := range []string{"cmdline", "environ"} {
		content, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, name))
		if err == nil && bytes.Contains(content, []byte(text)) {
			return true
		}
	}
	return false
}

// children returns the existing child processes of this process, including zombies.
func children() (found []int) {
	stats, _ := filepath.Glob("/proc/[0-9]*/stat") // fails only for a malformed pattern
	for _, name := range stats {
		content, err := os.ReadFile(name)
		if err != nil {
			continue // the process has exited since
		}
		fields := strings.Fields(string(content[bytes.LastIndexByte(content, ')')+1:]))
		if len(fields) > 1 && fields[1] == strconv.Itoa(os.Getpid()) {
			pid, _ := strconv.Atoi(filepath.Base(filepath.Dir(name))) // the pattern matches only digits
			found = append(found, pid)
		}
	}
	return found
}

// messageHandler is a log handler that calls a function with each message and discards the record.
type messageHandler struct {
	slog.Handler
	call func(message string)
}

// Enabled implements slog.Handler.
func (h messageHandler) Enabled(context.Context, slog.Level) bool { return true }

// Handle implements slog.Handler.
func (h messageHandler) Handle(_ context.Context, record slog.Record) error {
	h.call(record.Message)
	return nil
}

// expectation is a condition that figures must meet.
type expectation struct {
	what string
	met  bool
}

// expect fails the test for each expectation that the figures do not meet.
func expect(t *testing.T, figures any, expectations ...expectation) {
	t.Helper()
	for _, e := range expectations {
		if !e.met {
			t.Errorf("want %s, got %+v", e.what, figures)
		}
	}
}
