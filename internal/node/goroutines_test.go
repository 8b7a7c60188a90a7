package node

import (
	"regexp"
	"runtime"
	"strings"
	"testing"

	"basaltdrum/internal/testutil"
)

// startedByRun and itsWork find the goroutines that Run has started and that are still at work, in a dump of stacks.
var (
	startedByRun = "created by basaltdrum/internal/node.(*Node).startBackground"
	itsWork      = regexp.MustCompile(`\.\(\*(Loop|Client|Pool)\)\.(Run|CloseExpired)\(`)
)

// backgroundGoroutines returns the goroutines that Run has started, of all nodes that run, by their numbers.
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
		if strings.Contains(stack, startedByRun) && itsWork.MatchString(stack) {
			number, _, _ := strings.Cut(strings.TrimPrefix(stack, "goroutine "), " ")
			found[number] = true
		}
	}
	return found
}

// newBackground counts the goroutines that Run has started since before.
func newBackground(before map[string]bool) (count int) {
	for number := range backgroundGoroutines() {
		if !before[number] {
			count++
		}
	}
	return count
}

// Run owns the loop, discovery and the sweep of idle connections: when it has returned, they have ended.
func TestRunEndsTheGoroutinesThatItStarted(t *testing.T) {
	for name, poll := range map[string]bool{"pushed": false, "polled": true} {
		t.Run(name, func(t *testing.T) {
			cfg := testConfig(testutil.CompleteList())
			cfg.Settings.PollDiscovery, cfg.Settings.PollWithin = poll, testutil.Timeout
			before := backgroundGoroutines()
			_, stop := startNode(t, cfg, func(n *Node) {
				n.drainSchedule, n.drainLimit = drainSchedule{}, 2*testutil.Timeout
			})
			for newBackground(before) < 3 {
				runtime.Gosched()
			}
			if err := stop(); err != nil {
				t.Fatal(err)
			}
			if left := newBackground(before); left > 0 {
				t.Errorf("%d goroutines have not ended", left)
			}
		})
	}
}
