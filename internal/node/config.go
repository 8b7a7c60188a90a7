package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"time"

	"basaltdrum/balancer"
	"basaltdrum/internal/settings"
)

// configVariable is the environment variable that names the configuration file.
const configVariable = "BALANCER_CONFIG"

// Config is the configuration of a node. LoadConfig and ParseConfig return checked ones.
type Config struct {
	Name       string          // of the node, for its log
	Zone       string          // where the node runs
	Listen     string          // address and port for clients' connections
	Discovery  string          // address and port of the agent or the registry
	Seed       uint64          // of the module's random draws
	MemoryMB   int             // limit of the process's memory, in megabytes
	Sockets    int             // limit of the process's descriptors
	CachedList json.RawMessage // the endpoint list as the node last had it; it may be old

	Settings       balancer.Settings // of the module
	ConnIdle       time.Duration     // after which an endpoint closes an idle connection
	ConnectTimeout time.Duration     // for a connection to an endpoint to come up
}

// Limits of the configuration's values.
const (
	minSockets   = 64 // descriptors: the node's own, and a few connections on each side
	maxSockets   = 1 << 20
	minMemoryMB  = 16
	maxMemoryMB  = 1 << 20
	maxTimeoutMS = 1e9 // milliseconds, of conn-idle-ms and connect-timeout-ms
	seedBase     = 16  // the seed is written in hexadecimal
	seedBits     = 64
)

// ConfigError says which field of the configuration can't be used. Errors in the module's settings wrap a
// *balancer.SettingError as well.
type ConfigError struct {
	Field string // by its path in the file, such as limits.sockets
	Err   error  // the reason, which names the field too
}

// Error names the field and the reason.
func (e *ConfigError) Error() string { return "config: " + e.Err.Error() }

// Unwrap returns the reason.
func (e *ConfigError) Unwrap() error { return e.Err }

// newFieldError is a ConfigError for a field whose value can't be read.
func newFieldError(field string, err error) error {
	return &ConfigError{Field: field, Err: fmt.Errorf("%s: %w", field, err)}
}

// newRangeError is a ConfigError for a field whose value is too small or too large.
func newRangeError(field string, value float64) error {
	return &ConfigError{Field: field, Err: fmt.Errorf("%s %w: %v", field, balancer.ErrOutOfRange, value)}
}

// configFile mirrors the configuration file.
type configFile struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		MemoryMB float64 `json:"memory_mb"`
		Sockets  float64 `json:"sockets"`
	} `json:"limits"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// settingsFile mirrors the settings that the node needs besides the module's.
type settingsFile struct {
	Zone   string `json:"zone"`
	Limits struct {
		ConnIdle       float64 `json:"conn-idle-ms"`
		ConnectTimeout float64 `json:"connect-timeout-ms"`
	} `json:"limits"`
}

// LoadConfig reads and checks the file that the environment variable BALANCER_CONFIG names.
func LoadConfig() (Config, error) {
	path := os.Getenv(configVariable)
	if path == "" {
		return Config{}, errors.New("config: " + configVariable + " is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("config: %w", err)
	}
	return ParseConfig(text)
}

// ParseConfig reads and checks a configuration file. The error is a *ConfigError for the first field that can't be
// used, unless the file as a whole can't be read.
func ParseConfig(text []byte) (Config, error) {
	var f configFile
	if err := json.Unmarshal(text, &f); err != nil {
		return Config{}, fmt.Errorf("config: %w", err)
	}
	s, set, err := parseSettings(f.Settings)
	if err != nil {
		return Config{}, err
	}
	seed, err := f.validate()
	if err != nil {
		return Config{}, err
	}
	if err := s.validate(); err != nil {
		return Config{}, err
	}
	return Config{
		Name: f.Name, Zone: s.Zone, Listen: f.Listen, Discovery: f.Discovery, Seed: seed,
		MemoryMB: int(f.Limits.MemoryMB), Sockets: int(f.Limits.Sockets), CachedList: f.Known, Settings: set,
		ConnIdle:       settings.Milliseconds(s.Limits.ConnIdle),
		ConnectTimeout: settings.Milliseconds(s.Limits.ConnectTimeout),
	}, nil
}

// parseSettings reads the settings object twice: for the node and for the module, which checks its own part.
func parseSettings(text json.RawMessage) (settingsFile, balancer.Settings, error) {
	var s settingsFile
	if len(text) == 0 {
		return s, balancer.Settings{}, &ConfigError{Field: "settings", Err: errors.New("settings are missing")}
	}
	if err := json.Unmarshal(text, &s); err != nil {
		return s, balancer.Settings{}, newFieldError("settings", err)
	}
	set, err := settings.Parse(text)
	if err != nil {
		return s, set, &ConfigError{Field: "settings", Err: err} // it begins with "settings"
	}
	if err := set.Validate(); err != nil {
		return s, set, newFieldError("settings", err)
	}
	return s, set, nil
}

// validate checks the fields outside the settings, and returns the seed, which is written in hexadecimal.
func (f *configFile) validate() (seed uint64, err error) {
	for _, a := range []struct{ field, address string }{
		{"listen", f.Listen},
		{"discovery", f.Discovery},
	} {
		if _, err := netip.ParseAddrPort(a.address); err != nil {
			return 0, newFieldError(a.field, err)
		}
	}
	if seed, err = strconv.ParseUint(f.Seed, seedBase, seedBits); err != nil {
		return 0, newFieldError("seed", err)
	}
	if !(f.Limits.MemoryMB >= minMemoryMB && f.Limits.MemoryMB <= maxMemoryMB) {
		return 0, newRangeError("limits.memory_mb", f.Limits.MemoryMB)
	}
	if !(f.Limits.Sockets >= minSockets && f.Limits.Sockets <= maxSockets) {
		return 0, newRangeError("limits.sockets", f.Limits.Sockets)
	}
	return seed, nil
}

// validate checks the settings that only the node uses.
func (s *settingsFile) validate() error {
	for _, t := range []struct {
		field string
		ms    float64
	}{
		{"settings.limits.conn-idle-ms", s.Limits.ConnIdle},
		{"settings.limits.connect-timeout-ms", s.Limits.ConnectTimeout},
	} {
		if !(t.ms > 0 && t.ms <= maxTimeoutMS) {
			return newRangeError(t.field, t.ms)
		}
	}
	return nil
}
