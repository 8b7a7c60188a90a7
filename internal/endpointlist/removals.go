package endpointlist

import "time"

// removalMemory is how long a removed process is remembered. Lists are late by a few seconds at most.
const removalMemory = 30 * time.Second

// removal is the removal of a process from the list.
type removal struct {
	id     string
	bootMS float64
	at     time.Duration // clock time
}

// removals holds the processes that were removed within removalMemory, in the order of their removal.
type removals []removal

// add records the removal of a process, and forgets those that are too old.
func (r *removals) add(entry Entry, now time.Duration) {
	*r = append(r.since(now), removal{entry.ID, entry.BootMS, now})
}

// since returns the removals that are remembered.
func (r *removals) since(now time.Duration) []removal {
	recent := *r
	for len(recent) > 0 && now-recent[0].at > removalMemory {
		recent = recent[1:]
	}
	return recent
}

// latestByID returns the start of the latest process of each endpoint whose removal is remembered, as listed.
func (r *removals) latestByID(now time.Duration) map[string]float64 {
	latest := map[string]float64{}
	for _, removed := range r.since(now) {
		latest[removed.id] = max(latest[removed.id], removed.bootMS)
	}
	return latest
}
