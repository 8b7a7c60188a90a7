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

// childRole is the role of the children of these tests, which the tests' own program plays.
const childRole = "process-test-child"

// TestMain lets the tests' own program play the children.
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

// testService is what a child of these tests serves.
type testService struct{}

// Double returns twice a number, or an error for one that is negative.
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

func TestCallOfAChild(t *testing.T) {
	t.Parallel()
	child := startTestChild(t)
	var twice int
	if err := child.Call(t.Context(), "Double", 21, &twice); err != nil || twice != 42 {
		t.Errorf("%d, %v", twice, err)
	}
	if err := child.Call(t.Context(), "Double", -1, &twice); err == nil {
		t.Error("the child's error is lost")
	}
	if err := child.Call(t.Context(), "Halve", 21, &twice); err == nil {
		t.Error("a method that the child does not have is called")
	}
}

// A call ends with its context, though the child goes on with it; such a child is killed once the time in which it
// might have ended by itself is over, which is real time.
func TestCallEndsWithItsContext(t *testing.T) {
	t.Parallel()
	child := startTestChild(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := child.Call(ctx, "Hang", struct{}{}, &struct{}{}); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v, want %v", err, context.Canceled)
	}
	child.Stop()
	if status, ok := child.cmd.ProcessState.Sys().(syscall.WaitStatus); !ok || status.Signal() != syscall.SIGKILL {
		t.Errorf("the child ended by itself: %v", child.cmd.ProcessState)
	}
}

// A call of a child that dies is an error, and no call waits for ever.
func TestCallOfAChildThatDies(t *testing.T) {
	t.Parallel()
	child := startTestChild(t)
	if err := syscall.Kill(child.PID(), syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	if err := child.Call(t.Context(), "Hang", struct{}{}, &struct{}{}); err == nil {
		t.Error("a child that was killed answers")
	}
	testutil.Wait(t, child.exited, "the end of the child")
}

// Stop ends a child whose calls are open, waits until it has ended, and may be called again.
func TestStopWaitsForTheEnd(t *testing.T) {
	t.Parallel()
	child := startTestChild(t)
	child.Stop()
	select {
	case <-child.exited:
	default:
		t.Error("the child has not ended")
	}
	child.Stop()
}

// Terminals send signals to all their processes; a child leaves its end to its parent.
func TestChildIgnoresSignals(t *testing.T) {
	t.Parallel()
	child := startTestChild(t)
	var twice int
	if err := child.Call(t.Context(), "Double", 1, &twice); err != nil { // so that it serves
		t.Fatal(err)
	}
	for _, signal := range []syscall.Signal{syscall.SIGINT, syscall.SIGTERM} {
		if err := syscall.Kill(child.PID(), signal); err != nil {
			t.Fatal(err)
		}
	}
	if err := child.Call(t.Context(), "Double", 1, &twice); err != nil {
		t.Errorf("after signals: %v", err)
	}
}
