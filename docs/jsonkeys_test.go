package docs

import (
	"go/ast"
	"go/token"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// configRoots maps the structs that the configuration is decoded into to their paths in the configuration file.
var configRoots = map[string]string{
	"configFile":   "",
	"settingsFile": "settings.",
	"document":     "settings.",
	"wireEntry":    "known.targets[].",
}

// listPath is the path of the endpoint list in the configuration file. The top-level keys of the list are not in a
// struct: the parser compares them one by one, see comparedKeys.
const listPath = "known."

// unrelatedDirs are the directories below internal whose packages are not part of the node.
var unrelatedDirs = []string{"internal/fleet/", "internal/servermodel/", "internal/wire/"}

// nodeSources returns the syntax trees of the node's internal packages, without their tests.
func nodeSources(t *testing.T) (files []*ast.File) {
	t.Helper()
	for _, file := range goFiles(t, "internal") {
		isInDir := func(dir string) bool { return strings.HasPrefix(file, dir) }
		if !slices.ContainsFunc(unrelatedDirs, isInDir) && !strings.HasSuffix(file, "_test.go") {
			files = append(files, parseGoFile(t, file))
		}
	}
	return files
}

// codeKeys returns the paths of the keys that the code reads from the configuration file.
func codeKeys(t *testing.T) []string {
	t.Helper()
	files := nodeSources(t)
	structs := jsonStructs(t, files)
	walker := structWalker{structs: structs, keys: map[string]bool{}, reached: map[string]bool{}}
	for root, path := range configRoots {
		if structs[root] == nil {
			t.Fatalf("found no struct %s with JSON keys", root)
		}
		walker.walkNamed(t, root, path)
	}
	for name := range structs {
		if !walker.reached[name] {
			t.Errorf("struct %s has JSON keys, but is not reachable from the structs in configRoots", name)
		}
	}
	for _, key := range comparedKeys(t, files) {
		walker.keys[listPath+key] = true
	}
	return sortedKeys(walker.keys)
}

// jsonStructs returns the named struct types that have a field with a JSON key in its tag.
func jsonStructs(t *testing.T, files []*ast.File) map[string]*ast.StructType {
	t.Helper()
	structs := map[string]*ast.StructType{}
	hasKey := func(field *ast.Field) bool { return jsonKey(t, field) != "" }
	for _, file := range files {
		ast.Inspect(file, func(n ast.Node) bool {
			spec, isType := n.(*ast.TypeSpec)
			if !isType {
				return true
			}
			fields, isStruct := spec.Type.(*ast.StructType)
			if !isStruct || !slices.ContainsFunc(fields.Fields.List, hasKey) {
				return true
			}
			if structs[spec.Name.Name] != nil {
				t.Fatalf("two structs with JSON keys have the name %s", spec.Name.Name)
			}
			structs[spec.Name.Name] = fields
			return true
		})
	}
	return structs
}

// jsonKey returns the JSON key in a field's tag, or "" if there is none.
func jsonKey(t *testing.T, field *ast.Field) string {
	t.Helper()
	if field.Tag == nil {
		return ""
	}
	tag, err := strconv.Unquote(field.Tag.Value)
	if err != nil {
		t.Fatal(err)
	}
	key, _, _ := strings.Cut(reflect.StructTag(tag).Get("json"), ",")
	return key
}

// structWalker collects the paths of the JSON keys of structs and of the structs nested in them.
type structWalker struct {
	structs map[string]*ast.StructType
	keys    map[string]bool
	reached map[string]bool // the names of the structs visited
}

// walkNamed adds the keys of a named struct that is at a path, and records that the struct was visited.
func (w *structWalker) walkNamed(t *testing.T, name, path string) {
	t.Helper()
	w.reached[name] = true
	w.walk(t, w.structs[name], path)
}

// walk adds the keys of a struct that is at a path.
func (w *structWalker) walk(t *testing.T, fields *ast.StructType, path string) {
	t.Helper()
	for _, field := range fields.Fields.List {
		key := jsonKey(t, field)
		if key == "" {
			t.Fatalf("a struct field at the path %q has no JSON key", path)
		}
		w.keys[path+key] = true
		nestedPath, fieldType := path+key+".", field.Type
		if array, isArray := fieldType.(*ast.ArrayType); isArray {
			nestedPath, fieldType = path+key+"[].", array.Elt
		}
		switch fieldType := fieldType.(type) {
		case *ast.StructType:
			w.walk(t, fieldType, nestedPath)
		case *ast.Ident:
			if w.structs[fieldType.Name] != nil {
				w.walkNamed(t, fieldType.Name, nestedPath)
			}
		}
	}
}

// comparedKeys returns the string literals that the parser of the endpoint list compares a key with, as in
// strings.EqualFold(key, "rev").
func comparedKeys(t *testing.T, files []*ast.File) (keys []string) {
	t.Helper()
	for _, file := range files {
		ast.Inspect(file, func(n ast.Node) bool {
			call, isCall := n.(*ast.CallExpr)
			if !isCall || !isCallOf(call, "strings", "EqualFold") {
				return true
			}
			if name, isName := call.Args[0].(*ast.Ident); isName && name.Name == "key" {
				keys = append(keys, stringLiteral(t, call.Args[1]))
			}
			return true
		})
	}
	return keys
}

// isCallOf reports whether a call is of one of the given functions of a package.
func isCallOf(call *ast.CallExpr, pkg string, functions ...string) bool {
	function, isSelector := call.Fun.(*ast.SelectorExpr)
	if !isSelector {
		return false
	}
	qualifier, isName := function.X.(*ast.Ident)
	return isName && qualifier.Name == pkg && slices.Contains(functions, function.Sel.Name)
}

// stringLiteral returns the value of a string literal. It fails the test for any other expression.
func stringLiteral(t *testing.T, expression ast.Expr) string {
	t.Helper()
	text, isLiteral := expression.(*ast.BasicLit)
	if !isLiteral || text.Kind != token.STRING {
		t.Fatalf("got an expression of type %T, want a string literal", expression)
	}
	value, err := strconv.Unquote(text.Value)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// environmentVariables returns the names of the environment variables that the node reads. It fails the test if a call
// gives the name by anything but a constant.
func environmentVariables(t *testing.T) (names []string) {
	t.Helper()
	files := nodeSources(t)
	for _, file := range goFiles(t, "cmd/balancer") {
		if !strings.HasSuffix(file, "_test.go") {
			files = append(files, parseGoFile(t, file))
		}
	}
	constants := stringConstants(t, files)
	for _, file := range files {
		ast.Inspect(file, func(n ast.Node) bool {
			call, isCall := n.(*ast.CallExpr)
			if !isCall || !isCallOf(call, "os", "Getenv", "LookupEnv", "ExpandEnv", "Environ") {
				return true
			}
			name, isName := call.Args[0].(*ast.Ident)
			if !isName || constants[name.Name] == "" {
				t.Fatal("a call that reads the environment has an argument that is not a string constant")
			}
			names = append(names, constants[name.Name])
			return true
		})
	}
	return names
}

// stringConstants returns the values of the constants and variables that are initialized with string literals, by name.
func stringConstants(t *testing.T, files []*ast.File) map[string]string {
	t.Helper()
	constants := map[string]string{}
	for _, file := range files {
		ast.Inspect(file, func(n ast.Node) bool {
			spec, isValue := n.(*ast.ValueSpec)
			if !isValue {
				return true
			}
			for i, value := range spec.Values {
				if text, isLiteral := value.(*ast.BasicLit); isLiteral && text.Kind == token.STRING {
					constants[spec.Names[i].Name] = stringLiteral(t, text)
				}
			}
			return true
		})
	}
	return constants
}
