package process

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// MachineBusy returns the processor time that all programs on the machine have used since its start.
func MachineBusy() (time.Duration, error) {
	text, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0, fmt.Errorf("machine: %w", err)
	}
	line, _, _ := strings.Cut(string(text), "\n")
	var busy time.Duration
	for i, field := range strings.Fields(line) {
		if i == 0 || i == 4 || i == 5 || i > 8 { // the name, idle, waiting for I/O, guests (in user already)
			continue
		}
		n, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("machine: %w", err)
		}
		busy += time.Duration(n) * clockTick
	}
	return busy, nil
}

// LoadAverage returns the machine's load average over the last minute, or "" if that can't be read.
func LoadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return ""
	}
	one, _, _ := strings.Cut(string(text), " ")
	return one
}
