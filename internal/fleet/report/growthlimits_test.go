package report

import (
	"errors"
	"math"
	"slices"
	"strings"
	"testing"
)

// usualFigures are round ones, to work out limits from.
func usualFigures() GrowthFigures {
	return GrowthFigures{
		Servers: 200, CPUSeconds: 1, PeakMemory: 10e6, Descriptors: 30, Connections: 100,
		ListBytes: 100e3, Served: 0.9,
	}
}

// The limits are those of the standing test, and a figure just at its limit is within.
func TestGrowthLimits(t *testing.T) {
	limits := map[string][2]float64{ // at 1,000 and at 3,200 servers
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
		for i, servers := range []int{1000, 3200} {
			want := limits[limit.what][i]
			for _, test := range []struct {
				share  float64 // of the limit
				within bool
			}{{0.999, !limit.least}, {1.001, limit.least}} {
				row := limit.row(usualFigures(), figuresAt(limit.what, test.share*want, servers))
				if math.Abs(row.Limit-want) > 1e-9*want || row.Within != test.within ||
					math.Abs(row.Large-test.share*want) > 1e-9*want {
					t.Errorf("%s at %d servers: %+v, want limit %v, within %v", limit.what, servers, row, want, test.within)
				}
			}
		}
	}
}

// figuresAt has one figure at a value, in the unit of its row.
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

// The error names each row that is over, and only those.
func TestGrowthReportTellsWhatIsOver(t *testing.T) {
	report := GrowthReport{Rows: []GrowthRow{{What: "a", Within: true}, {What: "b"}, {What: "c"}}}
	var over *OverLimitError
	if err := report.Err(); !errors.As(err, &over) || !slices.Equal(over.Rows, []string{"b", "c"}) {
		t.Errorf("error %v", err)
	}
	var table strings.Builder
	if err := report.Table(&table); err != nil || strings.Count(table.String(), "over\n") != 2 || strings.Count(table.String(), "within\n") != 1 {
		t.Errorf("%v: %s", err, table.String())
	}
	report.Rows = report.Rows[:1]
	if err := report.Err(); err != nil {
		t.Errorf("nothing is over: %v", err)
	}
}
