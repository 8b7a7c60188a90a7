package balancer

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"unicode/utf8"
)

// Limits that keep each file, function and line readable at a glance.
const (
	maxFileLines     = 400
	maxFunctionLines = 50
	maxColumns       = 110 // a tab counts as four
)

// policyFiles are those that the deploy file names as the module's decisions.
func policyFiles(t *testing.T) []string {
	t.Helper()
	text, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	line := regexp.MustCompile(`(?m)^policy = \[(.*)\]$`).FindSubmatch(text)
	if line == nil {
		t.Fatal("the deploy file names no policy files")
	}
	var files []string
	for f := range strings.SplitSeq(string(line[1]), ",") {
		files = append(files, strings.Trim(f, ` "`))
	}
	return files
}

// sourceFiles are the Go files of the module and its packages without their tests.
func sourceFiles(t *testing.T) (files []string) {
	t.Helper()
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
			files = append(files, path)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return files
}

func TestDeployFileNamesAllSourceFiles(t *testing.T) {
	named := policyFiles(t)
	slices.Sort(named)
	var files []string
	for _, file := range sourceFiles(t) {
		files = append(files, "balancer/"+file)
	}
	slices.Sort(files)
	if !slices.Equal(named, files) {
		t.Errorf("the deploy file names %v, the module has %v", named, files)
	}
}

// On-call staff read the whole module at night: its files and functions stay short and narrow, and each
// file says at its top, or on a type of its own, what it is for.
func TestModuleStaysReadable(t *testing.T) {
	for _, file := range sourceFiles(t) {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		checkLines(t, file, string(text))
		checkDeclarations(t, file, text)
	}
}

func checkLines(t *testing.T, file, text string) {
	t.Helper()
	lines := strings.Split(strings.TrimSuffix(text, "\n"), "\n")
	if len(lines) > maxFileLines {
		t.Errorf("%s has %d lines, at most %d are allowed", file, len(lines), maxFileLines)
	}
	for i, line := range lines {
		if n := utf8.RuneCountInString(strings.ReplaceAll(line, "\t", "    ")); n > maxColumns {
			t.Errorf("%s:%d has %d columns, at most %d are allowed", file, i+1, n, maxColumns)
		}
	}
}

func checkDeclarations(t *testing.T, file string, text []byte) {
	t.Helper()
	files := token.NewFileSet()
	parsed, err := parser.ParseFile(files, file, text, parser.ParseComments)
	if err != nil {
		t.Fatal(err)
	}
	described := len(parsed.Comments) > 0 && parsed.Comments[0].Pos() < parsed.Package
	for _, declaration := range parsed.Decls {
		switch declaration := declaration.(type) {
		case *ast.FuncDecl:
			first, last := files.Position(declaration.Pos()).Line, files.Position(declaration.End()).Line
			if lines := last - first + 1; lines > maxFunctionLines {
				t.Errorf("%s: %s has %d lines, at most %d are allowed", file, declaration.Name.Name, lines,
					maxFunctionLines)
			}
		case *ast.GenDecl:
			described = described || declaration.Tok == token.TYPE && declaration.Doc != nil
		}
	}
	if !described {
		t.Errorf("%s has neither a comment before its package clause nor one on a type", file)
	}
}
