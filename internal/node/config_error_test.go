package node

import (
	"errors"
	"testing"

	"basaltdrum/balancer"
)

func TestConfigErrorsCarryTheField(t *testing.T) {
	for _, row := range []struct {
		name, part, by, field string
		reason                error // nil: any
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
			_, err := ParseConfig(validConfigWith(t, row.part, row.by))
			var bad *ConfigError
			if !errors.As(err, &bad) || bad.Field != row.field {
				t.Fatalf("got %v, want an error in %s", err, row.field)
			}
			if row.reason != nil && !errors.Is(err, row.reason) {
				t.Errorf("got %v, want the reason %v", err, row.reason)
			}
		})
	}
}
