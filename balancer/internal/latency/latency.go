// Package latency estimates the latency of a class of requests, and how an endpoint's stands to it.
//
// The estimate is an exponentially weighted average of latency and of its deviation, as in TCP's estimate of
// the round-trip time (RFC 6298).
package latency

import (
	"math"
	"time"
)

// Constants of the estimate of a class: weights of a new sample, or counts.
const (
	averageWeight   = 0.06   // least weight in the mean and the deviation (about 16 samples)
	baseRiseWeight  = 0.0005 // weight in the base latency when the mean lies above it
	baseFallWeight  = 0.02   // and when it lies below; the mean is noisy and at times lower than any real one
	baseSamples     = 8      // samples from which base latency has a value of its own and answers can be slow
	usualDeviations = 2.0    // deviations above the mean that an answer may usually take
	slowDeviations  = 3.0    // deviations above the mean from which an answer is slow
)

// Constants of the relative latency of an endpoint.
const (
	relativeWeight = 0.25 // least weight of a new sample
	minLogRatio    = -1   // logarithm of the ratio from which a faster endpoint gains no more weight
)

// Estimator estimates the latency of the successful attempts of a class, in nanoseconds.
type Estimator struct {
	mean, deviation float64
	base            float64 // what mean was when load was lowest
	samples         int
}

// NewEstimator returns an estimator with a first guess, derived from the latency that the class aims at.
func NewEstimator(objective time.Duration) Estimator {
	first := float64(objective)
	return Estimator{mean: first / 4, deviation: first / 8, base: first / 4}
}

// Observe records the latency of a success, and says whether enough are known to call one slow. The first
// samples replace the guess, or the endpoint that answers first would look fast against it.
func (e *Estimator) Observe(latency float64) bool {
	e.samples++
	weight := max(averageWeight, 1/float64(e.samples))
	e.deviation += weight * (math.Abs(latency-e.mean) - e.deviation)
	e.mean += weight * (latency - e.mean)
	e.base += baseRiseWeight * (e.mean - e.base)
	e.base += min(0, baseFallWeight*(e.mean-e.base))
	if e.samples < baseSamples {
		e.base = e.mean
		return false
	}
	return true
}

// Mean returns the mean latency.
func (e *Estimator) Mean() float64 { return e.mean }

// Base returns the mean latency at the lowest load.
func (e *Estimator) Base() float64 { return e.base }

// IsSlow says that an answer with this latency is slow for the class.
func (e *Estimator) IsSlow(latency float64) bool { return latency > e.mean+slowDeviations*e.deviation }

// SlowThreshold returns the latency from which an answer is slow: most answers stay well under it.
func (e *Estimator) SlowThreshold() time.Duration {
	return time.Duration(e.mean + slowDeviations*e.deviation)
}

// TypicalMax returns the latency that an answer may usually take.
func (e *Estimator) TypicalMax() time.Duration {
	return time.Duration(e.mean + usualDeviations*e.deviation)
}

// Relative is how an endpoint's latency stands to the mean of the classes that it was sent.
type Relative struct {
	logRatio float64 // mean of the logarithms of the ratios; 0: as the mean
	samples  int
}

// Observe records the ratio of an answer's latency to the mean of its class.
func (r *Relative) Observe(ratio float64) {
	r.samples++
	weight := max(relativeWeight, 1/float64(r.samples+1))
	r.logRatio += weight * (math.Log(ratio) - r.logRatio)
}

// Speed returns how fast the endpoint is against the others: 1 as the mean, 2 twice as fast, up to a bound.
func (r *Relative) Speed() float64 { return math.Exp(-max(r.logRatio, minLogRatio)) }
