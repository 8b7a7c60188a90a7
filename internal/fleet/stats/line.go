package stats

import (
	"fmt"
)

// Line is the fit y = Intercept + Slope*x by ordinary least squares. R2 is its coefficient of determination.
type Line struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"base"`
	R2        float64 `json:"r2"`
}

// Fit fits a line to points. At least two of them must differ in x.
func Fit(x, y []float64) (Line, error) {
	if len(x) != len(y) || len(x) < 2 {
		return Line{}, fmt.Errorf("fit: got %d x and %d y values, want as many of both and at least 2", len(x), len(y))
	}
	var meanX, meanY, sxx, sxy, syy float64
	for i := range x {
		meanX += x[i] / float64(len(x))
		meanY += y[i] / float64(len(x))
	}
	for i := range x {
		sxx += (x[i] - meanX) * (x[i] - meanX)
		sxy += (x[i] - meanX) * (y[i] - meanY)
		syy += (y[i] - meanY) * (y[i] - meanY)
	}
	if sxx == 0 {
		return Line{}, fmt.Errorf("fit: all x values are %v, want at least two different ones", x[0])
	}
	line := Line{Slope: sxy / sxx, R2: 1}
	line.Intercept = meanY - line.Slope*meanX
	if syy > 0 {
		line.R2 = sxy * sxy / sxx / syy
	}
	return line, nil
}
