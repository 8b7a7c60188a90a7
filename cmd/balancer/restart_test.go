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
		for _, down := range []registryState{available, unresponsive, refusing} {
			net := 1 + 3*row + int(down) // an address of its own for each node, so that no other socket gets its port
			t.Run(fmt.Sprintf("%s/%v", mode, down), func(t *testing.T) {
				t.Parallel()
				list := listEntry("s-1", "127.0.0.1:9")
				d := newRegistry(t, 5, list, down)
				fleet, at := make([]*process, fleetSize), make([]string, fleetSize)
				for i := range fleet {
					fleet[i] = launch(t, nodeConfig(fmt.Sprintf("127.0.%d.%d:0", net, i+1), d.addr, list, mode, 256), 0)
				}
				for i, p := range fleet {
					at[i] = p.address(t)
				}
				for _, end := range []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM} {
					for _, p := range fleet {
						p.cmd.Process.Signal(end)
					}
					for _, p := range fleet {
						<-p.ended
					}
					allowed := readyWithin + 5*measureStart(t)
					begin := time.Now()
					took := make(chan time.Duration, fleetSize)
					for i := range fleet {
						fleet[i] = launch(t, nodeConfig(at[i], d.addr, list, mode, 256), 0)
						go func() { took <- readyAfter(at[i], begin, allowed) }()
					}
					late, slowest := 0, time.Duration(0)
					for range fleet {
						if one := <-took; one > allowed {
							late++
						} else {
							slowest = max(slowest, one)
						}
					}
					for _, p := range fleet {
						if !p.alive() {
							t.Errorf("one ended: %s", p.logText())
						}
					}
					if late > fleetSize/10 {
						t.Errorf("after %v: %d of %d are not ready within %v", end, late, fleetSize, allowed)
					}
					t.Logf("after %v: %d of %d in time, the last within %v", end, fleetSize-late, fleetSize, slowest)
				}
			})
		}
	}
}

// readyAfter is how long a node takes to become ready; more than allowed if it takes longer.
func readyAfter(address string, begin time.Time, allowed time.Duration) time.Duration {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: allowed}
	for {
		resp, err := client.Get("http://" + address + "/health/ready")
		took := time.Since(begin)
		ready := false
		if err == nil {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			ready = resp.StatusCode == http.StatusOK
		}
		if ready || took > allowed {
			return took
		}
		time.Sleep(5 * time.Millisecond)
	}
}
