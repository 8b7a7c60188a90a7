// Package latency estimates the latency of a class of requests, and the latency of an endpoint relative to
// it.
//
// The estimate is an exponentially weighted moving average of the latency and of its deviation, like TCP's
// estimate of the round-trip time (RFC 6298).
package latency

import (
	"math"
	"time"
)

// Constants of the estimate for a class: weights of a new sample, numbers of samples, or deviations.
const (
	averageWeight     = 0.06   // minimum weight in the mean and the deviation (about 16 samples)
	baseRiseWeight    = 0.0005 // weight in the base latency when the mean lies above it
	baseFallWeight    = 0.02   // and when it lies below; small, as the noisy mean may be too low
	minSamples        = 8      // from which the base latency may differ from the mean, and responses be slow
	typicalDeviations = 2.0    // above the mean, up to which a latency is typical
	slowDeviations    = 3.0    // above the mean, from which a latency is slow
)

// Constants of the relative latency of an endpoint.
const (
	minRelativeWeight = 0.25 // minimum weight of a new sample
	minLogRatio       = -1   // logarithm of the ratio below which a faster endpoint gains no more weight
)

// Estimator estimates the latency of the successful attempts of a class, in nanoseconds.
type Estimator struct {
	mean, deviation float64
	base            float64 // mean at the lowest load
	samples         int
}

// NewEstimator returns an estimator with an initial estimate derived from the latency objective of the class.
func NewEstimator(objective time.Duration) Estimator {
	nanoseconds := float64(objective)
	return Estimator{mean: nanoseconds / 4, deviation: nanoseconds / 8, base: nanoseconds / 4}
}

// Observe records the latency of a success, and reports whether there are enough samples to call a latency
// slow. The first samples replace the initial estimate; otherwise the first endpoint to respond would look
// fast compared with it.
func (e *Estimator) Observe(latency float64) bool {
	e.samples++
	weight := max(averageWeight, 1/float64(e.samples))
	e.deviation += weight * (math.Abs(latency-e.mean) - e.deviation)
	e.mean += weight * (latency - e.mean)
	e.base += baseRiseWeight * (e.mean - e.base)
	e.base += min(0, baseFallWeight*(e.mean-e.base))
	if e.samples < minSamples {
		e.base = e.mean
		return false
	}
	return true
}

// Mean returns the mean latency.
func (e *Estimator) Mean() float64 { return e.mean }

// Base returns the mean latency at the lowest load.
func (e *Estimator) Base() float64 { return e.base }

// IsSlow reports whether a response with this latency is slow for the class.
func (e *Estimator) IsSlow(latency float64) bool { return latency > e.mean+slowDeviations*e.deviation }

// SlowThreshold returns the latency above which a response is slow; most responses stay well below it.
func (e *Estimator) SlowThreshold() time.Duration {
	return time.Duration(e.mean + slowDeviations*e.deviation)
}

// TypicalMax returns the upper end of the typical latencies.
func (e *Estimator) TypicalMax() time.Duration {
	return time.Duration(e.mean + typicalDeviations*e.deviation)
}

// Relative is the latency of an endpoint relative to the mean latency of the classes sent to it.
type Relative struct {
	logRatio float64 // mean logarithm of the ratios; 0: as fast as the mean
	samples  int
}

// Observe records the ratio of a response's latency to the mean of its class.
func (r *Relative) Observe(ratio float64) {
	r.samples++
	weight := max(minRelativeWeight, 1/float64(r.samples+1))
	r.logRatio += weight * (math.Log(ratio) - r.logRatio)
}

// Speed returns how fast the endpoint is relative to the others: 1 is average, 2 twice as fast, up to a
// bound.
func (r *Relative) Speed() float64 { return math.Exp(-max(r.logRatio, minLogRatio)) }
