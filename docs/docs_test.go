// Package docs has only tests. They check that the pages for engineers agree with the code.
package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// chdirToRoot changes the working directory to the root of the repository for the duration of a test. The tests call it
// and not TestMain, because go test records which files a test reads, to decide whether its cached result is still
// valid, and it tracks changes of the directory only while tests run.
func chdirToRoot(t *testing.T) {
	t.Helper()
	t.Chdir("..")
}

// codeSpanPattern matches a Markdown code span in single backquotes.
var codeSpanPattern = regexp.MustCompile("`([^`]+)`")

// TestArchitectureNamesDeclaredFunctions checks the tables of steps on the architecture page: each function in a row is
// declared in one of the files that the row names.
func TestArchitectureNamesDeclaredFunctions(t *testing.T) {
	chdirToRoot(t)
	steps := 0
	for _, line := range readLines(t, "docs/ARCHITECTURE.md") {
		cells := strings.Split(line, "|")
		if len(cells) != 5 || !strings.Contains(cells[3], ".go`") {
			continue
		}
		steps++
		var declared []string
		for _, file := range codeSpans(cells[3]) {
			declared = append(declared, declarations(t, file)...)
		}
		for _, name := range codeSpans(cells[2]) {
			if !slices.Contains(declared, name) {
				t.Errorf("%s does not declare %s", strings.TrimSpace(cells[3]), name)
			}
		}
	}
	if steps < 20 {
		t.Errorf("found %d steps, want at least 20", steps)
	}
}

// TestDocsNameFilesThatExist checks that each Go file that the pages for engineers name exists. They name a file by its
// path from the root of the repository or by its base name.
func TestDocsNameFilesThatExist(t *testing.T) {
	chdirToRoot(t)
	known := map[string]bool{}
	for _, file := range goFiles(t, ".") {
		known[file], known[path.Base(file)] = true, true
	}
	for _, page := range []string{
		"README.md", "CONTRIBUTING.md", "docs/ARCHITECTURE.md", "docs/OPERATIONS.md", configurationPage,
	} {
		for _, line := range readLines(t, page) {
			for _, name := range codeSpans(line) {
				if strings.HasSuffix(name, ".go") && !strings.Contains(name, "*") && !known[name] {
					t.Errorf("%s names the file %s, which does not exist", page, name)
				}
			}
		}
	}
}

// TestDocsLinkToFilesThatExist checks that the files of the repository that the pages link to exist.
func TestDocsLinkToFilesThatExist(t *testing.T) {
	chdirToRoot(t)
	link := regexp.MustCompile(`\]\(([^)#]+)(#[^)]*)?\)`)
	links := 0
	for _, page := range allPages(t) {
		for _, match := range link.FindAllStringSubmatch(strings.Join(readLines(t, page), "\n"), -1) {
			if strings.Contains(match[1], "://") {
				continue
			}
			links++
			if _, err := os.Stat(path.Join(path.Dir(page), match[1])); err != nil {
				t.Errorf("%s links to %s: %v", page, match[1], err)
			}
		}
	}
	if links < 10 {
		t.Errorf("found %d links, want at least 10", links)
	}
}

// allPages returns the Markdown pages of the docs directory and its incidents, README.md and CONTRIBUTING.md.
func allPages(t *testing.T) []string {
	t.Helper()
	pages := []string{"README.md", "CONTRIBUTING.md"}
	for _, pattern := range []string{"docs/*.md", "docs/incidents/*.md"} {
		matches, err := filepath.Glob(pattern)
		if err != nil || len(matches) == 0 {
			t.Fatalf("no page matches %s, error %v", pattern, err)
		}
		pages = append(pages, matches...)
	}
	return pages
}

// TestOperationsExplainsEveryLogLine checks that the operations page has each log message of the node.
func TestOperationsExplainsEveryLogLine(t *testing.T) {
	chdirToRoot(t)
	page := strings.Join(readLines(t, "docs/OPERATIONS.md"), "\n")
	messages := 0
	for _, dir := range []string{"internal/node", "internal/discovery", "internal/downstream", "cmd/balancer"} {
		for _, file := range goFiles(t, dir) {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			for _, message := range logMessages(t, file) {
				messages++
				if !strings.Contains(page, "`"+message+"`") {
					t.Errorf("docs/OPERATIONS.md does not explain the log message %q of %s", message, file)
				}
			}
		}
	}
	if messages < 10 {
		t.Errorf("found %d log messages, want at least 10", messages)
	}
}

// TestDocsNameTestsThatExist checks that each test that the pages name exists, so that no page cites a test that was
// renamed or removed as proof.
func TestDocsNameTestsThatExist(t *testing.T) {
	chdirToRoot(t)
	known := map[string]bool{}
	for _, file := range goFiles(t, ".") {
		if !strings.HasSuffix(file, "_test.go") {
			continue
		}
		for _, name := range declarations(t, file) {
			known[name] = true
		}
	}
	testName := regexp.MustCompile(`^(Test|Fuzz|Benchmark)[A-Z]\w*$`)
	for _, page := range allPages(t) {
		for _, line := range readLines(t, page) {
			for _, name := range codeSpans(line) {
				if testName.MatchString(name) && !known[name] {
					t.Errorf("%s names the test %s, which does not exist", page, name)
				}
			}
		}
	}
}

// goFiles returns the Go files in a directory and its subdirectories.
func goFiles(t *testing.T, dir string) (files []string) {
	t.Helper()
	err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, ".go") {
			files = append(files, path)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// readLines returns the lines of a file.
func readLines(t *testing.T, file string) []string {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return strings.Split(string(text), "\n")
}

// codeSpans returns the contents of the Markdown code spans in a line.
func codeSpans(line string) (spans []string) {
	for _, match := range codeSpanPattern.FindAllStringSubmatch(line, -1) {
		spans = append(spans, match[1])
	}
	return spans
}

func parseGoFile(t *testing.T, file string) *ast.File {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

// declarations returns the names of the functions, methods and types that a Go file declares.
func declarations(t *testing.T, file string) (names []string) {
	ast.Inspect(parseGoFile(t, file), func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.FuncDecl:
			names = append(names, n.Name.Name)
		case *ast.TypeSpec:
			names = append(names, n.Name.Name)
		}
		return true
	})
	return names
}

// logMessages returns the messages of the logger calls in a Go file: the first arguments of calls of Info, Warn and
// Error that are string literals.
func logMessages(t *testing.T, file string) (messages []string) {
	ast.Inspect(parseGoFile(t, file), func(n ast.Node) bool {
		call, isCall := n.(*ast.CallExpr)
		if !isCall || len(call.Args) == 0 {
			return true
		}
		method, isMethod := call.Fun.(*ast.SelectorExpr)
		message, isLiteral := call.Args[0].(*ast.BasicLit)
		if isMethod && isLiteral && slices.Contains([]string{"Info", "Warn", "Error"}, method.Sel.Name) {
			text, err := strconv.Unquote(message.Value)
			if err != nil {
				t.Fatal(err)
			}
			messages = append(messages, text)
		}
		return true
	})
	return messages
}
