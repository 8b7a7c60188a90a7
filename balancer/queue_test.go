package balancer

import "testing"

func TestQueueHoldsEachRequestOnce(t *testing.T) {
	var queue requestQueue
	first, second := &request{id: "first"}, &request{id: "second"}
	for _, step := range []struct {
		name   string
		change func()
		want   int
	}{
		{"a request", func() { queue.add(first) }, 1},
		{"another", func() { queue.add(second) }, 2},
		{"the first again", func() { queue.add(first) }, 2},
		{"the first leaves", func() { queue.remove(first) }, 1},
		{"it leaves again", func() { queue.remove(first) }, 1},
		{"it is back", func() { queue.add(first) }, 2},
	} {
		if step.change(); queue.len() != step.want {
			t.Errorf("%s: %d requests wait, want %d", step.name, queue.len(), step.want)
		}
	}
	if waiting := queue.all(); waiting[0] != second || waiting[1] != first {
		t.Errorf("%s is before %s, want the order of arrival", waiting[0].id, waiting[1].id)
	}
}

// Of requests with equal priority the youngest has most time left.
func TestQueueGivesTheHighestPriority(t *testing.T) {
	for _, c := range []struct {
		name       string
		priorities map[string]float64
		want       string
	}{
		{"all equal", map[string]float64{"a": 1, "b": 1, "c": 1}, "c"},
		{"the first is highest", map[string]float64{"a": 2, "b": 1, "c": 1}, "a"},
		{"two are highest", map[string]float64{"a": 2, "b": 2, "c": 1}, "b"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var queue requestQueue
			for _, id := range []string{"a", "b", "c"} {
				queue.add(&request{id: id})
			}
			best := queue.highestPriority(func(req *request) float64 { return c.priorities[req.id] })
			if best.id != c.want {
				t.Errorf("%s goes first, want %s", best.id, c.want)
			}
		})
	}
}
