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

// TestMain runs the tests in the root of the repository.
func TestMain(m *testing.M) {
	if err := os.Chdir(".."); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var backticked = regexp.MustCompile("`([^`]+)`")

// TestArchitectureNamesWhatIsThere holds the tables of steps to the code: each function stands in one of the
// files that its row names.
func TestArchitectureNamesWhatIsThere(t *testing.T) {
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
	known := map[string]bool{}
	for _, file := range goFiles(t, ".") {
		known[file], known[path.Base(file)] = true, true
	}
	for _, page := range []string{"README.md", "CONTRIBUTING.md", "docs/ARCHITECTURE.md", "docs/OPERATIONS.md"} {
		for _, line := range docLines(t, page) {
			for _, name := range quoted(line) {
				if strings.HasSuffix(name, ".go") && !strings.Contains(name, "*") && !known[name] {
					t.Errorf("%s: no file %s", page, name)
				}
			}
		}
	}
}

// TestOperationsExplainsEveryLogLine holds the on-call page to the log: each message of the node is on it.
func TestOperationsExplainsEveryLogLine(t *testing.T) {
	page := strings.Join(docLines(t, "docs/OPERATIONS.md"), "\n")
	messages := 0
	for _, dir := range []string{"internal/node", "internal/discovery", "cmd/balancer"} {
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
	known := map[string]bool{}
	for _, file := range goFiles(t, ".") {
		if !strings.HasSuffix(file, "_test.go") {
			continue
		}
		for _, name := range declarations(t, file) {
			known[name] = true
		}
	}
	pages, err := filepath.Glob("docs/*.md")
	if err != nil {
		t.Fatal(err)
	}
	named := regexp.MustCompile(`^(Test|Fuzz|Benchmark)[A-Z]\w*$`)
	for _, page := range append(pages, "README.md", "CONTRIBUTING.md") {
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
