package stats

import (
	"fmt"
)

// Line is a fit y = Base + Slope x by ordinary least squares. R2 is its coefficient of determination.
type Line struct {
	Slope float64 `json:"slope"`
	Base  float64 `json:"base"`
	R2    float64 `json:"r2"`
}

// Fit fits a line to points with at least two different x.
func Fit(x, y []float64) (Line, error) {
	if len(x) != len(y) || len(x) < 2 {
		return Line{}, fmt.Errorf("fit: %d x and %d y", len(x), len(y))
	}
	var mx, my, sxx, sxy, syy float64
	for i := range x {
		mx += x[i] / float64(len(x))
		my += y[i] / float64(len(x))
	}
	for i := range x {
		sxx += (x[i] - mx) * (x[i] - mx)
		sxy += (x[i] - mx) * (y[i] - my)
		syy += (y[i] - my) * (y[i] - my)
	}
	if sxx == 0 {
		return Line{}, fmt.Errorf("fit: all x are %v", x[0])
	}
	l := Line{Slope: sxy / sxx, R2: 1}
	l.Base = my - l.Slope*mx
	if syy > 0 {
		l.R2 = sxy * sxy / sxx / syy
	}
	return l, nil
}
