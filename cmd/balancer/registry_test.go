package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"
)

// registryState is the state of the stand-in registry.
type registryState int

func (s registryState) String() string {
	return [...]string{"available", "unresponsive", "refusing"}[s]
}

const (
	available    registryState = iota
	unresponsive               // accepts polls and never responds to them, even once it is available again
	refusing                   // refuses connections
)

// registry is a stand-in for discovery. Its socket stays bound while it refuses connections, so that no other socket
// gets its port.
type registry struct {
	addr string
	fd   int

	mu         sync.Mutex
	server     *http.Server // nil while it refuses connections
	state      registryState
	version    int
	list       string
	polledFrom map[int]chan struct{} // by version: closed on a poll from that version, as its list is then in use
}

// set changes the list, its version and the state.
func (reg *registry) set(t *testing.T, newVersion int, list string, newState registryState) {
	t.Helper()
	reg.mu.Lock()
	defer reg.mu.Unlock()
	reg.version, reg.list, reg.state = newVersion, list, newState
	switch {
	case newState == refusing && reg.server != nil:
		syscall.Shutdown(reg.fd, syscall.SHUT_RDWR) // stops listening but stays bound
		reg.server.Close()
		reg.server = nil
	case newState != refusing && reg.server == nil:
		if err := syscall.Listen(reg.fd, 1024); err != nil {
			t.Fatal(err)
		}
		dup, err := syscall.Dup(reg.fd)
		if err != nil {
			t.Fatal(err)
		}
		f := os.NewFile(uintptr(dup), "discovery")
		ln, err := net.FileListener(f)
		f.Close()
		if err != nil {
			t.Fatal(err)
		}
		reg.server = &http.Server{Handler: reg}
		go reg.server.Serve(ln)
	}
}

// fetched returns a channel that is closed once a node has received the list of a version, that is, polls for changes
// since that version.
func (reg *registry) fetched(version int) chan struct{} {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if reg.polledFrom[version] == nil {
		reg.polledFrom[version] = make(chan struct{})
	}
	return reg.polledFrom[version]
}

func (reg *registry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil {
		from = -1
	}
	fetched := reg.fetched(from)
	reg.mu.Lock()
	if !isClosed(fetched) {
		close(fetched)
	}
	currentState, currentVersion, list := reg.state, reg.version, reg.list
	reg.mu.Unlock()
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	if currentState == available && from != currentVersion {
		fmt.Fprintf(w, `{"rev":%d,"all":true,"targets":[%s]}`, currentVersion, list)
		return
	}
	if currentState == available {
		holdTimer := time.NewTimer(time.Duration(hold) * time.Millisecond)
		defer holdTimer.Stop()
		select {
		case <-r.Context().Done():
		case <-holdTimer.C:
			reg.mu.Lock()
			currentState = reg.state
			reg.mu.Unlock()
			if currentState == available {
				fmt.Fprintf(w, `{"rev":%d,"all":false,"targets":[]}`, currentVersion)
				return
			}
		}
	}
	<-r.Context().Done()
}

// newRegistry starts a registry on a port of its own.
func newRegistry(t *testing.T, version int, list string, state registryState) *registry {
	t.Helper()
	// The kernel keeps the port of a socket that stops listening only if the socket was bound to that port by number.
	bindSocket := func(port int) (int, int, error) {
		fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
		if err != nil {
			t.Fatal(err)
		}
		if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
			t.Fatal(err) // leftovers of its connections must not prevent it from listening again
		}
		if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}}); err != nil {
			syscall.Close(fd)
			return 0, 0, err
		}
		address, err := syscall.Getsockname(fd)
		if err != nil {
			t.Fatal(err)
		}
		return fd, address.(*syscall.SockaddrInet4).Port, nil
	}
	var fd, port int
	eventually(t, "a free port", func() bool {
		probe, freePort, err := bindSocket(0)
		if err != nil {
			t.Fatal(err)
		}
		syscall.Close(probe)
		fd, port, err = bindSocket(freePort)
		return err == nil
	})
	reg := &registry{fd: fd, addr: fmt.Sprintf("127.0.0.1:%d", port), polledFrom: map[int]chan struct{}{}}
	reg.set(t, version, list, state)
	t.Cleanup(func() {
		reg.set(t, version, list, refusing)
		syscall.Close(fd)
	})
	return reg
}
