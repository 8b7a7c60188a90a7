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

// TestMain fails the package's tests if a goroutine is still running after them.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Entries of the page's column that states when a change takes effect.
const (
	inForceReload = "reload"
	inForceStart  = "start"                  // a reload does not report the change
	inForceWarned = "start (a reload warns)" // a reload logs that a restart is needed
	inForceNone   = "never: nothing logged"  // not on the page: the reload was not logged
)

// TestConfigurationStatesWhenChangesTakeEffect reloads the example with one changed value at a time. It checks that the
// node's log agrees with the page on when the change takes effect.
func TestConfigurationStatesWhenChangesTakeEffect(t *testing.T) {
	chdirToRoot(t)
	reloader := newReloader(t)
	for _, key := range documentedKeys(t) {
		if strings.HasPrefix(key.key, listPath) {
			continue // the endpoint list (known) is used at the start only
		}
		changed := parseExample(t, func(example map[string]any) {
			object, name := parentObject(t, example, key.key)
			object[name] = alternativeValue(t, key.key, object[name])
		})
		if reflect.DeepEqual(changed, reloader.example) {
			continue // an object: its keys have rows of their own
		}
		documented, _, _ := strings.Cut(key.inForce, ";")
		if got := reloader.takesEffect(t, changed); got != documented {
			t.Errorf("a change of %s takes effect at %q, the page has %q", key.key, got, documented)
		}
	}
}

// reloader is a node without traffic that reloads one configuration after another.
type reloader struct {
	node    *node.Node
	example node.Config
	log     bytes.Buffer
}

// newReloader creates a node with the example configuration. The test's cleanup shuts it down.
func newReloader(t *testing.T) *reloader {
	t.Helper()
	r := &reloader{}
	startConfig := parseExample(t, setValue(t, "listen", `"127.0.0.1:0"`))
	var err error
	if r.node, err = node.New(startConfig, slog.New(slog.NewJSONHandler(&r.log, nil))); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	t.Cleanup(func() {
		if err := r.node.Run(ctx); err != nil { // handles the reloads, then drains
			t.Error(err)
		}
	})
	r.example = parseExample(t, func(map[string]any) {})
	return r
}

// takesEffect reloads a changed configuration and returns when the change takes effect according to the log, as one of
// the inForce constants. Before it returns, it reloads the example.
func (r *reloader) takesEffect(t *testing.T, changed node.Config) string {
	t.Helper()
	defer r.node.Reload(r.withStartAddress(r.example))
	r.log.Reset()
	if changed.Listen == r.example.Listen {
		changed = r.withStartAddress(changed)
	}
	r.node.Reload(changed)
	effect := inForceNone
	for line := range strings.Lines(r.log.String()) {
		var entry struct {
			Message string   `json:"msg"`
			Changed []string `json:"changed"`
		}
		if err := json.Unmarshal([]byte(line), &entry); err != nil {
			t.Fatal(err)
		}
		switch {
		case entry.Message == "configuration change needs a restart":
			return inForceWarned
		case entry.Message == "configuration reloaded" && len(entry.Changed) > 0:
			effect = inForceReload
		case entry.Message == "configuration reloaded":
			effect = inForceStart
		}
	}
	return effect
}

// withStartAddress returns a configuration with the listen address that the node was created with.
func (r *reloader) withStartAddress(config node.Config) node.Config {
	config.Listen = "127.0.0.1:0"
	return config
}
