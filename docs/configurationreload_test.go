package docs

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"reflect"
	"strings"
	"testing"

	"go.uber.org/goleak"

	"basaltdrum/internal/node"
)

// TestMain fails the package's tests if a goroutine outlives them.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// How the page says when a change is in force.
const (
	inForceReload = "reload"
	inForceStart  = "start"                   // a reload does not report it
	inForceWarned = "start (a reload warns)"  // a reload says that a restart is needed
	inForceNone   = "nothing, not even a log" // not on the page: a reload that was not logged
)

// TestConfigurationSaysWhatAReloadChanges reloads the example with one other value after the other, and compares what
// the node logs with the page.
func TestConfigurationSaysWhatAReloadChanges(t *testing.T) {
	inRoot(t)
	reloader := newReloader(t)
	for _, key := range documentedKeys(t) {
		if strings.HasPrefix(key.key, listPath) {
			continue // known, and with it the list, is used at the start
		}
		changed := parseExample(t, func(example map[string]any) {
			object, name := at(t, example, key.key)
			object[name] = otherValue(t, key.key, object[name])
		})
		if reflect.DeepEqual(changed, reloader.example) {
			continue // an object, whose keys have rows of their own
		}
		documented, _, _ := strings.Cut(key.inForce, ";")
		if got := reloader.inForce(t, changed); got != documented {
			t.Errorf("%s is in force from %q, the page has %q", key.key, got, documented)
		}
	}
}

// reloader is a node that gets one configuration after the other and has no traffic.
type reloader struct {
	node    *node.Node
	example node.Config
	log     bytes.Buffer
}

// newReloader sets up a node with the example, which ends with the test.
func newReloader(t *testing.T) *reloader {
	t.Helper()
	r := &reloader{}
	toStart := parseExample(t, setValue(t, "listen", `"127.0.0.1:0"`))
	var err error
	if r.node, err = node.New(toStart, slog.New(slog.NewJSONHandler(&r.log, nil))); err != nil {
		t.Fatal(err)
	}
	ended, end := context.WithCancel(t.Context())
	end()
	t.Cleanup(func() {
		if err := r.node.Run(ended); err != nil { // it handles the reloads, and drains
			t.Error(err)
		}
	})
	r.example = parseExample(t, func(map[string]any) {})
	return r
}

// inForce reloads a configuration, and says by the log when the change is in force. Then it reloads the example.
func (r *reloader) inForce(t *testing.T, changed node.Config) string {
	t.Helper()
	defer r.node.Reload(r.withOwnAddress(r.example))
	r.log.Reset()
	if changed.Listen == r.example.Listen {
		changed = r.withOwnAddress(changed)
	}
	r.node.Reload(changed)
	found := inForceNone
	for text := range strings.Lines(r.log.String()) {
		var line struct {
			Message string   `json:"msg"`
			Changed []string `json:"changed"`
		}
		if err := json.Unmarshal([]byte(text), &line); err != nil {
			t.Fatal(err)
		}
		switch {
		case line.Message == "configuration change needs a restart":
			return inForceWarned
		case line.Message == "configuration reloaded" && len(line.Changed) > 0:
			found = inForceReload
		case line.Message == "configuration reloaded":
			found = inForceStart
		}
	}
	return found
}

// withOwnAddress returns a configuration with the address that the node was started with.
func (r *reloader) withOwnAddress(config node.Config) node.Config {
	config.Listen = "127.0.0.1:0"
	return config
}
