package stats

import (
	"testing"
)

func TestQuantile(t *testing.T) {
	var values []float64
	for i := range 200 {
		values = append(values, float64(i+1))
	}
	for _, test := range []struct {
		name     string
		sorted   []float64
		fraction float64
		want     float64
	}{
		{"median", values, 0.5, 100},
		{"99th percentile", values, 0.99, 198},
		{"maximum", values, 1, 200},
		{"median of one value", values[:1], 0.5, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := Quantile(test.sorted, test.fraction); got != test.want {
				t.Errorf("Quantile() = %v, want %v", got, test.want)
			}
		})
	}
}
