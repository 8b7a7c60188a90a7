package process

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// MachineCPUTime returns the CPU time that all processes on the machine have used since boot.
func MachineCPUTime() (time.Duration, error) {
	text, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0, fmt.Errorf("machine CPU time: %w", err)
	}
	line, _, _ := strings.Cut(string(text), "\n")
	var busy time.Duration
	for i, field := range strings.Fields(line) {
		if i == 0 || i == 4 || i == 5 || i > 8 { // the label, idle, iowait, and guest times (included in user)
			continue
		}
		ticks, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("machine CPU time: %w", err)
		}
		busy += time.Duration(ticks) * clockTick
	}
	return busy, nil
}

// LoadAverage returns the machine's load average over the last minute, or "" if it can't be read.
func LoadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return ""
	}
	lastMinute, _, _ := strings.Cut(string(text), " ")
	return lastMinute
}
