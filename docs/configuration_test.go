package docs

import (
	"encoding/json"
	"maps"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"basaltdrum/balancer"
	"basaltdrum/internal/node"
)

const (
	configurationPage = "docs/CONFIGURATION.md"
	exampleFile       = "examples/config.json"
)

// How the page says that a key has no default.
const (
	defaultRequired = "required" // it must be there
	defaultNone     = "none"     // it may be missing, and no value stands for that
)

// documentedKey is a row of the page's tables of keys.
type documentedKey struct {
	key, defaultValue, bounds, inForce string
	fields                             []string // that the code calls it
}

// Columns of the tables of keys, between the bars of a row. The row begins and ends with a bar.
const (
	columnKey     = 1
	columnDefault = 4
	columnBounds  = 5
	columnInForce = 6
	columnFields  = 7
	keyColumns    = 9
)

// documentedKeys reads the tables of keys.
func documentedKeys(t *testing.T) (keys []documentedKey) {
	t.Helper()
	for _, cells := range tableRows(t, configurationPage, keyColumns) {
		names := quoted(cells[columnKey])
		if len(names) != 1 {
			continue // the head of a table
		}
		key := documentedKey{
			key: names[0], defaultValue: strings.Trim(cells[columnDefault], " `"), bounds: cells[columnBounds],
			inForce: strings.TrimSpace(cells[columnInForce]), fields: quoted(cells[columnFields]),
		}
		if slices.ContainsFunc(keys, func(k documentedKey) bool { return k.key == key.key }) {
			t.Errorf("%s is on the page twice", key.key)
		}
		keys = append(keys, key)
	}
	return keys
}

// tableRows returns the cells of a page's table rows that have so many, counting the empty ones at both ends.
func tableRows(t *testing.T, page string, columns int) (rows [][]string) {
	t.Helper()
	for _, line := range docLines(t, page) {
		if cells := strings.Split(line, "|"); strings.HasPrefix(line, "|") && len(cells) == columns {
			rows = append(rows, cells)
		}
	}
	return rows
}

func sortedKeys(set map[string]bool) []string { return slices.Sorted(maps.Keys(set)) }

// missing lists what is in one list and not in the other.
func missing(from, list []string) (names []string) {
	for _, name := range list {
		if !slices.Contains(from, name) {
			names = append(names, name)
		}
	}
	return names
}

// TestConfigurationHasTheKeysOfTheCode holds the page, the code and the example together: each key that the code reads
// is on the page, each key on the page is read, and the example has them all, and no others.
func TestConfigurationHasTheKeysOfTheCode(t *testing.T) {
	inRoot(t)
	var page []string
	for _, key := range documentedKeys(t) {
		page = append(page, key.key)
	}
	code := keysOfCode(t)
	example := map[string]bool{}
	collectKeys(readExample(t), "", example)
	for _, c := range []struct {
		complaint string
		keys      []string
	}{
		{"read by the code, and not on the page", missing(page, code)},
		{"on the page, and not read by the code", missing(code, page)},
		{"on the page, and not in the example", missing(sortedKeys(example), page)},
		{"in the example, and not on the page", missing(page, sortedKeys(example))},
	} {
		if len(c.keys) > 0 {
			t.Errorf("%s: %v", c.complaint, c.keys)
		}
	}
	if len(page) < 40 {
		t.Errorf("found %d keys, want at least 40", len(page))
	}
}

// commentKey is the key of comments in the example.
const commentKey = "//"

// collectKeys adds the paths of all keys of an object, and of the objects in it.
func collectKeys(object map[string]any, path string, keys map[string]bool) {
	for key, value := range object {
		if key == commentKey {
			continue
		}
		keys[path+key] = true
		switch value := value.(type) {
		case map[string]any:
			collectKeys(value, path+key+".", keys)
		case []any:
			for _, entry := range value {
				if entry, isObject := entry.(map[string]any); isObject {
					collectKeys(entry, path+key+"[].", keys)
				}
			}
		}
	}
}

// TestConfigurationNamesTheFields changes one value of the example after the other, and compares what changes in the
// configuration as the code has it with the fields that the page names.
func TestConfigurationNamesTheFields(t *testing.T) {
	inRoot(t)
	before := parseExample(t, func(map[string]any) {})
	for _, key := range documentedKeys(t) {
		if strings.HasPrefix(key.key, listPath) {
			checkEndpointFields(t, key)
			continue
		}
		changed := parseExample(t, func(example map[string]any) {
			object, name := at(t, example, key.key)
			object[name] = otherValue(t, key.key, object[name])
		})
		if got := changedFields(before, changed); len(key.fields) > 0 && !slices.Equal(got, key.fields) {
			t.Errorf("%s changes %v, the page has %v", key.key, got, key.fields)
		}
	}
}

// checkEndpointFields checks that the fields of an entry of the list exist.
func checkEndpointFields(t *testing.T, key documentedKey) {
	t.Helper()
	for _, field := range key.fields {
		name, ofEndpoint := strings.CutPrefix(field, "Endpoint.")
		if _, exists := reflect.TypeFor[balancer.Endpoint]().FieldByName(name); !ofEndpoint || !exists {
			t.Errorf("%s: no field %s", key.key, field)
		}
	}
}

// otherValues are further good values for keys where a larger number or a longer string is none, or means the same.
var otherValues = map[string]string{
	"listen":                     `"127.0.0.1:1"`,
	"discovery":                  `"127.0.0.1:1"`,
	"seed":                       `"1"`,
	"known":                      `{}`,
	"settings.registry-mode":     `"on_request"`,
	"settings.localities":        `["north"]`,
	"settings.lanes":             `[{"name": "view", "target-ms": 1, "deadline-ms": 1}]`,
	"settings.lanes[].effect":    `"idempotency_key"`,
	"settings.lanes[].key-scope": `"zone"`,
	"settings.rules.cold-from":   `0.5`,
}

// otherValue returns another good value for a key. Objects stay.
func otherValue(t *testing.T, key string, value any) any {
	t.Helper()
	if text := otherValues[key]; text != "" {
		return decode(t, text)
	}
	switch value := value.(type) {
	case bool:
		return !value
	case float64:
		if value == 0 {
			return 1.0
		}
		return 2 * value
	case string:
		return value + "x"
	}
	return value
}

// changedFields names the fields that differ between two configurations, in the order in which they are declared. It
// compares class by class if there are as many of them.
func changedFields(before, after node.Config) []string {
	fields := differing("Config", before, after, "Settings")
	fields = append(fields, differing("Settings", before.Settings, after.Settings, "Classes")...)
	if len(before.Settings.Classes) != len(after.Settings.Classes) {
		return append(fields, "Settings.Classes")
	}
	for i := range before.Settings.Classes {
		fields = append(fields, differing("Class", before.Settings.Classes[i], after.Settings.Classes[i], "")...)
	}
	return fields
}

// differing names the fields that differ between two structs of one type, but for one.
func differing(name string, before, after any, except string) (fields []string) {
	a, b := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range a.NumField() {
		field := a.Type().Field(i).Name
		if field != except && !reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			fields = append(fields, name+"."+field)
		}
	}
	return fields
}

// readExample returns the example as maps.
func readExample(t *testing.T) map[string]any {
	t.Helper()
	object, isObject := decode(t, strings.Join(docLines(t, exampleFile), "\n")).(map[string]any)
	if !isObject {
		t.Fatalf("%s is no object", exampleFile)
	}
	return object
}

// decode reads a value in JSON.
func decode(t *testing.T, text string) (value any) {
	t.Helper()
	if err := json.Unmarshal([]byte(text), &value); err != nil {
		t.Fatalf("%s: %v", text, err)
	}
	return value
}

// exampleWith returns the text of the example after a change.
func exampleWith(t *testing.T, change func(map[string]any)) []byte {
	t.Helper()
	example := readExample(t)
	change(example)
	text, err := json.Marshal(example)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// parseExample parses the example after a change that keeps it good.
func parseExample(t *testing.T, change func(map[string]any)) node.Config {
	t.Helper()
	config, err := node.ParseConfig(exampleWith(t, change))
	if err != nil {
		t.Fatal(err)
	}
	return config
}

// at returns the object that a path leads into, and the key in it. An array on the way stands for its first entry.
func at(t *testing.T, object map[string]any, path string) (parent map[string]any, key string) {
	t.Helper()
	steps := strings.Split(path, ".")
	for _, step := range steps[:len(steps)-1] {
		name, isArray := strings.CutSuffix(step, "[]")
		value := object[name]
		if isArray {
			value = value.([]any)[0]
		}
		object = value.(map[string]any)
	}
	return object, steps[len(steps)-1]
}

// TestConfigurationNamesTheVariables holds the page's table of the environment to the code, both ways.
func TestConfigurationNamesTheVariables(t *testing.T) {
	inRoot(t)
	variable := regexp.MustCompile(`^[A-Z][A-Z_]+$`)
	var page []string
	for _, cells := range tableRows(t, configurationPage, 6) {
		if names := quoted(cells[columnKey]); len(names) == 1 && variable.MatchString(names[0]) {
			page = append(page, names[0])
		}
	}
	if code := environmentVariables(t); !slices.Equal(page, code) {
		t.Errorf("the page has %v, the code reads %v", page, code)
	}
}
