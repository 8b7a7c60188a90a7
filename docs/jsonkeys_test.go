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

// configRoots are the structs that the configuration is read into, with the path of each in the file.
var configRoots = map[string]string{
	"configFile":   "",
	"settingsFile": "settings.",
	"document":     "settings.",
	"wireEntry":    "known.targets[].",
}

// listPath is the path of the endpoint list in the file. Its own keys are not in a struct: the parser compares them one
// by one.
const listPath = "known."

// unrelatedFolders hold packages that are not part of the node.
var unrelatedFolders = []string{"internal/fleet/", "internal/servermodel/", "internal/wire/"}

// nodeSources parses all files of the node's internal packages.
func nodeSources(t *testing.T) (files []*ast.File) {
	t.Helper()
	for _, file := range goFiles(t, "internal") {
		isBelow := func(dir string) bool { return strings.HasPrefix(file, dir) }
		if !slices.ContainsFunc(unrelatedFolders, isBelow) && !strings.HasSuffix(file, "_test.go") {
			files = append(files, parse(t, file))
		}
	}
	return files
}

// keysOfCode lists the keys that the code reads, by their paths in the file.
func keysOfCode(t *testing.T) []string {
	t.Helper()
	files := nodeSources(t)
	structs := jsonStructs(t, files)
	walker := structWalker{structs: structs, keys: map[string]bool{}, reached: map[string]bool{}}
	for root, path := range configRoots {
		if structs[root] == nil {
			t.Fatalf("no struct %s has keys of JSON", root)
		}
		walker.walkNamed(t, root, path)
	}
	for name := range structs {
		if !walker.reached[name] {
			t.Errorf("struct %s has keys of JSON, and is not known to be a part of the configuration", name)
		}
	}
	for _, key := range comparedKeys(t, files) {
		walker.keys[listPath+key] = true
	}
	return sortedKeys(walker.keys)
}

// jsonStructs returns the named structs that have a field with a key of JSON.
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
				t.Fatalf("two structs with keys of JSON have the name %s", spec.Name.Name)
			}
			structs[spec.Name.Name] = fields
			return true
		})
	}
	return structs
}

// jsonKey returns the key in a field's tag, or "".
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

// structWalker collects the keys of structs, and of the structs in them.
type structWalker struct {
	structs map[string]*ast.StructType
	keys    map[string]bool
	reached map[string]bool // the named structs
}

func (w *structWalker) walkNamed(t *testing.T, name, path string) {
	t.Helper()
	w.reached[name] = true
	w.walk(t, w.structs[name], path)
}

func (w *structWalker) walk(t *testing.T, fields *ast.StructType, path string) {
	t.Helper()
	for _, field := range fields.Fields.List {
		key := jsonKey(t, field)
		if key == "" {
			t.Fatalf("a field of %q has no key", path)
		}
		w.keys[path+key] = true
		below, fieldType := path+key+".", field.Type
		if array, isArray := fieldType.(*ast.ArrayType); isArray {
			below, fieldType = path+key+"[].", array.Elt
		}
		switch fieldType := fieldType.(type) {
		case *ast.StructType:
			w.walk(t, fieldType, below)
		case *ast.Ident:
			if w.structs[fieldType.Name] != nil {
				w.walkNamed(t, fieldType.Name, below)
			}
		}
	}
}

// comparedKeys lists the literals that a key of a list is compared with: strings.EqualFold(key, "rev").
func comparedKeys(t *testing.T, files []*ast.File) (keys []string) {
	t.Helper()
	for _, file := range files {
		ast.Inspect(file, func(n ast.Node) bool {
			call, isCall := n.(*ast.CallExpr)
			if !isCall || !calls(call, "strings", "EqualFold") {
				return true
			}
			if name, isName := call.Args[0].(*ast.Ident); isName && name.Name == "key" {
				keys = append(keys, literal(t, call.Args[1]))
			}
			return true
		})
	}
	return keys
}

// calls reports whether a call is one of a function of a package.
func calls(call *ast.CallExpr, pkg string, functions ...string) bool {
	function, isSelector := call.Fun.(*ast.SelectorExpr)
	if !isSelector {
		return false
	}
	from, isName := function.X.(*ast.Ident)
	return isName && from.Name == pkg && slices.Contains(functions, function.Sel.Name)
}

// literal returns the value of a literal string.
func literal(t *testing.T, expression ast.Expr) string {
	t.Helper()
	text, isLiteral := expression.(*ast.BasicLit)
	if !isLiteral || text.Kind != token.STRING {
		t.Fatalf("got %T, want a literal string", expression)
	}
	value, err := strconv.Unquote(text.Value)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// environmentVariables lists the variables that the node reads. Each is named by a constant.
func environmentVariables(t *testing.T) (names []string) {
	t.Helper()
	files := nodeSources(t)
	for _, file := range goFiles(t, "cmd/balancer") {
		if !strings.HasSuffix(file, "_test.go") {
			files = append(files, parse(t, file))
		}
	}
	constants := stringConstants(t, files)
	for _, file := range files {
		ast.Inspect(file, func(n ast.Node) bool {
			call, isCall := n.(*ast.CallExpr)
			if !isCall || !calls(call, "os", "Getenv", "LookupEnv", "ExpandEnv", "Environ") {
				return true
			}
			name, isName := call.Args[0].(*ast.Ident)
			if !isName || constants[name.Name] == "" {
				t.Fatal("a variable of the environment is not named by a constant")
			}
			names = append(names, constants[name.Name])
			return true
		})
	}
	return names
}

// stringConstants returns the values of constants that are literal strings.
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
					constants[spec.Names[i].Name] = literal(t, text)
				}
			}
			return true
		})
	}
	return constants
}
