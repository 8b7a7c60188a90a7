package stats

import (
	"testing"
)

func TestAtShare(t *testing.T) {
	var v []float64
	for i := range 200 {
		v = append(v, float64(i+1))
	}
	for share, want := range map[float64]float64{0.5: 100, 0.99: 198, 1: 200} {
		if got := Quantile(v, share); got != want {
			t.Errorf("%v: %v, want %v", share, got, want)
		}
	}
	if got := Quantile(v[:1], 0.5); got != 1 {
		t.Errorf("of one: %v", got)
	}
}
