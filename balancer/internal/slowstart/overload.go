// The limit on the requests that an endpoint in slow start can serve in a window, and the mean arrival rate
// that hardly ever exceeds it.

package slowstart

import "math"

// Constants of the limit.
const (
	overloadExponent  = 9.0 // P(arrivals in a window exceed the limit) <= exp(-overloadExponent)
	narrowMarginCount = 30  // requests allowed in a window from which the margin above them is narrower
	newtonIterations  = 8   // iterations that solve for the mean
)

// overloadLimit returns how many requests of mean work an endpoint can serve in a window without being
// overloaded. n is the estimated number that the settings allow in it. The endpoint is overloaded by more
// than n + 2*sqrt(n) + 2 requests or, if n is below 30, by more than n + 3*sqrt(n) + 3 requests. This bound
// drops at 30, from 49 to 43, and the estimate may be slightly low. So just below 30 the limit is capped at
// its value at 30, and it never falls as n grows.
func overloadLimit(n float64) float64 {
	clamped := max(n, narrowMarginCount)
	return min(n+3*math.Sqrt(n)+3, clamped+2*math.Sqrt(clamped)+2)
}

// safeMean returns how many requests of mean work may arrive per window on average so that hardly any window
// exceeds the limit. A count with mean m exceeds l with a probability of at most exp(l - m - l*log(l/m))
// (Chernoff bound). Newton's method solves this for m from below, so the result is safe at every iteration.
func safeMean(limit float64) (mean float64) {
	for range newtonIterations {
		bound := limit * math.Exp((mean-overloadExponent)/limit-1)
		mean += (bound - mean) / (1 - bound/limit)
	}
	return mean
}
