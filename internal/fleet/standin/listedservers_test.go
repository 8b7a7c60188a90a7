package standin

import (
	"net"
	"strconv"
	"testing"
	"time"

	"basaltdrum/internal/fleet/load"
	"basaltdrum/internal/testutil"
)

// startListedServers starts servers that are closed at the end of the test.
func startListedServers(t *testing.T, count int) (servers *ListedServers, endpoints []string) {
	t.Helper()
	servers = &ListedServers{}
	if err := servers.Start(ListedServersSpec{Count: count}, &endpoints); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for i := range count {
			if err := servers.Close([]int{i}, nil); err != nil {
				t.Error(err)
			}
		}
	})
	return servers, endpoints
}

// callServer makes a call that must be served.
func callServer(t *testing.T, client *load.Client, endpoint, id string) {
	t.Helper()
	got, err := client.Call(t.Context(), endpoint, load.Class, id, time.Now().Add(testutil.Timeout))
	if got != load.Served {
		t.Fatalf("call %s: outcome %v, error %v, want Served", id, got, err)
	}
}

// Each connection is counted once, however many calls it carries.
func TestListedServersCountConnections(t *testing.T) {
	servers, endpoints := startListedServers(t, 2)
	client := load.NewClient()
	defer client.Close()
	for i, endpoint := range []string{endpoints[0], endpoints[0], endpoints[1]} {
		callServer(t, client, endpoint, strconv.Itoa(i))
	}
	var accepted int64
	if err := servers.Accepted(struct{}{}, &accepted); err != nil || accepted != 2 {
		t.Errorf("error %v, %d connections accepted, want 2", err, accepted)
	}
}

// A closed server accepts no connection, and may be closed again together with others.
func TestListedServersClose(t *testing.T) {
	servers, endpoints := startListedServers(t, 2)
	client := load.NewClient()
	defer client.Close()
	callServer(t, client, endpoints[0], "first")
	if err := servers.Close([]int{0}, nil); err != nil {
		t.Fatal(err)
	}
	if conn, err := net.Dial("tcp", endpoints[0]); err == nil {
		conn.Close()
		t.Error("a closed server accepts a connection, want it refused")
	}
	if err := servers.Close([]int{0, 1}, nil); err != nil {
		t.Error(err)
	}
}

func TestListedServersRejectBadCalls(t *testing.T) {
	servers, endpoints := startListedServers(t, 2)
	for _, test := range []struct {
		name string
		err  error
	}{
		{"closing a server past the last", servers.Close([]int{2}, nil)},
		{"closing a server before the first", servers.Close([]int{-1}, nil)},
		{"a second start", servers.Start(ListedServersSpec{Count: 1}, &endpoints)},
	} {
		if test.err == nil {
			t.Errorf("%s succeeded, want an error", test.name)
		}
	}
}
