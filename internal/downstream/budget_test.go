package downstream

import "testing"

// Downstream connections may use the descriptors that upstream ones leave, but at least half of them. Upstream
// connections may use all that downstream ones leave.
func TestDescriptorBudgetDividesTheCapacity(t *testing.T) {
	limits := Limits{Descriptors: 100, UpstreamReserve: 20, RejectReserve: 10}
	for _, row := range []struct {
		name                     string
		downstream, upstream     int // connections
		evicting                 int
		excess                   int
		underPressure, exhausted bool
		upstreamAllowance        int
	}{
		{"no connection", 0, 0, 0, -80, false, false, 110},
		{"at the limit", 80, 0, 0, 0, false, false, 30},
		{"one beyond", 81, 0, 0, 1, false, false, 29},
		{"one beyond, which is being evicted", 81, 0, 1, 0, false, false, 29},
		{"half of the reserve for rejections", 85, 20, 0, 5, false, false, 25},
		{"more than half of the reserve for rejections", 86, 20, 0, 6, true, false, 24},
		{"one descriptor is left beside the upstream reserve", 89, 0, 0, 9, true, false, 21},
		{"none is left beside the upstream reserve", 90, 0, 0, 10, true, true, 20},
		{"none is left, though all are being evicted", 90, 0, 90, -80, false, true, 20},
		{"more upstream connections than the reserve", 71, 30, 0, 1, false, false, 39},
		{"none is left beside upstream connections", 80, 30, 0, 10, true, true, 30},
		{"half is left to downstream connections", 50, 70, 0, 0, false, true, 60},
	} {
		t.Run(row.name, func(t *testing.T) {
			b := descriptorBudget{limits: limits, evicting: row.evicting}
			excess := b.excess(row.downstream, row.upstream)
			if excess != row.excess || b.isUnderPressure(excess) != row.underPressure {
				t.Errorf("excess %d, under pressure: %v; want %d, %v",
					excess, b.isUnderPressure(excess), row.excess, row.underPressure)
			}
			if got := b.isExhausted(row.downstream, row.upstream); got != row.exhausted {
				t.Errorf("exhausted: %v, want %v", got, row.exhausted)
			}
			if got := b.upstreamAllowance(row.downstream); got != row.upstreamAllowance {
				t.Errorf("allowance for upstream connections: %d, want %d", got, row.upstreamAllowance)
			}
		})
	}
}

// Where memory allows fewer connections than the descriptors, its limit applies, and the reserve for rejections is
// beyond it. Without it, idle connections take the memory of all requests.
func TestMemoryLimitsConnections(t *testing.T) {
	limits := Limits{Descriptors: 100, UpstreamReserve: 20, RejectReserve: 10, MaxConns: 40}
	for _, row := range []struct {
		downstream, upstream, evicting int
		excess                         int
		exhausted                      bool
	}{
		{40, 0, 0, 0, false},
		{41, 0, 0, 1, false},
		{49, 0, 3, 6, false},
		{50, 0, 0, 10, true},
		{40, 70, 0, 0, true}, // by the descriptors
	} {
		b := descriptorBudget{limits: limits, evicting: row.evicting}
		excess, exhausted := b.excess(row.downstream, row.upstream), b.isExhausted(row.downstream, row.upstream)
		if excess != row.excess || exhausted != row.exhausted {
			t.Errorf("%+v: got excess %d, exhausted %v", row, excess, exhausted)
		}
	}
}

// A request is admitted while the open requests, including itself, hold at most half of the descriptors.
func TestDescriptorBudgetAdmitsRequests(t *testing.T) {
	for _, row := range []struct {
		name                string
		descriptors, active int
		want                bool
	}{
		{"the only request", 10, 1, true},
		{"half of the descriptors", 10, 5, true},
		{"more than half", 10, 6, false},
		{"half of an odd number, rounded down", 11, 5, true},
		{"more than half of an odd number", 11, 6, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			b := descriptorBudget{limits: Limits{Descriptors: row.descriptors}, active: row.active}
			if got := b.admitsRequest(); got != row.want {
				t.Errorf("admitted: %v, want %v", got, row.want)
			}
		})
	}
}

// Open requests and evictions are counted once, from the change that starts them to the one that ends them.
func TestDescriptorBudgetCountsActivities(t *testing.T) {
	idle, active := activity{phase: PhaseIdle}, activity{phase: PhaseActive}
	beingEvicted := idle.markedEvicting()
	for _, row := range []struct {
		name             string
		before, after    activity
		active, evicting int // the changes of the counts
	}{
		{"a request is opened", idle, active, 1, 0},
		{"still open", active, active, 0, 0},
		{"answered", active, idle, -1, 0},
		{"evicted", idle, beingEvicted, 0, 1},
		{"closed after the eviction", beingEvicted, activity{phase: PhaseLingering}, 0, -1},
		{"a request arrives despite the eviction", beingEvicted, active, 1, -1},
	} {
		t.Run(row.name, func(t *testing.T) {
			const base = 3
			b := descriptorBudget{active: base, evicting: base}
			b.countActivityChange(row.before, row.after)
			if active, evicting := b.active-base, b.evicting-base; active != row.active || evicting != row.evicting {
				t.Errorf("active changed by %d, evicting by %d; want %d, %d",
					active, evicting, row.active, row.evicting)
			}
		})
	}
}
