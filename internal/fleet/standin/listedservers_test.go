package standin

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"basaltdrum/internal/fleet/load"
)

// Connections are counted once each, and a server that ends closes those it has.
func TestListedServersCountConnections(t *testing.T) {
	var h ListedServers
	var endpoints []string
	if err := h.Start(ListedServersSpec{Count: 2}, &endpoints); err != nil {
		t.Fatal(err)
	}
	c := load.NewClient()
	defer c.Close()
	for i, at := range []int{0, 0, 1} {
		if got, err := c.Call(context.Background(), endpoints[at], load.Class, fmt.Sprint(i), time.Now().Add(limit)); got != load.Served {
			t.Fatalf("call %d: %v, %v", i, got, err)
		}
	}
	var accepted int64
	if err := h.Accepted(struct{}{}, &accepted); err != nil || accepted != 2 {
		t.Errorf("%v: %d connections accepted, want 2", err, accepted)
	}
	if err := h.Close([]int{0}, nil); err != nil {
		t.Fatal(err)
	}
	if conn, err := net.Dial("tcp", endpoints[0]); err == nil {
		conn.Close()
		t.Error("a server that has ended accepts")
	}
	if err := h.Close([]int{0, 1}, nil); err != nil {
		t.Error(err)
	}
	if h.Close([]int{2}, nil) == nil || h.Close([]int{-1}, nil) == nil || h.Start(ListedServersSpec{Count: 1}, &endpoints) == nil {
		t.Error("a server that isn't there is ended, or the servers start twice")
	}
}
