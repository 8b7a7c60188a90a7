package process

import (
	"context"
	"errors"
	"fmt"
	"os"
	"syscall"
	"testing"

	"basaltdrum/internal/testutil"
)

// childRole is the role of the children of these tests, which run the test binary.
const childRole = "process-test-child"

// TestMain lets the test binary act as the child processes.
func TestMain(m *testing.M) {
	if os.Args[len(os.Args)-1] == childRole {
		if err := ServeParent(&testService{}); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	testutil.VerifyTestMain(m)
}

// testService is the RPC service of the children of these tests.
type testService struct{}

// Double returns twice n, or an error if n is negative.
func (*testService) Double(n int, twice *int) error {
	if n < 0 {
		return errors.New("negative")
	}
	*twice = 2 * n
	return nil
}

// Hang never returns.
func (*testService) Hang(struct{}, *struct{}) error { select {} }

func startTestChild(t *testing.T) *ChildProcess {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	child, err := StartChild([]string{self}, childRole)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(child.Stop)
	return child
}

func TestChildCall(t *testing.T) {
	t.Parallel()
	child := startTestChild(t)
	var twice int
	if err := child.Call(t.Context(), "Double", 21, &twice); err != nil || twice != 42 {
		t.Errorf("Double(21) = %d, %v, want 42", twice, err)
	}
	if err := child.Call(t.Context(), "Double", -1, &twice); err == nil {
		t.Error("Double(-1) succeeded, want the child's error")
	}
	if err := child.Call(t.Context(), "Halve", 21, &twice); err == nil {
		t.Error("a call of an unknown method succeeded, want an error")
	}
}

// A call returns when its context ends, though the child is still working on it. Stop kills such a child after
// StopTimeout, which is real time.
func TestCallReturnsWhenContextEnds(t *testing.T) {
	t.Parallel()
	child := startTestChild(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := child.Call(ctx, "Hang", struct{}{}, &struct{}{}); !errors.Is(err, context.Canceled) {
		t.Errorf("call with a cancelled context: error %v, want %v", err, context.Canceled)
	}
	child.Stop()
	if status, ok := child.cmd.ProcessState.Sys().(syscall.WaitStatus); !ok || status.Signal() != syscall.SIGKILL {
		t.Errorf("the child exited with %v, want SIGKILL", child.cmd.ProcessState)
	}
}

// A call of a killed child returns an error and does not block.
func TestCallOfKilledChild(t *testing.T) {
	t.Parallel()
	child := startTestChild(t)
	if err := syscall.Kill(child.PID(), syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	if err := child.Call(t.Context(), "Hang", struct{}{}, &struct{}{}); err == nil {
		t.Error("a call of a killed child succeeded, want an error")
	}
	testutil.Wait(t, child.exited, "the child's exit")
}

// Stop waits until the child has exited, and may be called again.
func TestStopWaitsForExit(t *testing.T) {
	t.Parallel()
	child := startTestChild(t)
	child.Stop()
	select {
	case <-child.exited:
	default:
		t.Error("the child is still running after Stop, want it exited")
	}
	child.Stop()
}

// A child ignores the signals that a terminal sends to all of its processes, since the parent stops it.
func TestChildIgnoresSignals(t *testing.T) {
	t.Parallel()
	child := startTestChild(t)
	var twice int
	if err := child.Call(t.Context(), "Double", 1, &twice); err != nil { // wait until the child serves
		t.Fatal(err)
	}
	for _, signal := range []syscall.Signal{syscall.SIGINT, syscall.SIGTERM} {
		if err := syscall.Kill(child.PID(), signal); err != nil {
			t.Fatal(err)
		}
	}
	if err := child.Call(t.Context(), "Double", 1, &twice); err != nil {
		t.Errorf("call after SIGINT and SIGTERM: %v", err)
	}
}
