package docs

import (
	"path"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// TestReviewNamesThePackageOfEachTest holds the table at the end of the review to the code: each test that the page
// names is in the row of the package that declares it.
func TestReviewNamesThePackageOfEachTest(t *testing.T) {
	inRoot(t)
	const page, heading = "docs/review.md", "## Tests by package"
	text := strings.Join(docLines(t, page), "\n")
	paths, table, found := strings.Cut(text, heading)
	if !found {
		t.Fatalf("%s has no %q", page, heading)
	}
	table, _, _ = strings.Cut(table, "\n## ")
	var listed []string
	for row := range strings.Lines(table) {
		names := quoted(row)
		if len(names) < 2 {
			continue
		}
		declared := testsOf(t, names[0])
		for _, name := range names[1:] {
			listed = append(listed, name)
			if !slices.Contains(declared, name) {
				t.Errorf("%s does not declare %s", names[0], name)
			}
		}
	}
	for _, name := range regexp.MustCompile("`(?:Test|Fuzz|Benchmark)[A-Z]\\w*`").FindAllString(paths, -1) {
		if !slices.Contains(listed, strings.Trim(name, "`")) {
			t.Errorf("the table has no %s", name)
		}
	}
}

// testsOf lists what the test files of a folder declare.
func testsOf(t *testing.T, dir string) (names []string) {
	t.Helper()
	for _, file := range goFiles(t, dir) {
		if path.Dir(file) == dir && strings.HasSuffix(file, "_test.go") {
			names = append(names, declarations(t, file)...)
		}
	}
	return names
}
