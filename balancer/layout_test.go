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

// maxColumns is the longest line of the module, narrower than the linter's, so that two files fit side by side. A tab
// counts as four.
const maxColumns = 110

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

// On-call engineers read the whole module at night: its lines stay narrow, and each file says at its top, or on a type
// of its own, what it is for. The linter limits the length of files and functions.
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
	for i, line := range lines {
		if n := utf8.RuneCountInString(strings.ReplaceAll(line, "\t", "    ")); n > maxColumns {
			t.Errorf("%s:%d has %d columns, at most %d are allowed", file, i+1, n, maxColumns)
		}
	}
}

func checkDeclarations(t *testing.T, file string, text []byte) {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), file, text, parser.ParseComments)
	if err != nil {
		t.Fatal(err)
	}
	described := len(parsed.Comments) > 0 && parsed.Comments[0].Pos() < parsed.Package
	for _, declaration := range parsed.Decls {
		general, ok := declaration.(*ast.GenDecl)
		described = described || ok && general.Tok == token.TYPE && general.Doc != nil
	}
	if !described {
		t.Errorf("%s has neither a comment before its package clause nor one on a type", file)
	}
}
