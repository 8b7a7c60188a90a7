package report

// growthLimit says how far a figure may grow. The limit at the large size is factor times the figure at the
// usual size, plus base, plus perThousand for each thousand servers.
type growthLimit struct {
	what                      string
	unit                      float64 // what the row is counted in
	factor, base, perThousand float64
	isMinimum                 bool // the figure must not fall under the limit
	figure                    func(GrowthFigures) float64
}

// Units of the rows.
const (
	kilobyte = 1e3
	megabyte = 1e6
)

// growthLimits are the rows of the standing test, section "More than these days".
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

// GrowthRows compares the figures of both sizes with all limits.
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
	r := GrowthRow{What: l.what, Usual: l.figure(usual) / l.unit, Large: l.figure(large) / l.unit}
	r.Limit = l.factor*r.Usual + l.base + l.perThousand*float64(large.Servers)/1000
	if l.isMinimum {
		r.Within = r.Large >= r.Limit
	} else {
		r.Within = r.Large <= r.Limit
	}
	return r
}
