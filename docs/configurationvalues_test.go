package docs

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"net"
	"reflect"
	"strings"
	"testing"

	"basaltdrum/internal/node"
)

// valueMissing is the entry for a missing key in the page's table of invalid values.
const valueMissing = "missing"

// TestConfigurationDefaultsMatchCode removes one key of the example at a time. Without a key that the page calls
// required, the configuration must be rejected. Without a key that has a default on the page, the configuration must be
// accepted and be the same as with that default.
func TestConfigurationDefaultsMatchCode(t *testing.T) {
	chdirToRoot(t)
	for _, key := range documentedKeys(t) {
		without := exampleWith(t, func(example map[string]any) {
			object, name := parentObject(t, example, key.key)
			delete(object, name)
		})
		errorText := configError(t, without)
		switch key.defaultValue {
		case defaultNone:
		case defaultRequired:
			if errorText == "" {
				t.Errorf("%s: a configuration without this key is accepted, but the page calls it required", key.key)
			}
		default:
			if errorText != "" {
				t.Errorf("%s: has a default on the page, but is rejected if missing: %s", key.key, errorText)
				continue
			}
			with := exampleWith(t, setValue(t, key.key, key.defaultValue))
			if !strings.HasPrefix(key.key, listPath) &&
				!reflect.DeepEqual(mustParseConfig(t, without), mustParseConfig(t, with)) {
				t.Errorf("%s: a missing key differs from the default on the page, %s", key.key, key.defaultValue)
			}
		}
	}
}

// TestConfigurationBoundsAreAccepted checks that the values in the page's bounds column are accepted. It also checks
// that the page's table of invalid values has a row for each key whose bounds exclude some value, and for no other key.
func TestConfigurationBoundsAreAccepted(t *testing.T) {
	chdirToRoot(t)
	rejected := map[string]bool{}
	for _, row := range invalidValues(t) {
		rejected[row.key] = true
	}
	for _, key := range documentedKeys(t) {
		for _, value := range codeSpans(key.bounds) {
			if !json.Valid([]byte(value)) {
				continue // the name of another key, not a value
			}
			if errorText := configError(t, exampleWith(t, setValue(t, key.key, value))); errorText != "" {
				t.Errorf("%s: %s is within the bounds on the page, but is rejected: %s", key.key, value, errorText)
			}
		}
		if isBounded := !strings.HasPrefix(strings.TrimSpace(key.bounds), "any"); isBounded != rejected[key.key] {
			t.Errorf("%s: bounds on the page: %t, row in the table of invalid values: %t, want both or neither",
				key.key, isBounded, rejected[key.key])
		}
	}
}

// TestZoneCountIsLimited checks the limit on the number of zones, which the page gives in words. Its table of invalid
// values has no row for it, as a list of 1,001 zones is too long for a table.
func TestZoneCountIsLimited(t *testing.T) {
	chdirToRoot(t)
	for count, want := range map[int]string{
		1000: "",
		1001: "config: settings: balancer: ZoneCount is out of range: 1001",
	} {
		zones := strings.Repeat(`"z",`, count-1) + `"z"`
		text := exampleWith(t, setValue(t, "settings.localities", "["+zones+"]"))
		if got := configError(t, text); got != want {
			t.Errorf("%d zones: got error %q, want %q", count, got, want)
		}
	}
}

// TestConfigurationListsErrorForUnsetVariable checks that the page has the error that LoadConfig returns if the
// environment variable with the path of the configuration file is empty.
func TestConfigurationListsErrorForUnsetVariable(t *testing.T) {
	chdirToRoot(t)
	t.Setenv("BALANCER_CONFIG", "")
	page := strings.Join(readLines(t, configurationPage), "\n")
	if _, err := node.LoadConfig(); err == nil || !strings.Contains(page, "`"+err.Error()+"`") {
		t.Errorf("LoadConfig returned %v, want an error that is on the page", err)
	}
}

// invalidValue is a row of the page's table of invalid values and the errors that they cause.
type invalidValue struct{ key, value, errorText string }

// invalidValues returns the rows of the page's table of invalid values.
func invalidValues(t *testing.T) (rows []invalidValue) {
	t.Helper()
	for _, cells := range tableRows(t, configurationPage, 5) {
		if names := codeSpans(cells[1]); len(names) == 1 {
			rows = append(rows, invalidValue{names[0], strings.Trim(cells[2], " `"), strings.Trim(cells[3], " `")})
		}
	}
	return rows
}

// TestConfigurationErrorsMatchCode checks that each invalid value on the page causes the error that the page gives.
func TestConfigurationErrorsMatchCode(t *testing.T) {
	chdirToRoot(t)
	rows := invalidValues(t)
	for _, row := range rows {
		change := setValue(t, row.key, row.value)
		if got := configError(t, exampleWith(t, change)); !matchesDocumented(got, row.errorText) {
			t.Errorf("%s, %s:\ngot error    %s\nthe page has %s", row.key, row.value, got, row.errorText)
		}
	}
	if len(rows) < 40 {
		t.Errorf("found %d invalid values, want at least 40", len(rows))
	}
}

// matchesDocumented reports whether an error text is the documented one. An ellipsis at the end of the documented text
// matches any remainder.
func matchesDocumented(errorText, documented string) bool {
	if prefix, isAbbreviated := strings.CutSuffix(documented, "..."); isAbbreviated {
		return prefix != "" && strings.HasPrefix(errorText, prefix)
	}
	return errorText == documented
}

// setValue returns a change of the example that sets a key to a JSON value. It removes the key if the value is
// valueMissing.
func setValue(t *testing.T, key, value string) func(map[string]any) {
	return func(example map[string]any) {
		t.Helper()
		object, name := parentObject(t, example, key)
		if value == valueMissing {
			delete(object, name)
			return
		}
		object[name] = decodeJSON(t, value)
	}
}

func mustParseConfig(t *testing.T, text []byte) node.Config {
	t.Helper()
	config, err := node.ParseConfig(text)
	if err != nil {
		t.Fatal(err)
	}
	return config
}

// configError returns the text of the error that a configuration causes: the error of ParseConfig, or the one in the
// warning about the cached list. It returns "" for a valid configuration. It replaces the listen address by one that is
// in use, so that node.New checks the list and then fails to create a node.
func configError(t *testing.T, text []byte) string {
	t.Helper()
	config, err := node.ParseConfig(text)
	if err != nil {
		return err.Error()
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	config.Listen = listener.Addr().String()
	var log bytes.Buffer
	if _, err := node.New(config, slog.New(slog.NewJSONHandler(&log, nil))); err == nil {
		t.Fatal("node.New created a node on an address that is in use, want an error")
	}
	if log.Len() == 0 {
		return ""
	}
	var entry struct {
		Message string `json:"msg"`
		Error   string `json:"error"`
	}
	if err := json.Unmarshal(log.Bytes(), &entry); err != nil {
		t.Fatal(err)
	}
	if entry.Message != "cached endpoint list is not usable" {
		t.Fatalf("node.New logged %s, want the warning about the cached endpoint list", log.String())
	}
	return entry.Error
}
