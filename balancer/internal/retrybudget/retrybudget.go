// Package retrybudget bounds retries to a small share of the traffic when much fails.
//
// The budget is a token bucket, as in gRPC's retry throttling (proposal A6) and Finagle's RetryBudget:
// successes fill it and each retry takes from it. Without it the retries of every tier multiply.
package retrybudget

// Costs of a retry, by what the attempt before it can have asked of an endpoint.
const (
	FullCost     = 1.0 // the attempt may have run
	NeverRanCost = 0.1 // it proved not to have run
	NotSentCost  = 0.0 // it never reached an endpoint
)

// Constants of the budget, counted in retries.
const (
	tokensPerSuccess = 0.15 // earned by a success
	maxTokens        = 10   // most that can be saved up
)

// Budget is the token bucket that retries are paid from.
type Budget struct{ tokens float64 }

// New returns a budget that is half full.
func New() Budget { return Budget{tokens: maxTokens / 2} }

// Deposit adds what a success earns.
func (b *Budget) Deposit() { b.tokens = min(maxTokens, b.tokens+tokensPerSuccess) }

// CanWithdraw says whether a retry of this cost can be paid.
func (b *Budget) CanWithdraw(cost float64) bool { return b.tokens >= cost }

// Withdraw pays for a retry.
func (b *Budget) Withdraw(cost float64) { b.tokens -= cost }
