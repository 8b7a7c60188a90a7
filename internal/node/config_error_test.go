package node

import (
	"errors"
	"strings"
	"testing"

	"basaltdrum/balancer"
)

func TestConfigErrorsCarryTheField(t *testing.T) {
	for _, c := range []struct {
		name, good, bad, field string
		reason                 error // nil: any
	}{
		{"address", `"listen":"127.0.0.1:7070"`, `"listen":"nowhere"`, "listen", nil},
		{"seed", `"seed":"fc1f30d27a5be964"`, `"seed":"xyz"`, "seed", nil},
		{"limit", `"sockets":1024`, `"sockets":5`, "limits.sockets", balancer.ErrOutOfRange},
		{"timeout", `"conn-idle-ms":60000.0`, `"conn-idle-ms":0`, "settings.limits.conn-idle-ms", balancer.ErrOutOfRange},
		{"module", `"max-attempts":4`, `"max-attempts":4.5`, "settings", balancer.ErrOutOfRange},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParseConfig([]byte(strings.Replace(goodConfig, c.good, c.bad, 1)))
			var bad *ConfigError
			if !errors.As(err, &bad) || bad.Field != c.field {
				t.Fatalf("got %v, want an error in %s", err, c.field)
			}
			if c.reason != nil && !errors.Is(err, c.reason) {
				t.Errorf("got %v, want the reason %v", err, c.reason)
			}
		})
	}
}
