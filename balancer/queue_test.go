package balancer

import "testing"

// A queue holds each request at most once, in order of arrival.
func TestQueueHoldsEachRequestOnce(t *testing.T) {
	var queue requestQueue
	first, second := &request{id: "first"}, &request{id: "second"}
	for _, step := range []struct {
		name   string
		change func()
		want   int
	}{
		{"add the first", func() { queue.add(first) }, 1},
		{"add the second", func() { queue.add(second) }, 2},
		{"add the first again", func() { queue.add(first) }, 2},
		{"remove the first", func() { queue.remove(first) }, 1},
		{"remove the first again", func() { queue.remove(first) }, 1},
		{"add the first after its removal", func() { queue.add(first) }, 2},
	} {
		if step.change(); queue.len() != step.want {
			t.Errorf("%s: %d requests are queued, want %d", step.name, queue.len(), step.want)
		}
	}
	if waiting := queue.all(); waiting[0] != second || waiting[1] != first {
		t.Errorf("the queue holds %s before %s, want second before first", waiting[0].id, waiting[1].id)
	}
}

// Among requests of equal priority, the queue returns the one that arrived last: it has the most time left.
func TestQueueReturnsTheHighestPriority(t *testing.T) {
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
				t.Errorf("the request with the highest priority is %s, want %s", best.id, c.want)
			}
		})
	}
}
