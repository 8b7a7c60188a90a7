package node

import (
	"errors"
	"testing"

	"basaltdrum/balancer"
)

// ParseConfig returns a *ConfigError with the path of the invalid field. Out-of-range values wrap ErrOutOfRange.
func TestConfigErrorHasTheField(t *testing.T) {
	for _, row := range []struct {
		name, old, replacement, field string
		reason                        error // nil: any
	}{
		{"address", `"listen":"127.0.0.1:7070"`, `"listen":"nowhere"`, "listen", nil},
		{"seed", `"seed":"fc1f30d27a5be964"`, `"seed":"xyz"`, "seed", nil},
		{"limit", `"sockets":1024`, `"sockets":5`, "limits.sockets", balancer.ErrOutOfRange},
		{
			"timeout", `"conn-idle-ms":60000.0`, `"conn-idle-ms":0`,
			"settings.limits.conn-idle-ms", balancer.ErrOutOfRange,
		},
		{"module", `"max-attempts":4`, `"max-attempts":4.5`, "settings", balancer.ErrOutOfRange},
	} {
		t.Run(row.name, func(t *testing.T) {
			_, err := ParseConfig(validConfigWith(t, row.old, row.replacement))
			var configErr *ConfigError
			if !errors.As(err, &configErr) || configErr.Field != row.field {
				t.Fatalf("got error %v, want one in field %s", err, row.field)
			}
			if row.reason != nil && !errors.Is(err, row.reason) {
				t.Errorf("got error %v, want one that wraps %v", err, row.reason)
			}
		})
	}
}
