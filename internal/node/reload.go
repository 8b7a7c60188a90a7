package node

import (
	"maps"
	"reflect"
	"slices"
	"time"

	"basaltdrum/balancer"
	"basaltdrum/internal/discovery"
	"basaltdrum/internal/upstream"
)

// moduleSettings returns the settings as passed to the module. The module derives its polling intervals from
// PollWithin. A change of the endpoint list counts as known to the node after discovery.NotificationDeadline, so no
// poll may be delayed longer than that.
func moduleSettings(cfg Config) balancer.Settings {
	settings := cfg.Settings
	settings.PollWithin = min(settings.PollWithin, discovery.NotificationDeadline)
	return settings
}

// upstreamTimeouts returns the part of a configuration that the upstream pool needs.
func upstreamTimeouts(cfg Config) upstream.Timeouts {
	return upstream.Timeouts{Connect: cfg.ConnectTimeout, Idle: cfg.ConnIdle}
}

// Reload applies a configuration to a running node: to the module, the validation of requests, the upstream connections
// and discovery. Requests received before keep their deadlines, and the state learned about endpoints is kept. Changes
// that need a restart are logged and ignored. Reload returns before the module has the new settings; a log line reports
// when they are in force.
func (n *Node) Reload(cfg Config) {
	n.mu.Lock()
	defer n.mu.Unlock()
	cfg = n.withoutRestartChanges(cfg)
	cfg.CachedList = nil // used only at the start
	changed, sameSettings := changedNames(n.cfg, cfg), reflect.DeepEqual(n.cfg.Settings, cfg.Settings)
	n.revision++
	log := n.log.With("revision", n.revision, "changed", changed)
	log.Info("configuration reloaded", "discovery", cfg.Discovery)
	reloadedAt := n.loop.clock.Now()
	n.cfg, n.drainSchedule, n.drainLimit = cfg, newDrainSchedule(cfg), drainLimit(cfg)
	n.upstream.SetTimeouts(upstreamTimeouts(cfg))
	n.discovery.SetAddress(cfg.Discovery)
	if sameSettings {
		return
	}
	settings := moduleSettings(cfg)
	logInForce := func(at time.Duration) { log.Info("new settings are in force", "after", at-reloadedAt) }
	n.loop.post(settingsChanged{
		settings: settings, rules: newRequestRules(n.revision, settings), onApplied: logInForce,
	})
}

// withoutRestartChanges returns cfg with the current values of the fields that need a restart to change, and logs a
// warning for each of them that differs. n.mu must be held.
func (n *Node) withoutRestartChanges(cfg Config) Config {
	for _, field := range []struct {
		name    string
		changed bool
	}{
		{"listen", cfg.Listen != n.cfg.Listen},
		{"limits", cfg.Sockets != n.cfg.Sockets || cfg.MemoryMB != n.cfg.MemoryMB},
		{"settings.registry-mode", cfg.Settings.PollDiscovery != n.cfg.Settings.PollDiscovery},
	} {
		if field.changed {
			n.log.Warn("configuration change needs a restart", "field", field.name)
		}
	}
	cfg.Listen, cfg.Sockets, cfg.MemoryMB = n.cfg.Listen, n.cfg.Sockets, n.cfg.MemoryMB
	cfg.Settings.PollDiscovery = n.cfg.Settings.PollDiscovery
	return cfg
}

// changedNames returns the names, for the log, of the parts in which two configurations differ, as far as a reload
// applies them.
func changedNames(old, current Config) []string {
	names := changedSettings(old.Settings, current.Settings)
	names = append(names, changedClasses(old.Settings.Classes, current.Settings.Classes)...)
	if old.ConnIdle != current.ConnIdle || old.ConnectTimeout != current.ConnectTimeout {
		names = append(names, "upstream time-outs")
	}
	if old.Discovery != current.Discovery {
		names = append(names, "discovery")
	}
	return names
}

// changedSettings returns the names of the fields that differ, except Classes.
func changedSettings(old, current balancer.Settings) (names []string) {
	before, after := reflect.ValueOf(old), reflect.ValueOf(current)
	for i := range before.NumField() {
		name := before.Type().Field(i).Name
		if name != "Classes" && !reflect.DeepEqual(before.Field(i).Interface(), after.Field(i).Interface()) {
			names = append(names, name)
		}
	}
	return names
}

// changedClasses returns the names of the classes that were added, changed or removed.
func changedClasses(old, current []balancer.Class) (names []string) {
	removed := map[string]balancer.Class{}
	for _, class := range old {
		removed[class.Name] = class
	}
	for _, class := range current {
		if before, existed := removed[class.Name]; !existed {
			names = append(names, "class "+class.Name+" added")
		} else if before != class {
			names = append(names, "class "+class.Name)
		}
		delete(removed, class.Name)
	}
	for _, name := range slices.Sorted(maps.Keys(removed)) {
		names = append(names, "class "+name+" removed")
	}
	return names
}
