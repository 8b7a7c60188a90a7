package lab

// Site is a deployment: its settings object, as the operators' wire page describes it.
type Site struct{ settings Object }

// lane returns a class of requests. Times are in milliseconds.
func lane(name, effect, scope string, target, deadline, window, late, worth float64) Object {
	return Object{
		"name": name, "effect": effect, "key-scope": scope, "target-ms": target, "deadline-ms": deadline,
		"window-ms": window, "late-share": late, "worth": worth, "stream": false,
	}
}

// Gallery returns gallery-prod-jhb. Its settings are the example of the wire page.
func Gallery() Site {
	return newSite(Object{
		"zone": "jhb-north", "localities": []string{"jhb-north", "jhb-east"}, "registry-mode": "pushed",
		"lanes": []Object{
			lane("favourite", "idempotency_key", "zone", 1200, 3000, 5000, 0, 10),
			lane("print-order", "non_idempotent", "all", 2500, 6000, 5000, 0, 30),
		},
		"limits": limits(10000, 150, 6, 2000),
		"rules":  rules(250, 4),
	})
}

// Fjord returns fjord-ferries, a deployment in deploy/sites whose nodes ask the registry.
func Fjord() Site {
	return newSite(Object{
		"zone": "bergen", "localities": []string{"bergen", "stavanger", "aalesund"}, "registry-mode": "on_request",
		"lanes": []Object{
			lane("timetable", "read_like", "all", 450, 1000, 0, 0.3, 2),
			lane("seat-hold", "idempotency_key", "cell", 800, 1800, 1200, 0, 8),
			lane("ticket", "non_idempotent", "all", 1200, 2500, 0, 0.1, 20),
		},
		"limits": limits(6000, 250, 3, 1200),
		"rules":  rules(400, 3),
	})
}

// newSite adds the settings that are the same in all deployments.
func newSite(settings Object) Site {
	settings["balancers"], settings["me"], settings["tier"], settings["tick-ms"] = 2, 0, 0, 5.0
	settings["blend"] = Object{"whole": 0.65, "worst-class": 0.2, "worst-tenant": 0.1, "worst-window": 0.05}
	return Site{settings}
}

func limits(connIdle, connectTimeout, maxAttempts, maxRetryAfter float64) Object {
	return Object{
		"cancelling": true, "conn-idle-ms": connIdle, "connect-timeout-ms": connectTimeout,
		"max-attempts": maxAttempts, "max-retry-after-ms": maxRetryAfter, "max-streams": 1, "may-probe": true,
		"open-cap": 26820, "peers": false, "retry-after": true, "second-copies": false,
	}
}

func rules(stopSending, fallMultiple float64) Object {
	return Object{
		"answer-slack-ms": 20.0, "ask-within-ms": 10000.0, "cold-from": 0.12, "fall-ms": 1000.0,
		"fall-multiple": fallMultiple, "stop-sending-within-ms": stopSending, "warm-after-ms": 24000.0,
	}
}

// Config returns the configuration of a node at the site, with discovery's present list as the one it last had.
func (s Site) Config(d *Discovery, memoryMB, sockets int) Object {
	return Object{
		"discovery": d.Address, "seed": "8c1f30d27a5be964", "known": d.Known(),
		"limits":   Object{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets},
		"settings": s.settings,
	}
}

// Zone returns the zone of the node.
func (s Site) Zone() string { return s.settings["zone"].(string) }
