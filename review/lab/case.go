// Package lab has the parts that the cases of the review share: the frame of a case, the node's process, and stand-ins
// for servers, discovery and clients that follow the operators' pages. It uses the standard library only.
package lab

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld     = 0 // the rule held
	exitBroken   = 1 // the rule was broken
	exitCannotDo = 2 // the case could not run
)

// runLimit is the longest time that a case may take.
const runLimit = 110 * time.Second

// Case is one run of a case.
type Case struct {
	Trouble bool   // whether the disruption happens; TROUBLE=0 in the environment turns it off
	Root    string // the root of the repository
	Tmp     string // a folder that is removed at the end

	start time.Time

	mu      sync.Mutex
	record  *os.File
	broken  []string
	cleanup []func()
}

// Main runs a case and exits with its status. The program's working directory is the folder of the case.
func Main(run func(*Case) error) {
	os.Exit(runCase(run))
}

func runCase(run func(*Case) error) (status int) {
	c, err := newCase()
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitCannotDo
	}
	defer c.close()
	done := make(chan error, 1)
	go func() { done <- run(c) }()
	select {
	case err = <-done:
	case <-time.After(runLimit):
		err = fmt.Errorf("not finished after %v", runLimit)
	}
	if err != nil {
		c.Note("the case could not run: %v", err)
		fmt.Println("result: the case could not run:", err)
		return exitCannotDo
	}
	return c.result()
}

func newCase() (*Case, error) {
	dir, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	tmp, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Case{
		Trouble: os.Getenv("TROUBLE") != "0", Root: filepath.Join(dir, "..", ".."), Tmp: tmp,
		start: time.Now(), record: record,
	}, nil
}

// close ends everything that the case has started, the last first.
func (c *Case) close() {
	c.mu.Lock()
	cleanup := c.cleanup
	c.cleanup = nil
	c.mu.Unlock()
	for _, end := range slices.Backward(cleanup) {
		end()
	}
	_ = os.RemoveAll(c.Tmp)
	_ = c.record.Close()
}

// result prints and records the breaks of the rule, and returns the exit status.
func (c *Case) result() int {
	c.mu.Lock()
	broken := c.broken
	c.mu.Unlock()
	if len(broken) == 0 {
		c.Note("result: the rule held")
		fmt.Println("result: the rule held")
		return exitHeld
	}
	c.Note("result: the rule was broken %d times", len(broken))
	fmt.Printf("result: the rule was broken %d times, first: %s\n", len(broken), broken[0])
	return exitBroken
}

// Defer has a function called at the end of the case.
func (c *Case) Defer(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cleanup = append(c.cleanup, f)
}

// Since returns the time since the start of the case.
func (c *Case) Since() time.Duration { return time.Since(c.start) }

// Note adds a line to record.txt.
func (c *Case) Note(format string, args ...any) {
	at := c.Since()
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%9.3f %s\n", at.Seconds(), fmt.Sprintf(format, args...))
}

// Broken records a break of the rule.
func (c *Case) Broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.Note("BROKEN %s", text)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, text)
}
