package docs

import (
	"go/ast"
	"strings"
	"testing"
)

// TestGlossaryNamesDeclaredIdentifiers checks that each name in the last column of the glossary is declared in the
// decision module or in the node's packages.
func TestGlossaryNamesDeclaredIdentifiers(t *testing.T) {
	chdirToRoot(t)
	declared := declaredNames(t)
	names := 0
	for _, cells := range tableRows(t, "docs/GLOSSARY.md", 5) {
		for _, name := range codeSpans(cells[3]) {
			names++
			if !declared[name] {
				t.Errorf("docs/GLOSSARY.md names %s, which the code does not declare", name)
			}
		}
	}
	if names < 30 {
		t.Errorf("found %d names, want at least 30", names)
	}
}

// declaredNames returns the names of the types, functions, fields, constants and variables of the decision module and
// the node's packages, each with and without the package name as qualifier.
func declaredNames(t *testing.T) map[string]bool {
	t.Helper()
	files := nodeSources(t)
	for _, file := range goFiles(t, "balancer") {
		if !strings.HasSuffix(file, "_test.go") {
			files = append(files, parseGoFile(t, file))
		}
	}
	declared := map[string]bool{}
	for _, file := range files {
		declare := func(names ...*ast.Ident) {
			for _, name := range names {
				declared[name.Name], declared[file.Name.Name+"."+name.Name] = true, true
			}
		}
		ast.Inspect(file, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.FuncDecl:
				declare(n.Name)
			case *ast.TypeSpec:
				declare(n.Name)
			case *ast.StructType:
				for _, field := range n.Fields.List {
					declare(field.Names...)
				}
			case *ast.ValueSpec:
				declare(n.Names...)
			}
			return true
		})
	}
	return declared
}
