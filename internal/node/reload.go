package node

import (
	"maps"
	"reflect"
	"slices"
	"time"

	"balancer"
)

// moduleSettings are the settings as the module is told them. Its waits between calls for the list are parts of
// AskWithin; no call may wait past the time when a change counts as told whether heard or not.
func moduleSettings(cfg Config) balancer.Settings {
	set := cfg.Settings
	set.PollWithin = min(set.PollWithin, notifiedWithin)
	return set
}

// Reload puts a configuration in force in a running node: all that the module, the checks on requests, the
// connections to servers and discovery go by. Requests already taken keep what their clients were promised,
// and what was learned of servers stays. It says what has to wait for the next start, and it returns before
// the module has the new settings: the log tells when.
func (n *Node) Reload(cfg Config) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, f := range []struct {
		name    string
		changed bool
	}{
		{"listen", cfg.Listen != n.cfg.Listen},
		{"limits", cfg.Sockets != n.cfg.Sockets || cfg.MemoryMB != n.cfg.MemoryMB},
		{"settings.registry-mode", cfg.Settings.PollDiscovery != n.cfg.Settings.PollDiscovery},
	} {
		if f.changed {
			n.log.Warn("a change in the configuration waits for the next start", "field", f.name)
		}
	}
	cfg.Listen, cfg.Sockets, cfg.MemoryMB = n.cfg.Listen, n.cfg.Sockets, n.cfg.MemoryMB
	cfg.Settings.PollDiscovery = n.cfg.Settings.PollDiscovery
	cfg.Known = nil // of use at a start alone
	changed, same := changedNames(n.cfg, cfg), reflect.DeepEqual(n.cfg.Settings, cfg.Settings)
	n.revision++
	log := n.log.With("revision", n.revision, "changed", changed)
	log.Info("the configuration is read again", "discovery", cfg.Discovery)
	since := n.loop.clock.now()
	n.cfg, n.drainSchedule, n.drainLimit = cfg, drainScheduleOf(cfg), drainLimit(cfg)
	n.upstream.configure(cfg)
	n.discovery.setAddress(cfg.Discovery)
	if !same {
		set := moduleSettings(cfg)
		n.loop.post(settingsChanged{settings: set, rules: newRequestRules(n.revision, set), inForce: func(at time.Duration) {
			log.Info("the configuration is in force", "after", at-since)
		}})
	}
}

// changes names what differs between two configurations, of all that takes force at once.
func changedNames(old, cfg Config) (names []string) {
	was, is := reflect.ValueOf(old.Settings), reflect.ValueOf(cfg.Settings)
	for i := range was.NumField() {
		name := was.Type().Field(i).Name
		if name != "Classes" && !reflect.DeepEqual(was.Field(i).Interface(), is.Field(i).Interface()) {
			names = append(names, name)
		}
	}
	classes := map[string]balancer.Class{}
	for _, c := range old.Settings.Classes {
		classes[c.Name] = c
	}
	for _, c := range cfg.Settings.Classes {
		if before, had := classes[c.Name]; !had {
			names = append(names, "class "+c.Name+" comes")
		} else if before != c {
			names = append(names, "class "+c.Name)
		}
		delete(classes, c.Name)
	}
	for _, name := range slices.Sorted(maps.Keys(classes)) {
		names = append(names, "class "+name+" goes")
	}
	if old.ConnIdle != cfg.ConnIdle || old.ConnectTimeout != cfg.ConnectTimeout {
		names = append(names, "connections to servers")
	}
	if old.Discovery != cfg.Discovery {
		names = append(names, "discovery")
	}
	return names
}
