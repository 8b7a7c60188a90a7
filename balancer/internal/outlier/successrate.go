package outlier

import (
	"math"
	"time"
)

// Constants of the success rate.
const (
	classRateWeight = 0.06 // weight of a new result in the failure rate of a class (about 16 results)
	failureWeight   = 0.15 // weight of a new result in an endpoint's failure rate for a class
	failureDecay    = 36   // mean latencies in which a failure rate falls to a third without new results
	failureMargin   = 0.8  // ratio of success rates down to which an endpoint is no outlier
	failurePower    = 3.0  // power of that ratio, below the margin, that an endpoint is eligible with
)

// ClassRate is the share of the attempts of one class that fail, over all endpoints. Its address is the key
// of the endpoints' rates for the class.
type ClassRate struct{ share float64 }

// Share returns the share of attempts that fail.
func (c *ClassRate) Share() float64 { return c.share }

// ClassRates are the rates that a result counts for: that of the request's class, and that of all classes.
type ClassRates [2]*ClassRate

// failureRate is a share of attempts that failed. It is the less certain the longer ago it was observed.
type failureRate struct {
	share float64
	at    time.Duration
}

// after returns how much of the rate counts now, when answers take meanLatency nanoseconds.
func (f failureRate) after(now time.Duration, meanLatency float64) float64 {
	return f.share * math.Exp(-float64(now-f.at)/(failureDecay*meanLatency))
}

// failureRates are an endpoint's failure rates, for each class that was sent to it and for all together.
type failureRates map[*ClassRate]failureRate

// observe records that an attempt at the endpoint failed or did not.
func (f failureRates) observe(classes ClassRates, failed bool, now time.Duration, meanLatency float64) {
	result := 0.0
	if failed {
		result = 1
	}
	for _, class := range classes {
		share := f[class].after(now, meanLatency)
		f[class] = failureRate{share + failureWeight*(result-share), now}
		class.share += classRateWeight * (result - class.share)
	}
}

// eligibility returns the probability with which the endpoint may be sent a request of the class now, by its
// success rate against that of all endpoints. One that fails at once, in part or in one class only, has few
// requests in flight and wins the pick, and its successes end each run of failures; one that lets most
// attempts time out keeps its part of the concurrency limit. Where all fail alike none is an outlier, so this
// exclusion needs no cap. It hurts where a few failures by chance are all that is known.
func (f failureRates) eligibility(classes ClassRates, now time.Duration, meanLatency float64) float64 {
	if len(f) == 0 { // no result is known, as for most endpoints of a long list
		return 1
	}
	ratio := 1.0
	for _, class := range classes {
		ratio = min(ratio, (1-f[class].after(now, meanLatency))/(1-class.share))
	}
	if ratio < failureMargin {
		return math.Pow(ratio/failureMargin, failurePower)
	}
	return 1
}
