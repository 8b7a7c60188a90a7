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

// Entries of the default column for a key without a default value.
const (
	defaultRequired = "required" // the key must be present
	defaultNone     = "none"     // the key may be missing, and no value is equivalent to that
)

// documentedKey is a row of the configuration page's tables of keys.
type documentedKey struct {
	key, defaultValue, bounds, inForce string
	fields                             []string // the Go fields that hold the value, as Type.Field
}

// Indexes of the cells in a row of the tables of keys. The row starts and ends with a bar, so its first and last cells
// are empty.
const (
	columnKey     = 1
	columnDefault = 4
	columnBounds  = 5
	columnInForce = 6
	columnFields  = 7
	keyTableCells = 9 // the number of cells, with the two empty ones
)

// documentedKeys returns the rows of the configuration page's tables of keys.
func documentedKeys(t *testing.T) (keys []documentedKey) {
	t.Helper()
	for _, cells := range tableRows(t, configurationPage, keyTableCells) {
		names := codeSpans(cells[columnKey])
		if len(names) != 1 {
			continue // the header of a table
		}
		key := documentedKey{
			key: names[0], defaultValue: strings.Trim(cells[columnDefault], " `"), bounds: cells[columnBounds],
			inForce: strings.TrimSpace(cells[columnInForce]), fields: codeSpans(cells[columnFields]),
		}
		if slices.ContainsFunc(keys, func(other documentedKey) bool { return other.key == key.key }) {
			t.Errorf("the configuration page lists %s twice", key.key)
		}
		keys = append(keys, key)
	}
	return keys
}

// tableRows returns the cells of each table row of a page that has cellCount cells. The count includes the empty cells
// before the first and after the last bar.
func tableRows(t *testing.T, page string, cellCount int) (rows [][]string) {
	t.Helper()
	for _, line := range readLines(t, page) {
		if cells := strings.Split(line, "|"); strings.HasPrefix(line, "|") && len(cells) == cellCount {
			rows = append(rows, cells)
		}
	}
	return rows
}

func sortedKeys(set map[string]bool) []string { return slices.Sorted(maps.Keys(set)) }

// missing returns the names in want that are not in got.
func missing(got, want []string) (names []string) {
	for _, name := range want {
		if !slices.Contains(got, name) {
			names = append(names, name)
		}
	}
	return names
}

// TestConfigurationKeysMatchCodeAndExample checks that the configuration page, the code and the example configuration
// have the same keys.
func TestConfigurationKeysMatchCodeAndExample(t *testing.T) {
	chdirToRoot(t)
	var documented []string
	for _, key := range documentedKeys(t) {
		documented = append(documented, key.key)
	}
	code := codeKeys(t)
	example := map[string]bool{}
	collectKeys(readExample(t), "", example)
	for _, difference := range []struct {
		description string
		keys        []string
	}{
		{"keys that the code reads but the page lacks", missing(documented, code)},
		{"keys on the page that the code does not read", missing(code, documented)},
		{"keys on the page that the example lacks", missing(sortedKeys(example), documented)},
		{"keys in the example that the page lacks", missing(documented, sortedKeys(example))},
	} {
		if len(difference.keys) > 0 {
			t.Errorf("%s: %v", difference.description, difference.keys)
		}
	}
	if len(documented) < 40 {
		t.Errorf("found %d documented keys, want at least 40", len(documented))
	}
}

// commentKey is the key that holds comments in the example configuration.
const commentKey = "//"

// collectKeys adds the paths of all keys of a JSON object, and of the objects nested in it, to keys.
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

// TestConfigurationFieldsMatchCode changes one value of the example at a time and checks that the fields of the parsed
// configuration that change are those that the page names.
func TestConfigurationFieldsMatchCode(t *testing.T) {
	chdirToRoot(t)
	original := parseExample(t, func(map[string]any) {})
	for _, key := range documentedKeys(t) {
		if strings.HasPrefix(key.key, listPath) {
			checkEndpointFields(t, key)
			continue
		}
		changed := parseExample(t, func(example map[string]any) {
			object, name := parentObject(t, example, key.key)
			object[name] = alternativeValue(t, key.key, object[name])
		})
		if got := changedFields(original, changed); len(key.fields) > 0 && !slices.Equal(got, key.fields) {
			t.Errorf("a change of %s changes the fields %v, the page names %v", key.key, got, key.fields)
		}
	}
}

// checkEndpointFields checks that the fields that the page names for a key of the endpoint list exist in
// balancer.Endpoint.
func checkEndpointFields(t *testing.T, key documentedKey) {
	t.Helper()
	for _, field := range key.fields {
		name, isEndpointField := strings.CutPrefix(field, "Endpoint.")
		if _, exists := reflect.TypeFor[balancer.Endpoint]().FieldByName(name); !isEndpointField || !exists {
			t.Errorf("%s: the page names %s, which is no field of balancer.Endpoint", key.key, field)
		}
	}
}

// alternativeValues holds a second valid value, in JSON, for each key where the value that alternativeValue would
// otherwise derive from the first one is invalid or means the same.
var alternativeValues = map[string]string{
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

// alternativeValue returns a valid value for a key, other than the given one. It returns objects and arrays without an
// entry in alternativeValues unchanged.
func alternativeValue(t *testing.T, key string, value any) any {
	t.Helper()
	if text := alternativeValues[key]; text != "" {
		return decodeJSON(t, text)
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

// changedFields returns the names of the fields that differ between two configurations, in the order of declaration. It
// compares the classes one by one if both configurations have the same number of them.
func changedFields(before, after node.Config) []string {
	fields := differingFields("Config", before, after, "Settings")
	fields = append(fields, differingFields("Settings", before.Settings, after.Settings, "Classes")...)
	if len(before.Settings.Classes) != len(after.Settings.Classes) {
		return append(fields, "Settings.Classes")
	}
	for i := range before.Settings.Classes {
		fields = append(fields, differingFields("Class", before.Settings.Classes[i], after.Settings.Classes[i], "")...)
	}
	return fields
}

// differingFields returns the fields, as typeName.Field, that differ between two structs of one type. It skips the
// field named excluded.
func differingFields(typeName string, before, after any, excluded string) (fields []string) {
	beforeValue, afterValue := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range beforeValue.NumField() {
		field := beforeValue.Type().Field(i).Name
		if field != excluded && !reflect.DeepEqual(beforeValue.Field(i).Interface(), afterValue.Field(i).Interface()) {
			fields = append(fields, typeName+"."+field)
		}
	}
	return fields
}

// readExample returns the example configuration as a decoded JSON object.
func readExample(t *testing.T) map[string]any {
	t.Helper()
	object, isObject := decodeJSON(t, strings.Join(readLines(t, exampleFile), "\n")).(map[string]any)
	if !isObject {
		t.Fatalf("%s is not a JSON object", exampleFile)
	}
	return object
}

// decodeJSON decodes a JSON value.
func decodeJSON(t *testing.T, text string) (value any) {
	t.Helper()
	if err := json.Unmarshal([]byte(text), &value); err != nil {
		t.Fatalf("decode %s: %v", text, err)
	}
	return value
}

// exampleWith returns the example configuration in JSON after a change.
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

// parseExample parses the example configuration after a change that keeps it valid.
func parseExample(t *testing.T, change func(map[string]any)) node.Config {
	t.Helper()
	config, err := node.ParseConfig(exampleWith(t, change))
	if err != nil {
		t.Fatal(err)
	}
	return config
}

// parentObject returns the object that contains the key at the end of a path, and that key. In the path, name[] stands
// for the first entry of the array name.
func parentObject(t *testing.T, object map[string]any, path string) (parent map[string]any, key string) {
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

// TestConfigurationListsEnvironmentVariables checks that the configuration page lists exactly the environment variables
// that the code reads.
func TestConfigurationListsEnvironmentVariables(t *testing.T) {
	chdirToRoot(t)
	variableName := regexp.MustCompile(`^[A-Z][A-Z_]+$`)
	var documented []string
	for _, cells := range tableRows(t, configurationPage, 6) {
		if names := codeSpans(cells[columnKey]); len(names) == 1 && variableName.MatchString(names[0]) {
			documented = append(documented, names[0])
		}
	}
	if code := environmentVariables(t); !slices.Equal(documented, code) {
		t.Errorf("the page lists the environment variables %v, the code reads %v", documented, code)
	}
}
