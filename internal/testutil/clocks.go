package testutil

import "time"

// MachineClocks are the clocks of a machine, for monotime.Simulated: time passes on both, and the wall clock can be
// stepped. They belong to one goroutine.
type MachineClocks struct{ elapsed, unix time.Duration }

// NewMachineClocks returns the clocks of a machine on which a process starts now.
func NewMachineClocks() *MachineClocks { return &MachineClocks{unix: 1_800_000_000 * time.Second} }

// Elapsed returns the monotonic time since the process's start.
func (m *MachineClocks) Elapsed() time.Duration { return m.elapsed }

// Unix returns Unix time by the wall clock.
func (m *MachineClocks) Unix() time.Duration { return m.unix }

// BootMS returns the wall clock as a server that starts now reports it, in Unix milliseconds.
func (m *MachineClocks) BootMS() int64 { return m.unix.Milliseconds() }

// Advance lets time pass.
func (m *MachineClocks) Advance(d time.Duration) { m.elapsed, m.unix = m.elapsed+d, m.unix+d }

// StepWallClock sets the wall clock forward, or back by a negative step.
func (m *MachineClocks) StepWallClock(step time.Duration) { m.unix += step }
