package node

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"basaltdrum/internal/testutil"
)

var localErrnos = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EAGAIN, syscall.ENETUNREACH, syscall.ENETDOWN,
	syscall.EPERM, syscall.EACCES, syscall.EINTR,
}

// A connection that cannot be opened for a moment, by a fault of this machine, is dialled again, and its request
// is served by its server, which receives it once.
func TestTransientLocalDialErrorIsRetried(t *testing.T) {
	for _, errno := range localErrnos {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			s := testutil.NewServer(t, testutil.Echo)
			f := &testutil.FailingDial{Err: testutil.DialError("connect", errno), Times: 3}
			n, _ := startNode(t, testConfig(testutil.CompleteList(testutil.ListEntry("s1", s.Address(), "in_service"))), func(n *Node) { n.upstream.Dial = f.Dial })
			c := dial(t, n)
			c.Send("POST", "/note/k", "r", "x", "60")
			c.Expect(t, 200, "for r")
			if s.Received() != 1 || f.Dials.Load() != 4 || n.upstream.Connections() != 1 {
				t.Errorf("%d requests at the server after %d dials, %d connections open", s.Received(), f.Dials.Load(), n.upstream.Connections())
			}
		})
	}
}

// A local fault loses no watch event: a pushed watch is dialled again at once, and where lists are polled the
// module is not notified of a failure, after which it would back off.
func TestLocalDialErrorIsNoDiscoveryFailure(t *testing.T) {
	for _, asked := range []bool{false, true} {
		for _, times := range []int32{3, 1e6} {
			t.Run(fmt.Sprint("asked=", asked, " times=", times), func(t *testing.T) {
				ag := testutil.NewRegistryAgent(t)
				ag.Set(false, testutil.CompleteList(testutil.ListEntry("s1", "127.0.0.1:1", "in_service")))
				cfg := testConfig("")
				cfg.Discovery, cfg.Settings.PollDiscovery = ag.Addr().String(), asked
				events, waits := make(chan event, 10), make(chan time.Duration, 10)
				d := newDiscovery(cfg, -1, func(e event) { events <- e }, testutil.DiscardLog())
				d.startupWait = testutil.Limit
				d.after = func(wait time.Duration) <-chan time.Time {
					waits <- wait
					return time.After(wait)
				}
				f := &testutil.FailingDial{Err: testutil.DialError("connect", syscall.ENETUNREACH), Times: times}
				d.currentAddress().dial = f.Dial
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if asked {
					go d.runPolled(ctx)
					d.subscribe()
				} else {
					go d.runPushed(ctx)
				}
				if times > 3 { // it lasts: neither reported as a failure nor retried in a hot loop
					for range 2 {
						if wait := testutil.Wait(t, waits, "a wait"); wait != retryInterval {
							t.Errorf("waits for %v, want %v", wait, retryInterval)
						}
					}
					if len(events) != 0 {
						t.Errorf("got %#v", <-events)
					}
					return
				}
				if l, ok := testutil.Wait(t, events, "the list").(listReceived); !ok || len(l.list.Entries) != 1 {
					t.Errorf("got %#v", l)
				}
				if len(waits) != 0 {
					t.Errorf("waited for %v", <-waits)
				}
			})
		}
	}
}
