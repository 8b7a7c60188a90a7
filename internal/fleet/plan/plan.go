package plan

import (
	"time"
)

// Zones are two regions of three zones each.
var Zones = []string{"north-1", "north-2", "north-3", "south-1", "south-2", "south-3"}

// The kinds of list changes, whose times are reported apart.
const (
	GroupServerState = "a server's state" // one server of the list drains, goes, or comes back
	GroupAfterOutage = "told at the return"
	GroupZoneLost    = "a zone lost"
	GroupZoneBack    = "a zone back"
)

// Groups are all kinds, in the order of the tables.
var Groups = []string{GroupServerState, GroupAfterOutage, GroupZoneLost, GroupZoneBack}

// When an outage begins and ends, as shares of a run's length, and how long its end is watched.
const (
	StormBegins = 0.25
	StormEnds   = 0.6
	StormWatch  = 10 * time.Second
)
