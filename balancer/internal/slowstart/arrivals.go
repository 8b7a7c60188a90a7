package slowstart

import "time"

// averageWeight is the minimum weight of a new sample in averages (about 16 samples).
const averageWeight = 0.06

// arrivalInterval is the time between requests, an exponentially weighted moving average.
type arrivalInterval struct{ mean, lastArrival time.Duration }

// observe records the arrival of a request. Longer intervals than longest count as longest.
func (a *arrivalInterval) observe(now, longest time.Duration) {
	interval := min(now-a.lastArrival, longest)
	a.mean += time.Duration(averageWeight * float64(interval-a.mean))
	a.lastArrival = now
}

// workEstimate is the mean work that clients expect of their requests, in nanoseconds.
type workEstimate struct {
	mean  float64
	hints float64 // number of requests with a hint
}

func (w *workEstimate) observe(work float64) {
	w.hints++
	w.mean += max(averageWeight, 1/w.hints) * (work - w.mean)
}
