package fleet

import (
	"time"
)

// zones are two regions of three zones each.
var zones = []string{"north-1", "north-2", "north-3", "south-1", "south-2", "south-3"}

// The kinds of list changes, whose times are reported apart.
const (
	groupChange      = "a server's state" // one server of the list drains, goes, or comes back
	groupAfterOutage = "told at the return"
	groupZoneLost    = "a zone lost"
	groupZoneBack    = "a zone back"
)

var groups = []string{groupChange, groupAfterOutage, groupZoneLost, groupZoneBack}

// When an outage begins and ends, as shares of a run's length, and how long its end is watched.
const (
	stormBegins = 0.25
	stormEnds   = 0.6
	stormWatch  = 10 * time.Second
)
