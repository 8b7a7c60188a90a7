// Package docs has no code: its tests hold the pages for engineers to the code.
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

// inRoot runs a test in the root of the repository. It has to be called in the test and not in TestMain: go test notes
// which files a test reads, to tell whether its cached result still holds, and it follows a change of the directory
// only while tests run.
func inRoot(t *testing.T) {
	t.Helper()
	t.Chdir("..")
}

var backticked = regexp.MustCompile("`([^`]+)`")

// TestArchitectureNamesWhatIsThere holds the tables of steps to the code: each function stands in one of the
// files that its row names.
func TestArchitectureNamesWhatIsThere(t *testing.T) {
	inRoot(t)
	steps := 0
	for _, line := range docLines(t, "docs/ARCHITECTURE.md") {
		cells := strings.Split(line, "|")
		if len(cells) != 5 || !strings.Contains(cells[3], ".go`") {
			continue
		}
		steps++
		var declared []string
		for _, file := range quoted(cells[3]) {
			declared = append(declared, declarations(t, file)...)
		}
		for _, name := range quoted(cells[2]) {
			if !slices.Contains(declared, name) {
				t.Errorf("%s does not declare %s", strings.TrimSpace(cells[3]), name)
			}
		}
	}
	if steps < 20 {
		t.Errorf("found %d steps, want at least 20", steps)
	}
}

// TestDocsNameFilesThatExist checks every Go file that the pages for engineers name, from the root or by its
// bare name.
func TestDocsNameFilesThatExist(t *testing.T) {
	inRoot(t)
	known := map[string]bool{}
	for _, file := range goFiles(t, ".") {
		known[file], known[path.Base(file)] = true, true
	}
	for _, page := range []string{
		"README.md", "CONTRIBUTING.md", "docs/ARCHITECTURE.md", "docs/OPERATIONS.md", configurationPage,
	} {
		for _, line := range docLines(t, page) {
			for _, name := range quoted(line) {
				if strings.HasSuffix(name, ".go") && !strings.Contains(name, "*") && !known[name] {
					t.Errorf("%s: no file %s", page, name)
				}
			}
		}
	}
}

// TestDocsLinkToFilesThatExist follows the links of the pages to files of the repository.
func TestDocsLinkToFilesThatExist(t *testing.T) {
	inRoot(t)
	link := regexp.MustCompile(`\]\(([^)#]+)(#[^)]*)?\)`)
	links := 0
	for _, page := range allPages(t) {
		for _, match := range link.FindAllStringSubmatch(strings.Join(docLines(t, page), "\n"), -1) {
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

// allPages lists the pages of the root and of docs.
func allPages(t *testing.T) []string {
	t.Helper()
	pages, err := filepath.Glob("docs/*.md")
	if err != nil {
		t.Fatal(err)
	}
	return append(pages, "README.md", "CONTRIBUTING.md")
}

// TestOperationsExplainsEveryLogLine holds the on-call page to the log: each message of the node is on it.
func TestOperationsExplainsEveryLogLine(t *testing.T) {
	inRoot(t)
	page := strings.Join(docLines(t, "docs/OPERATIONS.md"), "\n")
	messages := 0
	for _, dir := range []string{"internal/node", "internal/discovery", "internal/downstream", "cmd/balancer"} {
		for _, file := range goFiles(t, dir) {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			for _, message := range logMessages(t, file) {
				messages++
				if !strings.Contains(page, "`"+message+"`") {
					t.Errorf("docs/OPERATIONS.md does not explain %q of %s", message, file)
				}
			}
		}
	}
	if messages < 10 {
		t.Errorf("found %d log messages, want at least 10", messages)
	}
}

// TestDocsNameTestsThatExist checks every test that the pages name: what they claim to be shown is shown by it.
func TestDocsNameTestsThatExist(t *testing.T) {
	inRoot(t)
	known := map[string]bool{}
	for _, file := range goFiles(t, ".") {
		if !strings.HasSuffix(file, "_test.go") {
			continue
		}
		for _, name := range declarations(t, file) {
			known[name] = true
		}
	}
	named := regexp.MustCompile(`^(Test|Fuzz|Benchmark)[A-Z]\w*$`)
	for _, page := range allPages(t) {
		for _, line := range docLines(t, page) {
			for _, name := range quoted(line) {
				if named.MatchString(name) && !known[name] {
					t.Errorf("%s: no test %s", page, name)
				}
			}
		}
	}
}

// goFiles lists the Go files below a folder.
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

func docLines(t *testing.T, page string) []string {
	t.Helper()
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	return strings.Split(string(text), "\n")
}

// quoted lists what a line has in backticks.
func quoted(line string) (names []string) {
	for _, match := range backticked.FindAllStringSubmatch(line, -1) {
		names = append(names, match[1])
	}
	return names
}

func parse(t *testing.T, file string) *ast.File {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

// declarations lists the functions, methods and types of a file.
func declarations(t *testing.T, file string) (names []string) {
	ast.Inspect(parse(t, file), func(n ast.Node) bool {
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

// logMessages lists the messages of the calls to a logger in a file.
func logMessages(t *testing.T, file string) (messages []string) {
	ast.Inspect(parse(t, file), func(n ast.Node) bool {
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
