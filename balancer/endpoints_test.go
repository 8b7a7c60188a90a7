package balancer

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// listReference builds groups and subsets from scratch for each list, in the plain way: sort all ready
// servers, divide them in two, take the own zone's servers and then the others', each from the node's
// position on.
type listReference struct {
	listed map[string]Endpoint
}

func (l *listReference) apply(e EndpointUpdate) {
	if e.Complete {
		clear(l.listed)
	}
	for _, s := range e.Endpoints {
		if l.listed[s.ID] = s; s.State == Removed {
			delete(l.listed, s.ID)
		}
	}
}

func (l *listReference) ready() (ready []Endpoint) {
	for s := range maps.Values(l.listed) {
		if s.State == Ready {
			ready = append(ready, s)
		}
	}
	slices.SortFunc(ready, func(s, o Endpoint) int { return cmp.Compare(s.ID, o.ID) })
	return ready
}

// groups are the ready servers' ids cut in two, and the pools of a node whose pool is so wide.
func (l *listReference) groups(set Settings, width int) (groups, pools [2][]string) {
	ready := l.ready()
	cut := int(math.Ceil(leftShare * float64(len(ready))))
	for i, group := range [][]Endpoint{ready[:cut], ready[cut:]} {
		for _, s := range group {
			groups[i] = append(groups[i], s.ID)
		}
		size := int(math.Ceil(float64(width) * float64(len(group)) / max(float64(len(ready)), 1)))
		pool := slices.Concat(l.rotated(set, group, true), l.rotated(set, group, false))
		pools[i] = pool[:min(size, len(group))]
	}
	return groups, pools
}

func (l *listReference) rotated(set Settings, group []Endpoint, own bool) []string {
	var ids []string
	for _, s := range group {
		if (s.Zone == set.Zone) == own {
			ids = append(ids, s.ID)
		}
	}
	start := set.ReplicaIndex * max(1, set.ZoneCount) * len(ids) / max(1, set.Replicas) % max(1, len(ids))
	return slices.Concat(ids[start:], ids[:start])
}

func serverIDs(servers []*endpoint) (ids []string) {
	for _, s := range servers {
		ids = append(ids, s.ID)
	}
	return ids
}

// randomListRun plays random steps at a balancer and compares it with the reference.
type randomListRun struct {
	*testing.T
	rng     *rand.Rand
	b       *Balancer
	ref     listReference
	now     time.Duration
	ids     int
	open    []Send
	history []string
}

func (r *randomListRun) randomServer() Endpoint {
	if len(r.ref.listed) > 0 && r.rng.IntN(4) > 0 {
		known := slices.Sorted(maps.Keys(r.ref.listed))
		return r.ref.listed[known[r.rng.IntN(len(known))]]
	}
	return Endpoint{
		ID: fmt.Sprintf("s%02d", r.rng.IntN(60)), Zone: fmt.Sprint("z", r.rng.IntN(3)), Capacity: 1,
		StartedAt: time.Duration(r.rng.IntN(2)) * r.now,
	}
}

// randomEntry changes a server in one way, or leaves it as it is.
func (r *randomListRun) randomEntry() Endpoint {
	s := r.randomServer()
	switch r.rng.IntN(8) {
	case 0, 1:
		s.State = Removed
	case 2:
		s.State = Draining
	case 3:
		s.State = Ready
	case 4:
		s.StartedAt = r.now - time.Duration(r.rng.IntN(3))*time.Second
	case 5:
		s.Zone = fmt.Sprint("z", r.rng.IntN(3))
	case 6:
		s.Capacity, s.Cell = r.rng.Float64(), r.rng.IntN(3)
	}
	return s
}

// randomList is a change of few entries, some of which name a server twice, or a complete list in any order.
func (r *randomListRun) randomList() EndpointUpdate {
	list := EndpointUpdate{Complete: r.rng.IntN(12) == 0}
	if list.Complete {
		for _, s := range r.ref.listed {
			if r.rng.IntN(8) > 0 {
				list.Endpoints = append(list.Endpoints, s)
			}
		}
		slices.SortFunc(list.Endpoints, func(s, o Endpoint) int { return cmp.Compare(s.ID, o.ID) })
		r.rng.Shuffle(len(list.Endpoints), func(i, j int) {
			list.Endpoints[i], list.Endpoints[j] = list.Endpoints[j], list.Endpoints[i]
		})
	}
	for range 1 + r.rng.IntN(3) {
		list.Endpoints = append(list.Endpoints, r.randomEntry())
	}
	if r.rng.IntN(4) == 0 {
		again := list.Endpoints[r.rng.IntN(len(list.Endpoints))]
		again.State = EndpointState(r.rng.IntN(3))
		list.Endpoints = append(list.Endpoints, again)
	}
	return list
}

func (r *randomListRun) randomSettings() Settings {
	set := r.b.settings
	switch r.rng.IntN(3) {
	case 0:
		set.Zone = fmt.Sprint("z", r.rng.IntN(4)) // one of them has no server
	case 1:
		set.ReplicaIndex = r.rng.IntN(100)
	case 2:
		set.Replicas, set.ZoneCount = r.rng.IntN(30), r.rng.IntN(4)
	}
	return set
}

// step plays one event.
func (r *randomListRun) step() {
	r.now += time.Duration(r.rng.IntN(300)) * msec
	var e Event
	switch n := r.rng.IntN(10); {
	case n < 5:
		list := r.randomList()
		r.ref.apply(list)
		e = list
	case n < 6:
		e = Reconfigure{r.randomSettings()}
	case n < 8 || len(r.open) == 0:
		r.ids++
		e = Request{ID: fmt.Sprint(r.ids), Class: "get", Deadline: r.now + time.Second}
	default:
		i := r.rng.IntN(len(r.open))
		e = AttemptEnded{ID: r.open[i].ID, Endpoint: r.open[i].Endpoint, Result: Success, Answered: true}
		r.open = slices.Delete(r.open, i, i+1)
	}
	r.history = append(r.history, fmt.Sprintf("%v %+v", r.now, e))
	r.open = append(r.open, sends(r.b.Handle(r.now, e))...)
}

func (r *randomListRun) check() {
	want, pools := r.ref.groups(r.b.settings, r.b.subset.size)
	r.same("left group", serverIDs(r.b.subset.all.left), want[0])
	r.same("right group", serverIDs(r.b.subset.all.right), want[1])
	if r.b.subset.size > 0 { // else the next request builds the subset anew
		r.same("left pool", serverIDs(r.b.subset.own.left), pools[0])
		r.same("right pool", serverIDs(r.b.subset.own.right), pools[1])
		var marked []string
		for _, s := range r.b.ready.all {
			if s.inSubset {
				marked = append(marked, s.ID)
			}
		}
		r.same("marked as pooled", marked, slices.Sorted(slices.Values(slices.Concat(pools[0], pools[1]))))
	}
	known, cold := slices.Collect(maps.Keys(r.ref.listed)), false
	for id, s := range r.b.endpoints {
		if s.listed && s.Endpoint != r.ref.listed[id] {
			r.fail("server", s.Endpoint, r.ref.listed[id])
		}
		cold = cold || s.listed && s.State == Ready && !r.b.isWarm(s)
		if !s.listed && s.attempts.InFlight() > 0 {
			known = append(known, id)
		}
	}
	r.same("known servers", slices.Sorted(maps.Keys(r.b.endpoints)), slices.Sorted(slices.Values(known)))
	if again := r.b.nextFillCheck() < math.MaxInt64; again != cold {
		r.fail("a cold server is waited for", again, cold)
	}
}

func (r *randomListRun) same(what string, got, want []string) {
	if !slices.Equal(got, want) {
		r.fail(what, got, want)
	}
}

func (r *randomListRun) fail(what string, got, want any) {
	r.Helper()
	last := r.history[max(0, len(r.history)-5):]
	r.Fatalf("step %d: %s: got %v, want %v; last events: %q", len(r.history), what, got, want, last)
}

// However a list changes, groups, subsets and marks are what the plain construction makes of it.
func TestListChangesFollowThePlainConstruction(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			r := randomListRun{T: t, rng: rand.New(rand.NewPCG(seed, 5)), now: time.Hour, ref: listReference{map[string]Endpoint{}}}
			r.b = newBalancer(t, func(s *Settings) {
				s.Tier, s.Zone, s.ZoneCount, s.Replicas, s.ReplicaIndex = 1, "z1", 3, 9, 4
				s.SlowStartFloor, s.SlowStartDuration, s.OverloadMultiple, s.OverloadWindow = 0.2, 2*time.Second, 2, time.Second
			})
			for range 400 {
				r.step()
				r.check()
			}
		})
	}
}

// A change of one entry costs about as much in a long list as in a short one. The least of many short samples
// is taken, which hardly depends on what else the machine does.
func TestListChangeCostsLittleInALongList(t *testing.T) {
	const short, long, most = 100, 3200, 10
	costs := map[int]time.Duration{short: math.MaxInt64, long: math.MaxInt64}
	nodes, lists := map[int]*Balancer{}, map[int][]Endpoint{}
	for n := range costs {
		lists[n] = longList(n)
		nodes[n] = newBalancer(t, func(s *Settings) { s.Tier, s.Replicas = 1, 10 })
		nodes[n].Handle(0, EndpointUpdate{Complete: true, Endpoints: lists[n]})
	}
	for sample := range 300 {
		for n, b := range nodes {
			costs[n] = min(costs[n], listChangeCost(b, lists[n][sample*7%n]))
		}
	}
	t.Logf("a change takes %v of %d servers, %v of %d", costs[short], short, costs[long], long)
	if costs[long] > most*costs[short] {
		t.Errorf("a change takes %v of %d servers and %v of %d, want at most %d times as long",
			costs[short], short, costs[long], long, most)
	}
}

func longList(n int) (list []Endpoint) {
	for i := range n {
		list = append(list, Endpoint{ID: fmt.Sprintf("s%04d", i), Zone: fmt.Sprint("z", i%3)})
	}
	return list
}

// listChangeCost is how long one of a few changes takes, in which a server leaves and comes back.
func listChangeCost(b *Balancer, s Endpoint) time.Duration {
	const changes = 6
	begin := time.Now()
	for i := range changes {
		s.State = []EndpointState{Removed, Ready}[i%2]
		b.Handle(0, EndpointUpdate{Endpoints: []Endpoint{s}})
	}
	return time.Since(begin) / changes
}
