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
	readyWithin = 10 * time.Second // in which nine in ten of the restarted have to be ready
	// healthCheckInterval is the time between two health checks of a node: it has no other way to tell.
	healthCheckInterval = 5 * time.Millisecond
)

// measureStart is how long this machine takes now to start and end as many processes of the program as a fleet
// has, each of which finds no configuration.
func measureStart(t *testing.T) time.Duration {
	t.Helper()
	begin := time.Now()
	var all []*exec.Cmd
	for range fleetSize {
		cmd := exec.Command("/bin/sh", "-c", program.run)
		cmd.Dir, cmd.Env = program.dir, []string{}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		all = append(all, cmd)
	}
	for _, cmd := range all {
		if cmd.Wait() == nil {
			t.Error("it starts without a configuration")
		}
	}
	return time.Since(begin)
}

// TestRestartedFleetIsReadyInTime kills and ends twenty nodes, and starts them again at their addresses, whatever
// the state of discovery: nine in ten are ready within 10 s. What a busy machine takes to start as many processes
// is measured beside and added, five times over, so that what counts is the program's own waiting; that is 1 s at
// most (startupWait), so that a machine several times slower passes, too.
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

// fleet is a number of nodes that share a registry.
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

// end signals all nodes and waits until they have ended.
func (f *fleet) end(signal syscall.Signal) {
	for _, p := range f.nodes {
		p.cmd.Process.Signal(signal)
	}
	for _, p := range f.nodes {
		<-p.ended
	}
}

// checkRestart starts the nodes again at their addresses, and checks that nine in ten are ready in time.
func (f *fleet) checkRestart(t *testing.T, ended syscall.Signal) {
	t.Helper()
	allowed := readyWithin + 5*measureStart(t)
	begin := time.Now()
	durations := make(chan time.Duration, fleetSize)
	for i, address := range f.addresses {
		f.nodes[i] = f.launch(t, address)
		go func() { durations <- readyAfter(address, begin, allowed) }()
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
			t.Errorf("one ended: %s", p.logText())
		}
	}
	if late > fleetSize/10 {
		t.Errorf("after %v: %d of %d are not ready within %v", ended, late, fleetSize, allowed)
	}
	t.Logf("after %v: %d of %d in time, the last within %v", ended, fleetSize-late, fleetSize, slowest)
}

// readyAfter is how long a node takes to become ready; more than allowed if it takes longer.
func readyAfter(address string, begin time.Time, allowed time.Duration) time.Duration {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: allowed}
	for {
		resp, err := client.Get("http://" + address + "/health/ready")
		elapsed := time.Since(begin)
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
