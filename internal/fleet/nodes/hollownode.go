package nodes

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"basaltdrum/balancer"
	"basaltdrum/internal/node"
)

// hollow is a hollow node, with the versions of its list that it has applied.
type hollow struct {
	*node.Hollow
	mu      sync.Mutex
	applied []appliedVersion // the oldest first
}

// appliedVersion is a version of a list, and when the node has applied it.
type appliedVersion struct {
	rev int64
	at  time.Time
}

// newHollow sets up a hollow node. Its attempts all succeed, after times that are drawn with the mean given.
func newHollow(spec NodeSpec, mean time.Duration, draws *rand.Rand, log *slog.Logger) (*hollow, error) {
	text, err := spec.Configuration()
	if err != nil {
		return nil, err
	}
	cfg, err := node.ParseConfig(text)
	if err != nil {
		return nil, err
	}
	h := &hollow{}
	// The loop's goroutine alone calls serve, as draws needs.
	serve := func(string) (time.Duration, balancer.AttemptResult) {
		return time.Duration(draws.ExpFloat64() * float64(mean)), balancer.Success
	}
	h.Hollow, err = node.NewHollow(cfg, log, serve, h.noteApplied)
	return h, err
}

// noteApplied notes that the node applies a version.
func (h *hollow) noteApplied(rev int64, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.applied = append(h.applied, appliedVersion{rev, at})
}

// appliedAt returns when the node has applied a version or a newer one, if it has.
func (h *hollow) appliedAt(rev int64) (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := sort.Search(len(h.applied), func(i int) bool { return h.applied[i].rev >= rev })
	if i == len(h.applied) {
		return time.Time{}, false
	}
	return h.applied[i].at, true
}

// warnings is a log handler that counts warnings and errors, and writes nothing.
type warnings struct {
	slog.Handler
	count atomic.Int64
}

// Enabled is part of slog.Handler.
func (w *warnings) Enabled(_ context.Context, l slog.Level) bool { return l >= slog.LevelWarn }

// Handle is part of slog.Handler.
func (w *warnings) Handle(context.Context, slog.Record) error {
	w.count.Add(1)
	return nil
}
