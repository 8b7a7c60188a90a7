package stats

// Tally counts calls by outcome.
type Tally struct {
	Offered  int64 `json:"offered"`
	Served   int64 `json:"served"`
	Rejected int64 `json:"refused"`
	Failed   int64 `json:"failed"`
}

// Answered returns how many calls were answered, whatever their outcome.
func (t Tally) Answered() int64 { return t.Served + t.Rejected + t.Failed }

// Plus returns the sum of two tallies.
func (t Tally) Plus(u Tally) Tally {
	return Tally{
		Offered: t.Offered + u.Offered, Served: t.Served + u.Served,
		Rejected: t.Rejected + u.Rejected, Failed: t.Failed + u.Failed,
	}
}
