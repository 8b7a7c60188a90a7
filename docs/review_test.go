package docs

import (
	"path"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// TestReviewNamesThePackageOfEachTest checks the table of tests by package on the review page: each test that the page
// names before the table has an entry in it, in the row of the package that declares the test.
func TestReviewNamesThePackageOfEachTest(t *testing.T) {
	chdirToRoot(t)
	const page, heading = "docs/review.md", "## Tests by package"
	text := strings.Join(readLines(t, page), "\n")
	reviewText, table, found := strings.Cut(text, heading)
	if !found {
		t.Fatalf("%s has no heading %q", page, heading)
	}
	table, _, _ = strings.Cut(table, "\n## ")
	var listed []string
	for row := range strings.Lines(table) {
		names := codeSpans(row)
		if len(names) < 2 {
			continue
		}
		declared := testDeclarations(t, names[0])
		for _, name := range names[1:] {
			listed = append(listed, name)
			if !slices.Contains(declared, name) {
				t.Errorf("docs/review.md has %[2]s in the row of %[1]s, which does not declare it", names[0], name)
			}
		}
	}
	for _, name := range regexp.MustCompile("`(?:Test|Fuzz|Benchmark)[A-Z]\\w*`").FindAllString(reviewText, -1) {
		if !slices.Contains(listed, strings.Trim(name, "`")) {
			t.Errorf("the table of tests by package has no entry for %s", name)
		}
	}
}

// testDeclarations returns the names of the functions, methods and types that the test files of a directory declare.
func testDeclarations(t *testing.T, dir string) (names []string) {
	t.Helper()
	for _, file := range goFiles(t, dir) {
		if path.Dir(file) == dir && strings.HasSuffix(file, "_test.go") {
			names = append(names, declarations(t, file)...)
		}
	}
	return names
}
