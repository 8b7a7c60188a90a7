package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"basaltdrum/internal/fleet/stats"
)

// limit is how long a test waits for what must come; only a failing one waits so long.
const limit = 60 * time.Second

func targets(n int) []ListEntry { return NewRotation(0, n, "127.0.0.1:1").entries }

// tell asks an address of a registry.
func tell(t *testing.T, address, query string) listBody {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	body, err := tryTell(ctx, address, query)
	if err != nil {
		t.Fatal(err)
	}
	return body
}

func tryTell(ctx context.Context, address, query string) (a listBody, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/registry/instances"+query, nil)
	if err != nil {
		return a, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return a, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return a, err
	}
	if resp.StatusCode != http.StatusOK {
		return a, fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	return a, json.Unmarshal(text, &a)
}

func newTestRegistry(t *testing.T, services ...[]ListEntry) (*Registry, string) {
	t.Helper()
	r := NewRegistry(services)
	t.Cleanup(func() { r.Close() })
	address, err := r.Listen(0)
	if err != nil {
		t.Fatal(err)
	}
	return r, address
}

func makeChange(t *testing.T, r *Registry, targets ...ListEntry) {
	t.Helper()
	if _, err := r.Change(0, targets); err != nil {
		t.Fatal(err)
	}
}

func TestRegistryTellsWholeListsAndChanges(t *testing.T) {
	r, address := newTestRegistry(t, targets(3))
	if a := tell(t, address, ""); a.Rev != 1 || !a.All || len(a.Entries) != 3 || a.Entries[0].State != InService {
		t.Errorf("the whole list: %+v", a)
	}
	if a := tell(t, address, "?from=1&hold_ms=1"); a.Rev != 1 || a.All || len(a.Entries) != 0 {
		t.Errorf("a hold without news: %+v", a)
	}
	one := targets(3)[1]
	one.State = Terminating
	makeChange(t, r, one)
	one.State = Terminated
	makeChange(t, r, one)
	if a := tell(t, address, "?from=1&hold_ms=60000"); a.Rev != 3 || a.All || len(a.Entries) != 1 || a.Entries[0].State != Terminated {
		t.Errorf("two changes of one entry: %+v", a)
	}
	if a := tell(t, address, "?from=2&hold_ms=60000"); a.Rev != 3 || len(a.Entries) != 1 {
		t.Errorf("the last change: %+v", a)
	}
	if a := tell(t, address, ""); a.Rev != 3 || len(a.Entries) != 2 {
		t.Errorf("the whole list without what has gone: %+v", a)
	}
	if a := tell(t, address, "?from=77&hold_ms=60000"); a.Rev != 3 || !a.All {
		t.Errorf("from a version that never was: %+v", a)
	}
	for range maxChanges {
		makeChange(t, r, targets(3)[0])
	}
	if a := tell(t, address, "?from=1&hold_ms=60000"); !a.All || len(a.Entries) != 2 {
		t.Errorf("from a version that is forgotten: all %v, %d entries", a.All, len(a.Entries))
	}
	for _, query := range []string{"?from=x&hold_ms=1", "?from=1", "?from=1&hold_ms=x"} {
		if a, err := tryTell(context.Background(), address, query); err == nil {
			t.Errorf("%s: %+v", query, a)
		}
	}
	c := r.Traffic.Counted()
	sum, peak, _ := c.Between(time.Unix(0, c.StartNS), time.Now().Add(stats.BucketWidth))
	if sum.Calls != 10 || sum.Conns < 1 || sum.In < 10*50 || sum.Out < 10*50 || peak < 1 || peak > 10 {
		t.Errorf("counted %+v, peak %d", sum, peak)
	}
}

func TestWatchWaitsForNews(t *testing.T) {
	r, address := newTestRegistry(t, targets(2))
	got := make(chan listBody, 1)
	go func() {
		a, err := tryTell(context.Background(), address, "?from=1&hold_ms=60000")
		if err != nil {
			t.Error(err)
		}
		got <- a
	}()
	for r.Traffic.Counted().Open == 0 {
		time.Sleep(time.Millisecond)
	}
	makeChange(t, r, targets(2)[1])
	select {
	case a := <-got:
		if a.Rev != 2 || len(a.Entries) != 1 {
			t.Errorf("%+v", a)
		}
	case <-time.After(limit):
		t.Fatal("the watch is not woken")
	}
}

// A silent registry accepts and answers nothing: not what waited as it fell silent, nor what came meanwhile,
// even after its return. What comes then is answered.
func TestSilence(t *testing.T) {
	r, address := newTestRegistry(t, targets(2))
	ctx, cancel := context.WithCancel(context.Background())
	errs := make(chan error, 2)
	ask := func(query string) {
		before := calls(r)
		go func() {
			_, err := tryTell(ctx, address, query)
			errs <- err
		}()
		for calls(r) == before {
			time.Sleep(time.Millisecond)
		}
	}
	ask("?from=1&hold_ms=50")
	r.Silence(true)
	ask("")
	makeChange(t, r, targets(2)[0])
	r.Silence(false)
	makeChange(t, r, targets(2)[0])
	if a := tell(t, address, "?from=1&hold_ms=60000"); a.Rev != 3 {
		t.Errorf("after the return: %+v", a)
	}
	select {
	case err := <-errs:
		t.Errorf("a lost call ended: %v", err)
	case <-time.After(100 * time.Millisecond):
	}
	cancel()
	for range 2 {
		if err := <-errs; err == nil {
			t.Error("a lost call was answered")
		}
	}
}

// A broken watch ends without an answer; the next one is answered.
func TestBreakWatches(t *testing.T) {
	r, address := newTestRegistry(t, targets(2))
	ended := make(chan error, 1)
	go func() {
		_, err := tryTell(context.Background(), address, "?from=1&hold_ms=60000")
		ended <- err
	}()
	var err error
	for over := false; !over; {
		r.BreakWatches() // before the watch is there it breaks none
		select {
		case err = <-ended:
			over = true
		case <-time.After(time.Millisecond):
		}
	}
	if err == nil {
		t.Error("a broken watch was answered")
	}
	makeChange(t, r, targets(2)[0])
	if a := tell(t, address, "?from=1&hold_ms=60000"); a.Rev != 2 || len(a.Entries) != 1 {
		t.Errorf("after the break: %+v", a)
	}
}

func calls(r *Registry) (n int64) {
	for _, b := range r.Traffic.Counted().Buckets {
		n += b.Calls
	}
	return n
}
