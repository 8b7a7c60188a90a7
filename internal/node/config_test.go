package node

import (
	"strings"
	"testing"
	"time"

	"basaltdrum/internal/testutil"
)

const validConfig = `{"name":"n3","listen":"127.0.0.1:7070","discovery":"127.0.0.1:8500",
	"seed":"fc1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
	"known":{"rev":41,"all":true,"targets":[]},
	"settings":{"lanes":[{"name":"view","effect":"read_like","target-ms":500,"deadline-ms":900}],
	"limits":{"conn-idle-ms":60000.0,"connect-timeout-ms":250.0,"max-attempts":4},"zone":"chavara","tick-ms":5}}`

// validConfigWith returns validConfig with old replaced by replacement. It fails the test if that changes nothing.
func validConfigWith(t *testing.T, old, replacement string) []byte {
	t.Helper()
	text := strings.Replace(validConfig, old, replacement, 1)
	if text == validConfig {
		t.Fatalf("%s is not in validConfig, or is replaced by itself", old)
	}
	return []byte(text)
}

func TestParseConfig(t *testing.T) {
	cfg, err := ParseConfig([]byte(validConfig))
	if err != nil {
		t.Fatal(err)
	}
	if cfg.Name != "n3" || cfg.Zone != "chavara" || cfg.Seed != 0xfc1f30d27a5be964 || cfg.Sockets != 1024 ||
		cfg.MemoryMB != 192 || cfg.ConnIdle != time.Minute || cfg.ConnectTimeout != 250*time.Millisecond ||
		cfg.Settings.MaxAttempts != 4 {
		t.Errorf("got %+v, want the values of validConfig", cfg)
	}
}

// Deployments differ in the settings that they contain, and a count may be written with decimals. A node can be set up
// with each of these configurations.
func TestConfigsOfOtherDeploymentsAreAccepted(t *testing.T) {
	for _, row := range []struct{ name, old, replacement string }{
		{"a count with decimals", `"sockets":1024`, `"sockets":1024.0`},
		{
			"switches", `"max-attempts":4`,
			`"max-attempts":4.0,"second-copies":true,"cancelling":false,"retry-after":false`,
		},
		{
			"a position in the fleet", `"tick-ms":5`,
			`"tick-ms":5,"balancers":3.0,"me":2.0,"tier":1.0,"tiers":["a","b"],"localities":[],"tenants":null`,
		},
		{
			"a polled registry", `"zone":"chavara",`,
			`"zone":null,"registry-mode":"on_request","telemetry":{"via":"silent"},"family-info":{},`,
		},
		{
			"an idempotency key", `"effect":"read_like"`,
			`"effect":"idempotency_key","key-scope":"cell","window-ms":100,"aim-stretch":2`,
		},
		{"unknown enum values", `"effect":"read_like"`, `"effect":"something new","key-scope":"something new"`},
		{"no cached list", `"known":{"rev":41,"all":true,"targets":[]}`, `"known":null`},
		{"an unknown key", `"settings":{`, `"something":{},"settings":{`},
	} {
		t.Run(row.name, func(t *testing.T) {
			cfg, err := ParseConfig(validConfigWith(t, row.old, row.replacement))
			if err != nil {
				t.Fatal(err)
			}
			cfg.Listen = "127.0.0.1:0"
			n, err := New(cfg, testutil.DiscardLog())
			if err != nil {
				t.Fatal(err)
			}
			n.listener.Close()
		})
	}
}

// The message of an error names the invalid field and fits on one line.
func TestInvalidConfigMessageNamesTheField(t *testing.T) {
	for _, row := range []struct{ name, old, replacement, field string }{
		{"an invalid listen address", `"listen":"127.0.0.1:7070"`, `"listen":"nowhere"`, "listen"},
		{"an empty discovery address", `"discovery":"127.0.0.1:8500"`, `"discovery":""`, "discovery"},
		{"a seed that is not a number", `"seed":"fc1f30d27a5be964"`, `"seed":"xyz"`, "seed"},
		{"no memory", `"memory_mb":192`, `"memory_mb":0`, "memory_mb"},
		{"too few sockets", `"sockets":1024`, `"sockets":5`, "sockets"},
		{"no settings", `"settings":{`, `"other":{`, "settings"},
		{"no idle time", `"conn-idle-ms":60000.0`, `"conn-idle-ms":0`, "conn-idle-ms"},
		{"a missing timeout", `"connect-timeout-ms":250.0,`, ``, "connect-timeout-ms"},
		{"a count that is not an integer", `"max-attempts":4`, `"max-attempts":4.5`, "MaxAttempts"},
		{"a count that is too large", `"max-attempts":4`, `"max-attempts":1e300`, "MaxAttempts"},
		{"too many sockets", `"sockets":1024`, `"sockets":1e300`, "sockets"},
		{"a negative count", `"tick-ms":5`, `"tick-ms":5,"balancers":-1`, "Replicas"},
		{"a negative time", `"target-ms":500`, `"target-ms":-1`, "LatencyObjective"},
		{"a number as the name", `"name":"n3"`, `"name":3`, "name"},
		{"not a JSON object", `{"name":"n3"`, `"name":"n3"`, "config"},
	} {
		t.Run(row.name, func(t *testing.T) {
			_, err := ParseConfig(validConfigWith(t, row.old, row.replacement))
			if err == nil || !strings.Contains(err.Error(), row.field) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got error %v, want one line that names %s", err, row.field)
			}
		})
	}
}
