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

// registryState is what discovery is like.
type registryState int

func (o registryState) String() string {
	return [...]string{"available", "unresponsive", "refusing"}[o]
}

const (
	available    registryState = iota
	unresponsive               // calls are accepted and never answered, not even after its return
	refusing
)

// registry is discovery's stand-in. Its port stays its own while it refuses connections: the socket is bound all
// the time.
type registry struct {
	addr string
	fd   int

	mu         sync.Mutex
	server     *http.Server // nil while it refuses
	state      registryState
	version    int
	list       string
	calledFrom map[int]chan struct{} // closed when a call from that version comes, so that its list is in use
}

// set changes discovery's list, and whether it answers.
func (d *registry) set(t *testing.T, rev int, list string, down registryState) {
	t.Helper()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version, d.list, d.state = rev, list, down
	switch {
	case down == refusing && d.server != nil:
		syscall.Shutdown(d.fd, syscall.SHUT_RDWR) // it listens no more, and stays bound
		d.server.Close()
		d.server = nil
	case down != refusing && d.server == nil:
		if err := syscall.Listen(d.fd, 1024); err != nil {
			t.Fatal(err)
		}
		dup, err := syscall.Dup(d.fd)
		if err != nil {
			t.Fatal(err)
		}
		f := os.NewFile(uintptr(dup), "discovery")
		ln, err := net.FileListener(f)
		f.Close()
		if err != nil {
			t.Fatal(err)
		}
		d.server = &http.Server{Handler: d}
		go d.server.Serve(ln)
	}
}

// fetched is closed once a node has received the list of a version, and calls for what is newer.
func (d *registry) fetched(rev int) chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.calledFrom[rev] == nil {
		d.calledFrom[rev] = make(chan struct{})
	}
	return d.calledFrom[rev]
}

func (d *registry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil {
		from = -1
	}
	fetched := d.fetched(from)
	d.mu.Lock()
	if !isClosed(fetched) {
		close(fetched)
	}
	down, rev, list := d.state, d.version, d.list
	d.mu.Unlock()
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	if down == available && from != rev {
		fmt.Fprintf(w, `{"rev":%d,"all":true,"targets":[%s]}`, rev, list)
		return
	}
	if down == available {
		over := time.NewTimer(time.Duration(hold) * time.Millisecond)
		defer over.Stop()
		select {
		case <-r.Context().Done():
		case <-over.C:
			d.mu.Lock()
			down = d.state
			d.mu.Unlock()
			if down == available {
				fmt.Fprintf(w, `{"rev":%d,"all":false,"targets":[]}`, rev)
				return
			}
		}
	}
	<-r.Context().Done()
}

func newRegistry(t *testing.T, rev int, list string, down registryState) *registry {
	t.Helper()
	// The kernel keeps a port for a socket that listens no more only if it was bound to that port by number.
	bound := func(port int) (int, int, error) {
		fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
		if err != nil {
			t.Fatal(err)
		}
		if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
			t.Fatal(err) // what is left of its connections must not keep it from listening again
		}
		if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}}); err != nil {
			syscall.Close(fd)
			return 0, 0, err
		}
		at, err := syscall.Getsockname(fd)
		if err != nil {
			t.Fatal(err)
		}
		return fd, at.(*syscall.SockaddrInet4).Port, nil
	}
	var fd, port int
	eventually(t, "a port", func() bool {
		free, number, err := bound(0)
		if err != nil {
			t.Fatal(err)
		}
		syscall.Close(free)
		fd, port, err = bound(number)
		return err == nil
	})
	d := &registry{fd: fd, addr: fmt.Sprintf("127.0.0.1:%d", port), calledFrom: map[int]chan struct{}{}}
	d.set(t, rev, list, down)
	t.Cleanup(func() {
		d.set(t, rev, list, refusing)
		syscall.Close(fd)
	})
	return d
}
