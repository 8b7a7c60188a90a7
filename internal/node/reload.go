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

// moduleSettings returns the settings in the form that the module gets. It paces its polls of discovery by parts
// of PollWithin; a change counts as notified after discovery.NotifiedWithin, so no poll may be put off longer than
// that.
func moduleSettings(cfg Config) balancer.Settings {
	set := cfg.Settings
	set.PollWithin = min(set.PollWithin, discovery.NotificationDeadline)
	return set
}

// upstreamTimeouts returns the part of a configuration that the upstream pool needs.
func upstreamTimeouts(cfg Config) upstream.Timeouts {
	return upstream.Timeouts{Connect: cfg.ConnectTimeout, Idle: cfg.ConnIdle}
}

// Reload puts a configuration into force in a running node: all that the module, the checks on requests, the
// upstream connections and discovery go by. Requests that were received before keep their deadlines, and what was
// learned about endpoints is kept. A change that needs a restart is logged and left out. Reload returns before the
// module has the new settings; the log says when they are in force.
func (n *Node) Reload(cfg Config) {
	n.mu.Lock()
	defer n.mu.Unlock()
	cfg = n.withoutRestartChanges(cfg)
	cfg.CachedList = nil // it only counts at the start
	changed, sameSettings := changedNames(n.cfg, cfg), reflect.DeepEqual(n.cfg.Settings, cfg.Settings)
	n.revision++
	log := n.log.With("revision", n.revision, "changed", changed)
	log.Info("configuration reloaded", "discovery", cfg.Discovery)
	since := n.loop.clock.Now()
	n.cfg, n.drainSchedule, n.drainLimit = cfg, newDrainSchedule(cfg), drainLimit(cfg)
	n.upstream.SetTimeouts(upstreamTimeouts(cfg))
	n.discovery.SetAddress(cfg.Discovery)
	if sameSettings {
		return
	}
	set := moduleSettings(cfg)
	inForce := func(at time.Duration) { log.Info("new settings are in force", "after", at-since) }
	n.loop.post(settingsChanged{settings: set, rules: newRequestRules(n.revision, set), onApplied: inForce})
}

// withoutRestartChanges returns a configuration in which all that needs a restart is as it was, and logs a warning
// for each such change. The caller holds mu.
func (n *Node) withoutRestartChanges(cfg Config) Config {
	for _, f := range []struct {
		name    string
		changed bool
	}{
		{"listen", cfg.Listen != n.cfg.Listen},
		{"limits", cfg.Sockets != n.cfg.Sockets || cfg.MemoryMB != n.cfg.MemoryMB},
		{"settings.registry-mode", cfg.Settings.PollDiscovery != n.cfg.Settings.PollDiscovery},
	} {
		if f.changed {
			n.log.Warn("configuration change needs a restart", "field", f.name)
		}
	}
	cfg.Listen, cfg.Sockets, cfg.MemoryMB = n.cfg.Listen, n.cfg.Sockets, n.cfg.MemoryMB
	cfg.Settings.PollDiscovery = n.cfg.Settings.PollDiscovery
	return cfg
}

// changedNames names, for the log, what differs between two configurations of all that comes into force at once.
func changedNames(old, cfg Config) []string {
	names := changedSettings(old.Settings, cfg.Settings)
	names = append(names, changedClasses(old.Settings.Classes, cfg.Settings.Classes)...)
	if old.ConnIdle != cfg.ConnIdle || old.ConnectTimeout != cfg.ConnectTimeout {
		names = append(names, "upstream time-outs")
	}
	if old.Discovery != cfg.Discovery {
		names = append(names, "discovery")
	}
	return names
}

// changedSettings names the fields that differ, but for the classes.
func changedSettings(old, set balancer.Settings) (names []string) {
	before, after := reflect.ValueOf(old), reflect.ValueOf(set)
	for i := range before.NumField() {
		name := before.Type().Field(i).Name
		if name != "Classes" && !reflect.DeepEqual(before.Field(i).Interface(), after.Field(i).Interface()) {
			names = append(names, name)
		}
	}
	return names
}

// changedClasses names the classes that were added, changed or removed.
func changedClasses(old, classes []balancer.Class) (names []string) {
	removed := map[string]balancer.Class{}
	for _, class := range old {
		removed[class.Name] = class
	}
	for _, class := range classes {
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
