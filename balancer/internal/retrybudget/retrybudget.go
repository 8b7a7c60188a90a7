// Package retrybudget limits retries to a small share of the traffic when many requests fail.
//
// The budget is a token bucket, as in gRPC's retry throttling (proposal A6) and Finagle's RetryBudget:
// successes fill it and each retry takes tokens from it. Without it, the retries of successive tiers would
// multiply.
package retrybudget

// Costs of a retry, by the load that the previous attempt can have put on an endpoint.
const (
	FullCost     = 1.0 // the attempt may have run
	NeverRanCost = 0.1 // the attempt did not run
	NotSentCost  = 0.0 // the attempt did not reach an endpoint
)

// Constants of the token bucket; one token pays for one retry at full cost.
const (
	tokensPerSuccess = 0.15 // deposited by each success
	maxTokens        = 10   // capacity of the bucket
)

// Budget is a token bucket that limits retries.
type Budget struct{ tokens float64 }

// New returns a budget that is half full.
func New() Budget { return Budget{tokens: maxTokens / 2} }

// Deposit adds the tokens of one success.
func (b *Budget) Deposit() { b.tokens = min(maxTokens, b.tokens+tokensPerSuccess) }

// CanWithdraw reports whether the budget has enough tokens for a retry of this cost.
func (b *Budget) CanWithdraw(cost float64) bool { return b.tokens >= cost }

// Withdraw removes the tokens of a retry.
func (b *Budget) Withdraw(cost float64) { b.tokens -= cost }
