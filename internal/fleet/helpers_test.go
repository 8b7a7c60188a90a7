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

// childArgument makes the tests' own program a child: it is followed by the folder of the test that started it and by
// the role.
const childArgument = "child"

// TestMain lets the tests' own program play the children, and fails the tests if a goroutine or a process outlives
// them.
func TestMain(m *testing.M) {
	if len(os.Args) > 3 && os.Args[1] == childArgument { // a child never runs the tests, which start children
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

// Run is part of goleak.TestingM.
func (c processCheck) Run() int {
	code := c.tests.Run()
	if left := children(); code == 0 && len(left) > 0 {
		fmt.Fprintf(os.Stderr, "processes are left: %v\n", left)
		return 1
	}
	return code
}

// testRunner makes runs, and follows the processes that they start.
type testRunner struct {
	Runner
	started *processWatch
}

func newTestRunner(t *testing.T) *testRunner {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	started := &processWatch{dir: dir, seen: map[int]bool{}}
	return &testRunner{
		Runner: Runner{
			ChildCommand: []string{self, childArgument, dir}, TempDir: dir,
			Log: slog.New(messageHandler{slog.DiscardHandler, func(string) { started.look() }}),
		},
		started: started,
	}
}

// cancelAt has a run note its processes and then cancelled, once it logs a message.
func (r *testRunner) cancelAt(message string, cancel context.CancelFunc) {
	r.Log = slog.New(messageHandler{slog.DiscardHandler, func(logged string) {
		if logged == message {
			r.started.look()
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
	r.started.checkEnded(t)
	var table strings.Builder
	if err := point.Table(&table); err != nil {
		t.Fatal(err)
	}
	t.Log("\n" + table.String())
	return point
}

// processWatch notes the processes that the runs of one test have started. It looks for them whenever a run logs a
// message, which it does once all of them are there. All have the test's folder in their command line or their
// environment, so that tests that run at the same time tell theirs apart.
type processWatch struct {
	dir string

	mu   sync.Mutex
	seen map[int]bool // by process id
}

// look notes the processes that are there, and returns those of the test, zombies included.
func (w *processWatch) look() (there []int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, pid := range children() {
		if !w.seen[pid] && mentions(pid, w.dir) {
			w.seen[pid] = true
		}
		if w.seen[pid] {
			there = append(there, pid)
		}
	}
	return there
}

// checkEnded fails the test if it saw no process, or if one is left, be it as a zombie.
func (w *processWatch) checkEnded(t *testing.T) {
	t.Helper()
	if left := w.look(); len(left) > 0 {
		t.Errorf("processes are left: %v", left)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.seen) == 0 {
		t.Error("no process was seen")
	}
}

// mentions says that a text is in the command line or the environment of a process. A zombie has neither.
func mentions(pid int, text string) bool {
	for _, name := range []string{"cmdline", "environ"} {
		content, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, name))
		if err == nil && bytes.Contains(content, []byte(text)) {
			return true
		}
	}
	return false
}

// children returns the processes that this one has started and that are still there, zombies included.
func children() (found []int) {
	stats, _ := filepath.Glob("/proc/[0-9]*/stat") // the pattern is a good one
	for _, name := range stats {
		content, err := os.ReadFile(name)
		if err != nil {
			continue // it has ended since
		}
		fields := strings.Fields(string(content[bytes.LastIndexByte(content, ')')+1:]))
		if len(fields) > 1 && fields[1] == strconv.Itoa(os.Getpid()) {
			pid, _ := strconv.Atoi(filepath.Base(filepath.Dir(name))) // it is digits
			found = append(found, pid)
		}
	}
	return found
}

// messageHandler is a log handler that calls a function with each message, and writes nothing.
type messageHandler struct {
	slog.Handler
	call func(message string)
}

// Enabled is part of slog.Handler.
func (h messageHandler) Enabled(context.Context, slog.Level) bool { return true }

// Handle is part of slog.Handler.
func (h messageHandler) Handle(_ context.Context, record slog.Record) error {
	h.call(record.Message)
	return nil
}

// expectation is what figures must show.
type expectation struct {
	what string
	met  bool
}

// expect fails the test for each expectation that figures do not meet.
func expect(t *testing.T, figures any, expectations ...expectation) {
	t.Helper()
	for _, e := range expectations {
		if !e.met {
			t.Errorf("want %s: %+v", e.what, figures)
		}
	}
}
