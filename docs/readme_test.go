package docs

import (
	"os"
	"strings"
	"testing"
)

// TestTryCommandNamesAProgram checks the command that README.md gives for a first try: it must run a program of the
// repository, and the test command, which CI runs, must include it.
func TestTryCommandNamesAProgram(t *testing.T) {
	chdirToRoot(t)
	tryCommand := fencedBlock(t, "README.md", "<!-- try -->")
	dir, isRun := strings.CutPrefix(tryCommand, "go run ./")
	if !isRun || strings.ContainsAny(dir, " \n") {
		t.Fatalf("the block after <!-- try --> in README.md is %q, want go run and one directory", tryCommand)
	}
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	var mainFiles int
	for _, entry := range entries {
		if strings.HasSuffix(entry.Name(), ".go") && parseGoFile(t, dir+"/"+entry.Name()).Name.Name == "main" {
			mainFiles++
		}
	}
	if mainFiles == 0 {
		t.Errorf("%s has no file of package main", dir)
	}
	if testCommand := fencedBlock(t, "README.md", "<!-- test -->"); !strings.Contains(testCommand, tryCommand+" && ") {
		t.Errorf("the test command of README.md does not run %q before the tests", tryCommand)
	}
}

// fencedBlock returns the contents of the fenced code block that follows a marker, which must occur once on the page.
func fencedBlock(t *testing.T, page, marker string) string {
	t.Helper()
	text := strings.Join(readLines(t, page), "\n")
	_, block, found := strings.Cut(text, marker+"\n```sh\n")
	if !found || strings.Count(text, marker) != 1 {
		t.Fatalf("%s does not have exactly one sh block after %s", page, marker)
	}
	code, _, closed := strings.Cut(block, "\n```\n")
	if !closed {
		t.Fatalf("the block after %s in %s has no closing fence", marker, page)
	}
	return code
}
