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

// Config is the configuration of a node. LoadConfig and ParseConfig return validated configurations only.
type Config struct {
	Name       string          // identifies the node in its log
	Zone       string          // zone that the node runs in
	Listen     string          // address and port that clients connect to
	Discovery  string          // address and port of the discovery agent or registry
	Seed       uint64          // seeds the decision module's random numbers
	MemoryMB   int             // memory limit of the process, in megabytes
	Sockets    int             // file descriptor limit of the process
	CachedList json.RawMessage // last endpoint list that the node had; it may be outdated

	Settings       balancer.Settings // settings of the decision module
	ConnIdle       time.Duration     // how long endpoints keep an idle connection open
	ConnectTimeout time.Duration     // limit for establishing a connection to an endpoint
}

// Limits and formats of configuration values.
const (
	minSockets   = 64 // covers the reserved descriptors and a few connections on each side
	maxSockets   = 1 << 20
	minMemoryMB  = 16
	maxMemoryMB  = 1 << 20
	maxTimeoutMS = 1e9 // milliseconds; for conn-idle-ms and connect-timeout-ms
	seedBase     = 16  // the seed is a hexadecimal number
	seedBits     = 64
)

// ConfigError reports an invalid field of the configuration. For invalid settings of the decision module it also wraps
// a *balancer.SettingError.
type ConfigError struct {
	Field string // path in the file, such as limits.sockets
	Err   error  // the reason; its text names the field as well
}

// Error returns a message that names the field and the reason.
func (e *ConfigError) Error() string { return "config: " + e.Err.Error() }

// Unwrap returns Err.
func (e *ConfigError) Unwrap() error { return e.Err }

// newFieldError returns a ConfigError for a field whose value cannot be parsed or is invalid.
func newFieldError(field string, err error) error {
	return &ConfigError{Field: field, Err: fmt.Errorf("%s: %w", field, err)}
}

// newRangeError returns a ConfigError for a field whose value is too small or too large.
func newRangeError(field string, value float64) error {
	return &ConfigError{Field: field, Err: fmt.Errorf("%s %w: %v", field, balancer.ErrOutOfRange, value)}
}

// configFile is the JSON form of the configuration file.
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

// settingsFile is the JSON form of the settings that the node itself uses. The decision module's settings share the
// same JSON object.
type settingsFile struct {
	Zone   string `json:"zone"`
	Limits struct {
		ConnIdle       float64 `json:"conn-idle-ms"`
		ConnectTimeout float64 `json:"connect-timeout-ms"`
	} `json:"limits"`
}

// LoadConfig reads and validates the file that the environment variable BALANCER_CONFIG names.
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

// ParseConfig parses and validates a configuration file. The error is a *ConfigError for the first invalid field,
// unless the text cannot be decoded at all.
func ParseConfig(text []byte) (Config, error) {
	var file configFile
	if err := json.Unmarshal(text, &file); err != nil {
		return Config{}, fmt.Errorf("config: %w", err)
	}
	nodeSettings, balancerSettings, err := parseSettings(file.Settings)
	if err != nil {
		return Config{}, err
	}
	seed, err := file.validate()
	if err != nil {
		return Config{}, err
	}
	if err := nodeSettings.validate(); err != nil {
		return Config{}, err
	}
	return Config{
		Name: file.Name, Zone: nodeSettings.Zone, Listen: file.Listen, Discovery: file.Discovery, Seed: seed,
		MemoryMB: int(file.Limits.MemoryMB), Sockets: int(file.Limits.Sockets),
		CachedList: file.Known, Settings: balancerSettings,
		ConnIdle:       settings.Milliseconds(nodeSettings.Limits.ConnIdle),
		ConnectTimeout: settings.Milliseconds(nodeSettings.Limits.ConnectTimeout),
	}, nil
}

// parseSettings decodes the settings object twice: into the settings of the node, which the caller validates, and into
// those of the decision module, which are validated here.
func parseSettings(text json.RawMessage) (settingsFile, balancer.Settings, error) {
	var nodeSettings settingsFile
	if len(text) == 0 {
		return nodeSettings, balancer.Settings{},
			&ConfigError{Field: "settings", Err: errors.New("settings are missing")}
	}
	if err := json.Unmarshal(text, &nodeSettings); err != nil {
		return nodeSettings, balancer.Settings{}, newFieldError("settings", err)
	}
	balancerSettings, err := settings.Parse(text)
	if err != nil {
		// The message of err starts with "settings".
		return nodeSettings, balancerSettings, &ConfigError{Field: "settings", Err: err}
	}
	if err := balancerSettings.Validate(); err != nil {
		return nodeSettings, balancerSettings, newFieldError("settings", err)
	}
	return nodeSettings, balancerSettings, nil
}

// validate checks the fields outside the settings, and returns the parsed seed.
func (f *configFile) validate() (seed uint64, err error) {
	for _, entry := range []struct{ field, address string }{
		{"listen", f.Listen},
		{"discovery", f.Discovery},
	} {
		if _, err := netip.ParseAddrPort(entry.address); err != nil {
			return 0, newFieldError(entry.field, err)
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

// validate checks the settings that the node itself uses.
func (s *settingsFile) validate() error {
	for _, timeout := range []struct {
		field string
		ms    float64
	}{
		{"settings.limits.conn-idle-ms", s.Limits.ConnIdle},
		{"settings.limits.connect-timeout-ms", s.Limits.ConnectTimeout},
	} {
		if !(timeout.ms > 0 && timeout.ms <= maxTimeoutMS) {
			return newRangeError(timeout.field, timeout.ms)
		}
	}
	return nil
}
