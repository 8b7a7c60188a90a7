package node

import (
	"regexp"
	"runtime"
	"strings"
	"testing"

	"basaltdrum/internal/testutil"
)

// createdByRun and backgroundFunction match the goroutines in a stack dump that Run has started and that are still
// running.
var (
	createdByRun       = "created by basaltdrum/internal/node.(*Node).startBackground"
	backgroundFunction = regexp.MustCompile(`\.\(\*(Loop|Client|Pool)\)\.(Run|CloseExpired)\(`)
)

// backgroundGoroutines returns the IDs of the goroutines that Run has started, of all running nodes.
func backgroundGoroutines() map[string]bool {
	stacks := make([]byte, 1<<20)
	for n := runtime.Stack(stacks, true); ; n = runtime.Stack(stacks, true) {
		if n < len(stacks) {
			stacks = stacks[:n]
			break
		}
		stacks = make([]byte, 2*len(stacks))
	}
	found := map[string]bool{}
	for stack := range strings.SplitSeq(string(stacks), "\n\n") {
		if strings.Contains(stack, createdByRun) && backgroundFunction.MatchString(stack) {
			number, _, _ := strings.Cut(strings.TrimPrefix(stack, "goroutine "), " ")
			found[number] = true
		}
	}
	return found
}

// countNewBackground counts the goroutines that Run has started and that are not in before.
func countNewBackground(before map[string]bool) (count int) {
	for number := range backgroundGoroutines() {
		if !before[number] {
			count++
		}
	}
	return count
}

// When Run has returned, the loop, the discovery client and the goroutine that closes idle connections have ended.
func TestRunStopsTheGoroutinesThatItStarted(t *testing.T) {
	for name, poll := range map[string]bool{"pushed": false, "polled": true} {
		t.Run(name, func(t *testing.T) {
			cfg := testConfig(testutil.CompleteList())
			cfg.Settings.PollDiscovery, cfg.Settings.PollWithin = poll, testutil.Timeout
			before := backgroundGoroutines()
			_, stop := startNode(t, cfg, func(n *Node) {
				n.drainSchedule, n.drainLimit = drainSchedule{}, 2*testutil.Timeout
			})
			for countNewBackground(before) < 3 {
				runtime.Gosched()
			}
			if err := stop(); err != nil {
				t.Fatal(err)
			}
			if left := countNewBackground(before); left > 0 {
				t.Errorf("got %d goroutines still running after Run, want 0", left)
			}
		})
	}
}
