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

// clockTick is the unit of CPU times in /proc/stat and /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// Usage holds the resource usage of a process.
type Usage struct {
	CPU time.Duration // since the start of the process
	RSS int64         // current resident set size in bytes
}

// UsageOf reads the resource usage of a process. The CPU time comes from schedstat of its threads, which counts
// nanoseconds, unless stat reports at least one clock tick more: only stat includes threads that have exited.
func UsageOf(pid int) (Usage, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, fmt.Errorf("usage: %w", err)
	}
	fields := bytes.Fields(text[bytes.LastIndexByte(text, ')')+1:]) // starts with the state, which is field 3
	if len(fields) < 22 {
		return Usage{}, fmt.Errorf("usage: /proc/%d/stat has only %d fields from the state on", pid, len(fields))
	}
	// The fields are numbered as in proc(5): 14 and 15 are the user and system CPU time, 24 is the RSS in pages.
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
			continue // the thread has exited since
		}
		var ns int64
		if _, err := fmt.Sscan(string(text), &ns); err == nil {
			exact += time.Duration(ns)
		}
	}
	u.CPU = max(u.CPU-clockTick, exact)
	return u, nil
}

// PeakMemory returns the peak resident set size of a process in bytes.
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
	return 0, fmt.Errorf("peak memory: /proc/%d/status has no VmHWM line", pid)
}

// Descriptors returns the number of open file descriptors of a process.
func Descriptors(pid int) (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0, fmt.Errorf("descriptors: %w", err)
	}
	return len(entries), nil
}

// CoresInUse returns the mean number of CPU cores in use between two readings, given the CPU time used.
func CoresInUse(used time.Duration, from, to time.Time) float64 {
	return used.Seconds() / to.Sub(from).Seconds()
}
