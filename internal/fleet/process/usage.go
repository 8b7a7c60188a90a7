package process

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of the processor times in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// Usage is what a process has used.
type Usage struct {
	CPU time.Duration
	RSS int64 // bytes in memory now
}

// UsageOf reads what a process has used. The processor time comes from schedstat of its threads, which counts
// nanoseconds, unless stat has more by at least a clock tick: threads that have ended count only there.
func UsageOf(pid int) (Usage, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, fmt.Errorf("usage: %w", err)
	}
	fields := bytes.Fields(text[bytes.LastIndexByte(text, ')')+1:]) // from the state, field 3, on
	if len(fields) < 22 {
		return Usage{}, fmt.Errorf("usage: /proc/%d/stat has %d fields", pid, len(fields))
	}
	number := func(field int) int64 {
		n, parseErr := strconv.ParseInt(string(fields[field-3]), 10, 64)
		if parseErr != nil {
			err = parseErr
		}
		return n
	}
	u := Usage{CPU: time.Duration(number(14)+number(15)) * clockTick, RSS: number(24) * int64(os.Getpagesize())}
	if err != nil {
		return Usage{}, fmt.Errorf("usage: %w", err)
	}
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil {
		return Usage{}, fmt.Errorf("usage: %w", err)
	}
	var exact time.Duration
	for _, path := range threads {
		text, err := os.ReadFile(path)
		if err != nil {
			continue // the thread has ended since
		}
		var ns int64
		if _, err := fmt.Sscan(string(text), &ns); err == nil {
			exact += time.Duration(ns)
		}
	}
	u.CPU = max(u.CPU-clockTick, exact)
	return u, nil
}

// PeakMemory returns the most memory that a process has held so far, in bytes.
func PeakMemory(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, fmt.Errorf("peak memory: %w", err)
	}
	for line := range strings.Lines(string(text)) {
		if kilobytes, found := strings.CutPrefix(line, "VmHWM:"); found {
			n, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(kilobytes), " kB"), 10, 64)
			if err != nil {
				return 0, fmt.Errorf("peak memory: %w", err)
			}
			return n << 10, nil
		}
	}
	return 0, fmt.Errorf("peak memory: /proc/%d/status has none", pid)
}

// Descriptors returns how many file descriptors a process has open.
func Descriptors(pid int) (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0, fmt.Errorf("descriptors: %w", err)
	}
	return len(entries), nil
}

// Cores is how many processor cores were in use between two readings.
func Cores(used time.Duration, from, to time.Time) float64 {
	return used.Seconds() / to.Sub(from).Seconds()
}
