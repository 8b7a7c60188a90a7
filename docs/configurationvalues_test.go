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

// valueMissing stands in the table of answers for a key that is left out.
const valueMissing = "missing"

// TestConfigurationHasTheDefaults leaves out one key after the other. Without one that the page calls required the
// configuration is bad; without another one it is as with the default on the page.
func TestConfigurationHasTheDefaults(t *testing.T) {
	inRoot(t)
	for _, key := range documentedKeys(t) {
		without := exampleWith(t, func(example map[string]any) {
			object, name := at(t, example, key.key)
			delete(object, name)
		})
		answer := answerTo(t, without)
		switch key.defaultValue {
		case defaultNone:
		case defaultRequired:
			if answer == "" {
				t.Errorf("%s: the page calls it required, and it may be missing", key.key)
			}
		default:
			if answer != "" {
				t.Errorf("%s: has a default on the page, and a file without it is bad: %s", key.key, answer)
				continue
			}
			with := exampleWith(t, setValue(t, key.key, key.defaultValue))
			if !strings.HasPrefix(key.key, listPath) && !reflect.DeepEqual(mustParse(t, without), mustParse(t, with)) {
				t.Errorf("%s: a missing key is not the same as %s", key.key, key.defaultValue)
			}
		}
	}
}

// TestConfigurationBoundsAreAccepted tries the values that the page's bounds name. Where the bounds exclude any value,
// the table of answers has one.
func TestConfigurationBoundsAreAccepted(t *testing.T) {
	inRoot(t)
	rejected := map[string]bool{}
	for _, row := range wrongValues(t) {
		rejected[row.key] = true
	}
	for _, key := range documentedKeys(t) {
		for _, value := range quoted(key.bounds) {
			if !json.Valid([]byte(value)) {
				continue // the name of another key
			}
			if answer := answerTo(t, exampleWith(t, setValue(t, key.key, value))); answer != "" {
				t.Errorf("%s: %s is within the bounds on the page, and is answered with %s", key.key, value, answer)
			}
		}
		if isBounded := !strings.HasPrefix(strings.TrimSpace(key.bounds), "any"); isBounded != rejected[key.key] {
			t.Errorf("%s: bounded: %t, in the table of answers: %t", key.key, isBounded, rejected[key.key])
		}
	}
}

// TestConfigurationHasTheBoundOfZones tries more zones than a table can hold.
func TestConfigurationHasTheBoundOfZones(t *testing.T) {
	inRoot(t)
	for count, want := range map[int]string{
		1000: "",
		1001: "config: settings: balancer: ZoneCount is out of range: 1001",
	} {
		zones := strings.Repeat(`"z",`, count-1) + `"z"`
		text := exampleWith(t, setValue(t, "settings.localities", "["+zones+"]"))
		if got := answerTo(t, text); got != want {
			t.Errorf("%d zones: the answer is %q, want %q", count, got, want)
		}
	}
}

// TestConfigurationHasTheAnswerToNoFile starts without the variable that names the file.
func TestConfigurationHasTheAnswerToNoFile(t *testing.T) {
	inRoot(t)
	t.Setenv("BALANCER_CONFIG", "")
	page := strings.Join(docLines(t, configurationPage), "\n")
	if _, err := node.LoadConfig(); err == nil || !strings.Contains(page, "`"+err.Error()+"`") {
		t.Errorf("the page has no answer %v", err)
	}
}

// wrongValue is a row of the page's table of answers.
type wrongValue struct{ key, value, answer string }

// wrongValues reads the table of answers.
func wrongValues(t *testing.T) (rows []wrongValue) {
	t.Helper()
	for _, cells := range tableRows(t, configurationPage, 5) {
		if names := quoted(cells[1]); len(names) == 1 {
			rows = append(rows, wrongValue{names[0], strings.Trim(cells[2], " `"), strings.Trim(cells[3], " `")})
		}
	}
	return rows
}

// TestConfigurationHasTheAnswers tries each wrong value of the page, and compares the answer.
func TestConfigurationHasTheAnswers(t *testing.T) {
	inRoot(t)
	rows := wrongValues(t)
	for _, row := range rows {
		change := setValue(t, row.key, row.value)
		if got := answerTo(t, exampleWith(t, change)); !matches(got, row.answer) {
			t.Errorf("%s, %s:\nthe answer is %s\nthe page has  %s", row.key, row.value, got, row.answer)
		}
	}
	if len(rows) < 40 {
		t.Errorf("found %d wrong values, want at least 40", len(rows))
	}
}

// matches compares an answer with the page, where an ellipsis at the end stands for the rest.
func matches(answer, documented string) bool {
	if begin, isCut := strings.CutSuffix(documented, "..."); isCut {
		return begin != "" && strings.HasPrefix(answer, begin)
	}
	return answer == documented
}

// setValue returns a change of the example that sets a key to a value in JSON, or leaves it out.
func setValue(t *testing.T, key, value string) func(map[string]any) {
	return func(example map[string]any) {
		t.Helper()
		object, name := at(t, example, key)
		if value == valueMissing {
			delete(object, name)
			return
		}
		object[name] = decode(t, value)
	}
}

func mustParse(t *testing.T, text []byte) node.Config {
	t.Helper()
	config, err := node.ParseConfig(text)
	if err != nil {
		t.Fatal(err)
	}
	return config
}

// answerTo returns what a configuration is answered with: the error of ParseConfig, or that of the warning about the
// cached list, or nothing. The address to listen on is in use, so that no node is set up.
func answerTo(t *testing.T, text []byte) string {
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
		t.Fatal("the node listens on an address that is in use")
	}
	if log.Len() == 0 {
		return ""
	}
	var line struct {
		Message string `json:"msg"`
		Error   string `json:"error"`
	}
	if err := json.Unmarshal(log.Bytes(), &line); err != nil {
		t.Fatal(err)
	}
	if line.Message != "cached endpoint list is not usable" {
		t.Fatalf("got %s", log.String())
	}
	return line.Error
}
