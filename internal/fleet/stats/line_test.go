package stats

import (
	"math"
	"testing"
)

func TestFit(t *testing.T) {
	for _, test := range []struct {
		name string
		x, y []float64
		want Line
	}{
		{
			"points on a line",
			[]float64{10, 100, 300, 1100},
			[]float64{5 + 2.5, 5 + 25, 5 + 75, 5 + 275},
			Line{Slope: 0.25, Intercept: 5, R2: 1},
		},
		{"level", []float64{1, 2, 3}, []float64{4, 4, 4}, Line{Slope: 0, Intercept: 4, R2: 1}},
		{"no trend", []float64{0, 1, 2}, []float64{0, 1, 0}, Line{Slope: 0, Intercept: 1.0 / 3, R2: 0}},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, err := Fit(test.x, test.y)
			if err != nil {
				t.Fatal(err)
			}
			if math.Abs(got.Slope-test.want.Slope) > 1e-12 || math.Abs(got.Intercept-test.want.Intercept) > 1e-9 ||
				math.Abs(got.R2-test.want.R2) > 1e-12 {
				t.Errorf("Fit() = %+v, want %+v", got, test.want)
			}
		})
	}
}

func TestFitRejectsBadPoints(t *testing.T) {
	for _, test := range []struct {
		name string
		x, y []float64
	}{
		{"one point", []float64{1}, []float64{1}},
		{"the same x twice", []float64{1, 1}, []float64{1, 2}},
		{"an x without a y", []float64{1, 2}, []float64{1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if line, err := Fit(test.x, test.y); err == nil {
				t.Errorf("Fit() = %+v, want an error", line)
			}
		})
	}
}
