package clienttimeout

import (
	"fmt"
	"testing"
)

// The usual timeout is the majority's: few others don't replace it, and it is replaced once its votes are
// used up.
func TestUsualTimeoutIsTheMajoritys(t *testing.T) {
	var usual Estimator
	for i, c := range []struct {
		timeout float64
		isUsual bool
		value   float64
	}{
		{1000, true, 1000}, // the first is taken
		{1040, true, 1000}, // the same, within the tolerance
		{500, false, 1000}, // one vote against it
		{500, false, 1000}, // and another, which uses them up
		{500, true, 500},   // the next is taken
		{1000, false, 500},
	} {
		if got := usual.Observe(c.timeout); got != c.isUsual || usual.value != c.value {
			t.Errorf("vote %d: usual %v, the usual timeout is %v; want %v, %v", i, got, usual.value, c.isUsual, c.value)
		}
	}
	for range 2 * maxVotes {
		usual.Observe(500)
	}
	if usual.votes > maxVotes {
		t.Errorf("%d votes, at most %d are wanted", usual.votes, maxVotes)
	}
}

// After a reset the next timeout is the usual one, however many votes another had.
func TestResetDiscardsTheVotes(t *testing.T) {
	var usual Estimator
	for range maxVotes {
		usual.Observe(1000)
	}
	usual.Reset()
	if !usual.Observe(500) || usual.Observe(1000) {
		t.Errorf("after a reset and a vote for 500 the usual timeout is %v", usual.value)
	}
}

func Example() {
	var usual Estimator
	for _, timeout := range []float64{1500, 1490, 900, 1510} {
		fmt.Println(timeout, usual.Observe(timeout))
	}
	// Output:
	// 1500 true
	// 1490 true
	// 900 false
	// 1510 true
}
