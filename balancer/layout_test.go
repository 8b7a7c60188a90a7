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

// maxColumns is the longest line allowed in the module, in columns, with tabs of four columns. It is lower
// than the linter's limit, so that two files fit side by side.
const maxColumns = 110

// policyFiles returns the files that the deploy file lists as the ones that make the module's decisions.
func policyFiles(t *testing.T) []string {
	t.Helper()
	text, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	line := regexp.MustCompile(`(?m)^policy = \[(.*)\]$`).FindSubmatch(text)
	if line == nil {
		t.Fatal("the deploy file has no line with the policy files")
	}
	var files []string
	for f := range strings.SplitSeq(string(line[1]), ",") {
		files = append(files, strings.Trim(f, ` "`))
	}
	return files
}

// sourceFiles returns the Go files of the module and its packages, without their tests.
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
	listed := policyFiles(t)
	slices.Sort(listed)
	var files []string
	for _, file := range sourceFiles(t) {
		files = append(files, "balancer/"+file)
	}
	slices.Sort(files)
	if !slices.Equal(listed, files) {
		t.Errorf("the deploy file lists %v, want the source files of the module, %v", listed, files)
	}
}

// On-call engineers read the whole module under time pressure, so its lines are short, and each file has a
// comment at its top or on one of its types that states its purpose. The linter limits the length of files
// and functions.
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

// checkLines checks the length of the lines of a file.
func checkLines(t *testing.T, file, text string) {
	t.Helper()
	lines := strings.Split(strings.TrimSuffix(text, "\n"), "\n")
	for i, line := range lines {
		if n := utf8.RuneCountInString(strings.ReplaceAll(line, "\t", "    ")); n > maxColumns {
			t.Errorf("%s:%d has %d columns, want at most %d", file, i+1, n, maxColumns)
		}
	}
}

// checkDeclarations checks that a file has a comment before its package clause or on a type.
func checkDeclarations(t *testing.T, file string, text []byte) {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), file, text, parser.ParseComments)
	if err != nil {
		t.Fatal(err)
	}
	documented := len(parsed.Comments) > 0 && parsed.Comments[0].Pos() < parsed.Package
	for _, declaration := range parsed.Decls {
		general, ok := declaration.(*ast.GenDecl)
		documented = documented || ok && general.Tok == token.TYPE && general.Doc != nil
	}
	if !documented {
		t.Errorf("%s has no comment before its package clause or on a type, want one", file)
	}
}
