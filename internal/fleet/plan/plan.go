package plan

import (
	"time"
)

// Zones are the zones of servers and nodes: three in each of two regions.
var Zones = []string{"north-1", "north-2", "north-3", "south-1", "south-2", "south-3"}

// Groups of list changes, whose times are reported separately. The values are keys of the JSON report.
const (
	GroupServerState = "a server's state"   // one server drains, is removed, or is listed again
	GroupAfterOutage = "told at the return" // the last change made during an outage of the registry
	GroupZoneLost    = "a zone lost"        // all servers of a zone are removed
	GroupZoneBack    = "a zone back"        // all servers of the zone are listed again
)

// ListChangeGroups are all groups of list changes, in the order of the tables.
var ListChangeGroups = []string{GroupServerState, GroupAfterOutage, GroupZoneLost, GroupZoneBack}

// Schedule of an outage.
const (
	StormStart     = 0.25             // fraction of the run's length
	StormEnd       = 0.6              // fraction of the run's length
	StormWatchTime = 10 * time.Second // measured after the end of the outage
)
