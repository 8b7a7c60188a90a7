package nodes

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"basaltdrum/balancer"
	"basaltdrum/internal/node"
)

// newSpecifiedHollow sets up a hollow node by its specification. Its attempts all succeed, after times that are drawn
// with the mean given.
func newSpecifiedHollow(spec NodeSpec, mean time.Duration, draws *rand.Rand, log *slog.Logger) (*hollow, error) {
	text, err := spec.Configuration()
	if err != nil {
		return nil, err
	}
	cfg, err := node.ParseConfig(text)
	if err != nil {
		return nil, err
	}
	// The loop's goroutine alone calls serve, as draws needs.
	serve := func(string) (time.Duration, balancer.AttemptResult) {
		return time.Duration(draws.ExpFloat64() * float64(mean)), balancer.Success
	}
	return newHollow(cfg, serve, log)
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
