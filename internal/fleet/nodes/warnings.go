package nodes

import (
	"context"
	"log/slog"
	"sync/atomic"
)

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
