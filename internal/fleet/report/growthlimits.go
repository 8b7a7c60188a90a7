package report

// growthLimit is the limit of a figure at the large size: factor times the figure at the usual size, plus base, plus
// perThousand for each thousand servers.
type growthLimit struct {
	what                      string
	unit                      float64 // divisor of the figure in the row
	factor, base, perThousand float64
	isMinimum                 bool // the limit is a lower bound
	figure                    func(GrowthFigures) float64
}

// Units of the rows.
const (
	kilobyte = 1e3
	megabyte = 1e6
)

// growthLimits are the limits of the operators' standing test (README.md), from the section "More than these days" of
// its terms.
var growthLimits = []growthLimit{
	{
		what: "CPU seconds", unit: 1, factor: 1.4, base: 0.02, perThousand: 0.03,
		figure: func(f GrowthFigures) float64 { return f.CPUSeconds },
	},
	{
		what: "peak memory, MB", unit: megabyte, factor: 1.5, base: 8, perThousand: 4,
		figure: func(f GrowthFigures) float64 { return f.PeakMemory },
	},
	{
		what: "descriptors", unit: 1, factor: 2, base: 40,
		figure: func(f GrowthFigures) float64 { return f.Descriptors },
	},
	{
		what: "connections made to servers", unit: 1, factor: 2.5, base: 40,
		figure: func(f GrowthFigures) float64 { return f.Connections },
	},
	{
		what: "bytes of lists, KB", unit: kilobyte, factor: 2, base: 64, perThousand: 500,
		figure: func(f GrowthFigures) float64 { return f.ListBytes },
	},
	{
		what: "share served", unit: 1, factor: 0.85, isMinimum: true,
		figure: func(f GrowthFigures) float64 { return f.Served },
	},
}

// GrowthRows compares the figures of both sizes with all limits, one row for each.
func GrowthRows(usual, large GrowthFigures) (rows []GrowthRow) {
	for _, limit := range growthLimits {
		rows = append(rows, limit.row(usual, large))
	}
	return rows
}

// GrowthRow compares a figure at both sizes with its limit.
type GrowthRow struct {
	What   string  `json:"what"`
	Usual  float64 `json:"usual"`
	Large  float64 `json:"large"`
	Limit  float64 `json:"limit"`
	Within bool    `json:"within"`
}

// row compares a figure with its limit.
func (l growthLimit) row(usual, large GrowthFigures) GrowthRow {
	result := GrowthRow{What: l.what, Usual: l.figure(usual) / l.unit, Large: l.figure(large) / l.unit}
	result.Limit = l.factor*result.Usual + l.base + l.perThousand*float64(large.Servers)/1000
	if l.isMinimum {
		result.Within = result.Large >= result.Limit
	} else {
		result.Within = result.Large <= result.Limit
	}
	return result
}
