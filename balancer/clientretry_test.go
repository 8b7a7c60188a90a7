package balancer

import "testing"

// The usual timeout is the majority's: few others don't replace it, and it is replaced once its votes are
// used up.
func TestUsualTimeoutIsTheMajoritys(t *testing.T) {
	var u usualTimeout
	for i, c := range []struct {
		timeout float64
		usual   bool
		value   float64
	}{
		{1000, true, 1000}, // the first is taken
		{1040, true, 1000}, // the same, within the tolerance
		{500, false, 1000}, // one vote against it
		{500, false, 1000}, // and another, which uses them up
		{500, true, 500},   // the next is taken
		{1000, false, 500},
	} {
		if got := u.vote(c.timeout); got != c.usual || u.value != c.value {
			t.Errorf("vote %d: usual %v, the usual timeout is %v; want %v, %v", i, got, u.value, c.usual, c.value)
		}
	}
	for range 2 * maxTimeoutVotes {
		u.vote(500)
	}
	if u.votes > maxTimeoutVotes {
		t.Errorf("%d votes, at most %d are wanted", u.votes, maxTimeoutVotes)
	}
}
