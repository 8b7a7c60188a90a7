package retrybudget

import (
	"fmt"
	"testing"
)

func TestBudgetIsBoundedOnBothSides(t *testing.T) {
	for _, c := range []struct {
		name      string
		successes int
		spent     float64 // cost withdrawn before the successes
		allows    float64
		refuses   float64
	}{
		{"a new budget is half full", 0, 0, maxTokens / 2, maxTokens/2 + 0.01},
		{"an empty budget allows only free retries", 0, maxTokens / 2, NotSentCost, NeverRanCost},
		{"one success allows a retry of an attempt that did not run", 1, maxTokens / 2, NeverRanCost, FullCost},
		{"seven successes allow a retry at full cost", 7, maxTokens / 2, FullCost, 2 * FullCost},
		{"the capacity limits the budget", 1000, 0, maxTokens, maxTokens + 0.01},
	} {
		t.Run(c.name, func(t *testing.T) {
			budget := New()
			budget.Withdraw(c.spent)
			for range c.successes {
				budget.Deposit()
			}
			if !budget.CanWithdraw(c.allows) {
				t.Errorf("a budget of %v tokens refuses a cost of %v, want it to be allowed", budget.tokens, c.allows)
			}
			if budget.CanWithdraw(c.refuses) {
				t.Errorf("a budget of %v tokens allows a cost of %v, want it to be refused", budget.tokens, c.refuses)
			}
		})
	}
}

func Example() {
	budget := New()
	retries := 0
	for range 100 { // failures only
		if budget.CanWithdraw(FullCost) {
			budget.Withdraw(FullCost)
			retries++
		}
	}
	fmt.Println(retries, "retries")
	// Output: 5 retries
}
