package slowstart

import "time"

// averageWeight is the least weight of a new sample in averages (about 16 samples).
const averageWeight = 0.06

// arrivalInterval is the time between requests: an exponentially weighted average.
type arrivalInterval struct{ mean, last time.Duration }

// observe records that a request arrived. An interval counts as longest at most.
func (a *arrivalInterval) observe(now, longest time.Duration) {
	interval := min(now-a.last, longest)
	a.mean += time.Duration(averageWeight * float64(interval-a.mean))
	a.last = now
}

// workEstimate is the mean of the work that clients expect of their requests, in ns.
type workEstimate struct {
	mean  float64
	hints float64 // how many requests had one
}

func (w *workEstimate) observe(work float64) {
	w.hints++
	w.mean += max(averageWeight, 1/w.hints) * (work - w.mean)
}
