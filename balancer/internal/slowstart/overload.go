// The bound on requests in a window that an endpoint in slow start can serve, and the mean rate that hardly
// ever exceeds it.

package slowstart

import "math"

// Constants of the bound.
const (
	overloadRarity   = 9.0 // exponent of the probability that the arrivals of a window exceed the bound
	smallWindowCount = 30  // requests in a window from which the margin over what is allowed is smaller
	newtonSteps      = 8   // that solve for the mean
)

// overloadLimit returns how many requests of mean work an endpoint can serve in a window without being
// overloaded, by an estimate n of what the settings allow it then. It is overloaded by more than n + 2 x root
// of n + 2, and under 30 by more than n + 3 x root of n + 3. That rule steps down at 30, from 49 to 43, and
// the estimate may be a little low: one just under 30 gets no more than the limit at 30, so that the limit
// never falls as n grows.
func overloadLimit(n float64) float64 {
	wide := max(n, smallWindowCount)
	return min(n+3*math.Sqrt(n)+3, wide+2*math.Sqrt(wide)+2)
}

// safeMean returns how many requests of mean work may arrive in a window on average for hardly any window to
// exceed the limit. A count with the mean m exceeds l with a probability of at most exp(l - m - l x log(l/m))
// (Chernoff's bound), which is solved for m by Newton's method: from below, so it is safe wherever it ends.
func safeMean(limit float64) (mean float64) {
	for range newtonSteps {
		bound := limit * math.Exp((mean-overloadRarity)/limit-1)
		mean += (bound - mean) / (1 - bound/limit)
	}
	return mean
}
