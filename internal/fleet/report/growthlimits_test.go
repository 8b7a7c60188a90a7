package report

import (
	"errors"
	"math"
	"slices"
	"strings"
	"testing"
)

// usualFigures returns round figures at the usual size, for which limits are easy to calculate.
func usualFigures() GrowthFigures {
	return GrowthFigures{
		Servers: 200, CPUSeconds: 1, PeakMemory: 10e6, Descriptors: 30, Connections: 100,
		ListBytes: 100e3, Served: 0.9,
	}
}

// The limits are those of the standing test.
func TestGrowthLimits(t *testing.T) {
	limits := map[string]struct{ at1000, at3200 float64 }{ // at 1000 and at 3200 servers at the large size
		"CPU seconds":                 {1.4 + 0.02 + 0.03, 1.4 + 0.02 + 0.096},
		"peak memory, MB":             {15 + 8 + 4, 15 + 8 + 12.8},
		"descriptors":                 {60 + 40, 60 + 40},
		"connections made to servers": {250 + 40, 250 + 40},
		"bytes of lists, KB":          {200 + 64 + 500, 200 + 64 + 1600},
		"share served":                {0.765, 0.765},
	}
	if len(growthLimits) != len(limits) {
		t.Errorf("%d rows, want %d", len(growthLimits), len(limits))
	}
	for _, limit := range growthLimits {
		t.Run(limit.what, func(t *testing.T) {
			want := limits[limit.what]
			checkLimit(t, limit, 1000, want.at1000)
			checkLimit(t, limit, 3200, want.at3200)
		})
	}
}

// checkLimit checks the value of a limit at a number of servers, and the verdicts on a figure just under it and on one
// just over it.
func checkLimit(t *testing.T, limit growthLimit, servers int, want float64) {
	t.Helper()
	for _, test := range []struct {
		share  float64 // figure as a fraction of the limit
		within bool
	}{{0.999, !limit.isMinimum}, {1.001, limit.isMinimum}} {
		figure := test.share * want
		row := limit.row(usualFigures(), figuresAt(limit.what, figure, servers))
		if math.Abs(row.Limit-want) > 1e-9*want || row.Within != test.within || math.Abs(row.Large-figure) > 1e-9*want {
			t.Errorf("at %d servers: %+v, want limit %v, within %v", servers, row, want, test.within)
		}
	}
}

// figuresAt returns figures of which one has a value, given in the unit of its row.
func figuresAt(what string, value float64, servers int) GrowthFigures {
	f := GrowthFigures{Servers: servers}
	*map[string]*float64{
		"CPU seconds": &f.CPUSeconds, "peak memory, MB": &f.PeakMemory, "descriptors": &f.Descriptors,
		"connections made to servers": &f.Connections, "bytes of lists, KB": &f.ListBytes, "share served": &f.Served,
	}[what] = value
	switch what {
	case "peak memory, MB":
		f.PeakMemory *= 1e6
	case "bytes of lists, KB":
		f.ListBytes *= 1e3
	}
	return f
}

// The error names exactly the rows that are over their limit.
func TestGrowthReportNamesRowsOverLimit(t *testing.T) {
	within := GrowthReport{Rows: []GrowthRow{{What: "a", Within: true}}}
	if err := within.Err(); err != nil {
		t.Errorf("Err() = %v with all rows within their limits, want nil", err)
	}
	both := GrowthReport{Rows: []GrowthRow{{What: "a", Within: true}, {What: "b"}, {What: "c"}}}
	var over *OverLimitError
	if err := both.Err(); !errors.As(err, &over) || !slices.Equal(over.Rows, []string{"b", "c"}) {
		t.Errorf("Err() = %v, want an OverLimitError with the rows b and c", err)
	}
	var table strings.Builder
	if err := both.Table(&table); err != nil {
		t.Fatal(err)
	}
	text := table.String()
	if strings.Count(text, "over\n") != 2 || strings.Count(text, "within\n") != 1 {
		t.Errorf("table %s, want two rows over and one within", text)
	}
}
