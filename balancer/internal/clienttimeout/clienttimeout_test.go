package clienttimeout

import (
	"fmt"
	"testing"
)

// The usual timeout is that of the majority: it stays while others are few, and is replaced once its votes
// are used up.
func TestMajorityDecidesTheUsualTimeout(t *testing.T) {
	var estimator Estimator
	for i, c := range []struct {
		timeout float64
		isUsual bool
		value   float64
	}{
		{1000, true, 1000}, // the first is adopted
		{1040, true, 1000}, // equal within the tolerance
		{500, false, 1000}, // one vote against
		{500, false, 1000}, // another vote against, which uses up the votes
		{500, true, 500},   // the next is adopted
		{1000, false, 500},
	} {
		if got := estimator.Observe(c.timeout); got != c.isUsual || estimator.value != c.value {
			t.Errorf("timeout %d: got usual %v and a usual timeout of %v, want %v and %v", i, got,
				estimator.value, c.isUsual, c.value)
		}
	}
	for range 2 * maxVotes {
		estimator.Observe(500)
	}
	if estimator.votes > maxVotes {
		t.Errorf("got %d votes, want at most %d", estimator.votes, maxVotes)
	}
}

// After a reset the next timeout becomes the usual one, however many votes the previous one had.
func TestResetDiscardsTheVotes(t *testing.T) {
	var estimator Estimator
	for range maxVotes {
		estimator.Observe(1000)
	}
	estimator.Reset()
	if !estimator.Observe(500) || estimator.Observe(1000) {
		t.Errorf("usual timeout after a reset and a vote for 500: got %v, want 500", estimator.value)
	}
}

func Example() {
	var estimator Estimator
	for _, timeout := range []float64{1500, 1490, 900, 1510} {
		fmt.Println(timeout, estimator.Observe(timeout))
	}
	// Output:
	// 1500 true
	// 1490 true
	// 900 false
	// 1510 true
}
