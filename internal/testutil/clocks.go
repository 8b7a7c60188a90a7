package testutil

import "time"

// MachineClocks holds the monotonic clock and the wall clock of a simulated machine, for monotime.Simulated. Both
// advance together, and the wall clock can be stepped. MachineClocks must be used by one goroutine only.
type MachineClocks struct{ elapsed, unix time.Duration }

// NewMachineClocks returns the clocks of a machine at the start of a process.
func NewMachineClocks() *MachineClocks { return &MachineClocks{unix: 1_800_000_000 * time.Second} }

// Elapsed returns the monotonic time since the start of the process.
func (m *MachineClocks) Elapsed() time.Duration { return m.elapsed }

// Unix returns the wall clock, as the time since the Unix epoch.
func (m *MachineClocks) Unix() time.Duration { return m.unix }

// BootMS returns the start time that a server reports if it starts now, in Unix milliseconds by the wall clock.
func (m *MachineClocks) BootMS() int64 { return m.unix.Milliseconds() }

// Advance moves both clocks forward.
func (m *MachineClocks) Advance(d time.Duration) { m.elapsed, m.unix = m.elapsed+d, m.unix+d }

// StepWallClock moves the wall clock alone, backward if step is negative.
func (m *MachineClocks) StepWallClock(step time.Duration) { m.unix += step }
