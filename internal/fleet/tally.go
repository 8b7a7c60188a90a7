package fleet

// Tally counts calls and their answers.
type Tally struct {
	Offered  int64 `json:"offered"`
	Served   int64 `json:"served"`
	Rejected int64 `json:"refused"`
	Failed   int64 `json:"failed"`
}

// Answered returns how many calls were answered, in whatever way.
func (t Tally) Answered() int64 { return t.Served + t.Rejected + t.Failed }

// add adds the counts of another tally.
func (t *Tally) add(u Tally) {
	t.Offered += u.Offered
	t.Served += u.Served
	t.Rejected += u.Rejected
	t.Failed += u.Failed
}
