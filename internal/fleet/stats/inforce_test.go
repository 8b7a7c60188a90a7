package stats

import (
	"testing"
)

func TestQuantile(t *testing.T) {
	var hundreds []float64
	for i := range 200 {
		hundreds = append(hundreds, float64(i+1))
	}
	for _, test := range []struct {
		name   string
		sorted []float64
		share  float64
		want   float64
	}{
		{"median", hundreds, 0.5, 100},
		{"99 in 100", hundreds, 0.99, 198},
		{"maximum", hundreds, 1, 200},
		{"median of one", hundreds[:1], 0.5, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := Quantile(test.sorted, test.share); got != test.want {
				t.Errorf("%v, want %v", got, test.want)
			}
		})
	}
}
