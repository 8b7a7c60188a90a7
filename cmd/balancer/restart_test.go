package main

import (
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"syscall"
	"testing"
	"time"
)

const (
	fleetSize   = 20
	readyWithin = 10 * time.Second // nine of ten restarted nodes must be ready within this time
	// healthCheckInterval is the interval between health checks of a node, which reports readiness in no other way.
	healthCheckInterval = 5 * time.Millisecond
)

// measureProcessStarts returns how long this machine currently takes to start and end as many processes of the program
// as a fleet has. The processes have no configuration.
func measureProcessStarts(t *testing.T) time.Duration {
	t.Helper()
	started := time.Now()
	var commands []*exec.Cmd
	for range fleetSize {
		cmd := exec.Command("/bin/sh", "-c", program.run)
		cmd.Dir, cmd.Env = program.dir, []string{}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		commands = append(commands, cmd)
	}
	for _, cmd := range commands {
		if cmd.Wait() == nil {
			t.Error("the program exited with status 0 without a configuration, want an error")
		}
	}
	return time.Since(started)
}

// TestRestartedFleetIsReadyInTime ends twenty nodes, once by SIGKILL and once by SIGTERM, and restarts them at their
// addresses in each state of discovery. Nine of ten must be ready within 10 s plus five times what this machine takes
// to start as many processes, so that a slow machine does not fail the test. The program itself waits for 1 s at most
// (startupWait).
func TestRestartedFleetIsReadyInTime(t *testing.T) {
	build(t)
	for row, mode := range []string{"pushed", "on_request"} {
		for _, state := range []registryState{available, unresponsive, refusing} {
			subnet := 1 + 3*row + int(state)
			t.Run(fmt.Sprintf("%s/%v", mode, state), func(t *testing.T) {
				t.Parallel()
				f := startFleet(t, subnet, mode, state)
				for _, signal := range []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM} {
					f.end(signal)
					f.checkRestart(t, signal)
				}
			})
		}
	}
}

// fleet is a set of nodes that share a registry.
type fleet struct {
	registry  *registry
	mode      string // of discovery: pushed or on_request
	list      string // the entries of each node's cached list
	addresses []string
	nodes     []*process
}

// startFleet starts the nodes of a fleet. Each has a loopback address of its own in a subnet, so that no other
// socket gets its port while the node is down.
func startFleet(t *testing.T, subnet int, mode string, state registryState) *fleet {
	t.Helper()
	list := listEntry("s-1", "127.0.0.1:9")
	f := &fleet{registry: newRegistry(t, 5, list, state), mode: mode, list: list}
	for i := range fleetSize {
		f.nodes = append(f.nodes, f.launch(t, fmt.Sprintf("127.0.%d.%d:0", subnet, i+1)))
	}
	for _, p := range f.nodes {
		f.addresses = append(f.addresses, p.address(t))
	}
	return f
}

func (f *fleet) launch(t *testing.T, listen string) *process {
	t.Helper()
	return launch(t, nodeConfig(listen, f.registry.addr, f.list, f.mode, 256), 0)
}

// end sends a signal to all nodes and waits until they have ended.
func (f *fleet) end(signal syscall.Signal) {
	for _, p := range f.nodes {
		p.cmd.Process.Signal(signal)
	}
	for _, p := range f.nodes {
		<-p.ended
	}
}

// checkRestart starts the nodes again at their addresses, and checks that nine of ten are ready in time.
func (f *fleet) checkRestart(t *testing.T, ended syscall.Signal) {
	t.Helper()
	allowed := readyWithin + 5*measureProcessStarts(t)
	started := time.Now()
	durations := make(chan time.Duration, fleetSize)
	for i, address := range f.addresses {
		f.nodes[i] = f.launch(t, address)
		go func() { durations <- readyAfter(address, started, allowed) }()
	}
	late, slowest := 0, time.Duration(0)
	for range f.nodes {
		if duration := <-durations; duration > allowed {
			late++
		} else {
			slowest = max(slowest, duration)
		}
	}
	for _, p := range f.nodes {
		if !p.alive() {
			t.Errorf("a restarted node ended; log:\n%s", p.logText())
		}
	}
	if late > fleetSize/10 {
		t.Errorf("after %v: %d of %d nodes not ready within %v, want a tenth at most", ended, late, fleetSize, allowed)
	}
	t.Logf("after %v: %d of %d nodes ready in time, the last after %v", ended, fleetSize-late, fleetSize, slowest)
}

// readyAfter returns the time from the start until a node is ready. It gives up once that exceeds allowed.
func readyAfter(address string, started time.Time, allowed time.Duration) time.Duration {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: allowed}
	for {
		resp, err := client.Get("http://" + address + "/health/ready")
		elapsed := time.Since(started)
		ready := false
		if err == nil {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			ready = resp.StatusCode == http.StatusOK
		}
		if ready || elapsed > allowed {
			return elapsed
		}
		time.Sleep(healthCheckInterval)
	}
}
