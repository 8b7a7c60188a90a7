package outlier

import (
	"math"
	"time"
)

// Constants of the success rate.
const (
	classRateWeight       = 0.06 // weight of a new result in the failure rate of a class (about 16 results)
	failureWeight         = 0.15 // weight of a new result in an endpoint's failure rate for a class
	failureDecayLatencies = 36   // mean latencies in which a rate falls by a factor of e without new results
	minSuccessRatio       = 0.8  // ratio of success rates from which an endpoint is not an outlier
	eligibilityExponent   = 3.0  // below that ratio, the eligibility is ratio/minSuccessRatio to this power
)

// ClassRate is the failure rate of a class over all endpoints. Its address identifies the class in the
// failure rates of the endpoints.
type ClassRate struct{ share float64 }

// Share returns the share of attempts that fail.
func (c *ClassRate) Share() float64 { return c.share }

// ClassRates holds the rates that a result counts in: the rate of the request's class, and that of all
// classes.
type ClassRates [2]*ClassRate

// failureRate is a share of failed attempts. Its significance decays with its age.
type failureRate struct {
	share     float64
	updatedAt time.Duration
}

// decayed returns the rate after its decay until now. meanLatency is in nanoseconds.
func (f failureRate) decayed(now time.Duration, meanLatency float64) float64 {
	return f.share * math.Exp(-float64(now-f.updatedAt)/(failureDecayLatencies*meanLatency))
}

// failureRates holds the failure rates of an endpoint, for each class sent to it and for all classes
// together.
type failureRates map[*ClassRate]failureRate

// observe records whether an attempt at the endpoint failed.
func (f failureRates) observe(classes ClassRates, failed bool, now time.Duration, meanLatency float64) {
	result := 0.0
	if failed {
		result = 1
	}
	for _, class := range classes {
		share := f[class].decayed(now, meanLatency)
		f[class] = failureRate{share + failureWeight*(result-share), now}
		class.share += classRateWeight * (result - class.share)
	}
}

// eligibility returns the probability with which the endpoint may be sent a request of the class now, by its
// success rate relative to that of all endpoints. The other mechanisms miss such endpoints: one that fails
// fast, for some requests or one class only, has few attempts in flight and so attracts requests, while its
// successes end each run of failures; one that lets most attempts time out keeps its part of the concurrency
// limit. If all endpoints fail alike, none is an outlier, so this exclusion needs no cap. Its disadvantage is
// that it also excludes endpoints of which only a few chance failures are known.
func (f failureRates) eligibility(classes ClassRates, now time.Duration, meanLatency float64) float64 {
	if len(f) == 0 { // no results yet, as for most endpoints of a long list
		return 1
	}
	ratio := 1.0
	for _, class := range classes {
		ratio = min(ratio, (1-f[class].decayed(now, meanLatency))/(1-class.share))
	}
	if ratio < minSuccessRatio {
		return math.Pow(ratio/minSuccessRatio, eligibilityExponent)
	}
	return 1
}
