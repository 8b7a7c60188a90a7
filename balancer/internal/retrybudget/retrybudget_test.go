package retrybudget

import (
	"fmt"
	"testing"
)

func TestBudgetIsBoundedOnBothSides(t *testing.T) {
	for _, c := range []struct {
		name      string
		successes int
		spent     float64 // in retries of full cost, before the successes
		affords   float64
		refuses   float64
	}{
		{"a new budget pays for half of the most", 0, 0, maxTokens / 2, maxTokens/2 + 0.01},
		{"an empty budget pays for no retry", 0, maxTokens / 2, NotSentCost, NeverRanCost},
		{"one success pays for a retry of what never ran", 1, maxTokens / 2, NeverRanCost, FullCost},
		{"seven successes pay for a full retry", 7, maxTokens / 2, FullCost, 2 * FullCost},
		{"savings are bounded", 1000, 0, maxTokens, maxTokens + 0.01},
	} {
		t.Run(c.name, func(t *testing.T) {
			budget := New()
			budget.Withdraw(c.spent)
			for range c.successes {
				budget.Deposit()
			}
			if !budget.CanWithdraw(c.affords) {
				t.Errorf("%v tokens do not pay for %v", budget.tokens, c.affords)
			}
			if budget.CanWithdraw(c.refuses) {
				t.Errorf("%v tokens pay for %v", budget.tokens, c.refuses)
			}
		})
	}
}

func Example() {
	budget := New()
	retries := 0
	for range 100 { // failures without a single success
		if budget.CanWithdraw(FullCost) {
			budget.Withdraw(FullCost)
			retries++
		}
	}
	fmt.Println(retries, "retries")
	// Output: 5 retries
}
