package docs

import (
	"os"
	"strings"
	"testing"
)

// TestTryCommandNamesAProgram holds the command that the README gives a newcomer to the code: it runs a program of the
// repository, and CI runs the same.
func TestTryCommandNamesAProgram(t *testing.T) {
	inRoot(t)
	try := fencedBlock(t, "README.md", "<!-- try -->")
	dir, isRun := strings.CutPrefix(try, "go run ./")
	if !isRun || strings.ContainsAny(dir, " \n") {
		t.Fatalf("the block is %q, want go run and one folder", try)
	}
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	var programs int
	for _, entry := range entries {
		if strings.HasSuffix(entry.Name(), ".go") && parse(t, dir+"/"+entry.Name()).Name.Name == "main" {
			programs++
		}
	}
	if programs == 0 {
		t.Errorf("%s has no file of a program", dir)
	}
	if test := fencedBlock(t, "README.md", "<!-- test -->"); !strings.Contains(test, try+" && ") {
		t.Errorf("the test command does not run %q before the tests", try)
	}
}

// fencedBlock returns the code of the one fenced block of a page that follows a mark.
func fencedBlock(t *testing.T, page, mark string) string {
	t.Helper()
	text := strings.Join(docLines(t, page), "\n")
	_, marked, found := strings.Cut(text, mark+"\n```sh\n")
	if !found || strings.Count(text, mark) != 1 {
		t.Fatalf("%s should have one block behind %s", page, mark)
	}
	code, _, closed := strings.Cut(marked, "\n```\n")
	if !closed {
		t.Fatalf("the block behind %s of %s has no end", mark, page)
	}
	return code
}
