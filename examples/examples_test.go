package examples

import (
	"strings"
	"testing"
	"time"

	"basaltdrum/internal/node"
)

func TestConfigIsValid(t *testing.T) {
	config, err := node.ParseConfig([]byte(Config))
	if err != nil {
		t.Fatal(err)
	}
	if config.Listen != ConfigAddresses().Listen || config.Discovery != ConfigAddresses().Discovery {
		t.Errorf("got the addresses %s and %s, want those of ConfigAddresses", config.Listen, config.Discovery)
	}
	if len(config.Settings.Classes) != 3 || config.ConnectTimeout != 150*time.Millisecond {
		t.Errorf("got %+v, want three classes and a connect timeout of 150 ms", config)
	}
}

func TestConfigWithReplacesEachAddress(t *testing.T) {
	replaced := Addresses{
		Listen: "127.0.0.2:1", Discovery: "127.0.0.2:2",
		Servers: [3]string{"127.0.0.2:3", "127.0.0.2:4", "127.0.0.2:5"},
	}
	text := ConfigWith(replaced)
	if _, err := node.ParseConfig([]byte(text)); err != nil {
		t.Fatal(err)
	}
	for i, address := range replaced.all() {
		old := ConfigAddresses().all()[i]
		if strings.Count(text, `"`+address+`"`) != 1 || strings.Count(Config, `"`+old+`"`) != 1 {
			t.Errorf("%s and its replacement %s must each occur once in their configurations", old, address)
		}
		if strings.Contains(text, `"`+old+`"`) {
			t.Errorf("the new configuration still has the address %s", old)
		}
	}
}

func (a Addresses) all() []string { return append([]string{a.Listen, a.Discovery}, a.Servers[:]...) }
