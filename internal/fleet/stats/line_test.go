package stats

import (
	"math"
	"testing"
)

func TestFit(t *testing.T) {
	x := []float64{10, 100, 300, 1100}
	var y []float64
	for _, v := range x {
		y = append(y, 5+0.25*v)
	}
	l, err := Fit(x, y)
	if err != nil || math.Abs(l.Slope-0.25) > 1e-12 || math.Abs(l.Base-5) > 1e-9 || math.Abs(l.R2-1) > 1e-12 {
		t.Errorf("%+v, %v", l, err)
	}
	if l, err = Fit([]float64{1, 2, 3}, []float64{4, 4, 4}); err != nil || l.Slope != 0 || l.Base != 4 {
		t.Errorf("level: %+v, %v", l, err)
	}
	if l, err = Fit([]float64{0, 1, 2}, []float64{0, 1, 0}); err != nil || l.Slope != 0 || l.R2 != 0 {
		t.Errorf("no trend: %+v, %v", l, err)
	}
	for _, bad := range [][2][]float64{{{1}, {1}}, {{1, 1}, {1, 2}}, {{1, 2}, {1}}} {
		if l, err := Fit(bad[0], bad[1]); err == nil {
			t.Errorf("%v: %+v", bad, l)
		}
	}
}
