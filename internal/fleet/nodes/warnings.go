package nodes

import (
	"context"
	"log/slog"
	"sync/atomic"
)

// warningCounter is a log handler that counts warnings and errors and discards all records.
type warningCounter struct {
	slog.Handler
	count atomic.Int64
}

// Enabled implements slog.Handler.
func (w *warningCounter) Enabled(_ context.Context, l slog.Level) bool { return l >= slog.LevelWarn }

// Handle implements slog.Handler.
func (w *warningCounter) Handle(context.Context, slog.Record) error {
	w.count.Add(1)
	return nil
}
