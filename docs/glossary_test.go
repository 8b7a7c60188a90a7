package docs

import (
	"go/ast"
	"strings"
	"testing"
)

// TestGlossaryNamesWhatTheCodeHas checks the last column of the glossary: each name is declared in the module or in the
// node's packages.
func TestGlossaryNamesWhatTheCodeHas(t *testing.T) {
	inRoot(t)
	declared := declaredNames(t)
	names := 0
	for _, cells := range tableRows(t, "docs/GLOSSARY.md", 5) {
		for _, name := range quoted(cells[3]) {
			names++
			if !declared[name] {
				t.Errorf("the code declares no %s", name)
			}
		}
	}
	if names < 30 {
		t.Errorf("found %d names, want at least 30", names)
	}
}

// declaredNames returns the types, functions, fields, constants and variables of the module and the node's packages.
func declaredNames(t *testing.T) map[string]bool {
	t.Helper()
	files := nodeSources(t)
	for _, file := range goFiles(t, "balancer") {
		if !strings.HasSuffix(file, "_test.go") {
			files = append(files, parse(t, file))
		}
	}
	declared := map[string]bool{}
	for _, file := range files {
		ast.Inspect(file, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.FuncDecl:
				declared[n.Name.Name] = true
			case *ast.TypeSpec:
				declared[n.Name.Name] = true
			case *ast.StructType:
				for _, field := range n.Fields.List {
					declareAll(declared, field.Names)
				}
			case *ast.ValueSpec:
				declareAll(declared, n.Names)
			}
			return true
		})
	}
	return declared
}

func declareAll(declared map[string]bool, names []*ast.Ident) {
	for _, name := range names {
		declared[name.Name] = true
	}
}
