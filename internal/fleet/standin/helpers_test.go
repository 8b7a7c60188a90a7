package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"

	"basaltdrum/internal/testutil"
)

func TestMain(m *testing.M) { testutil.VerifyTestMain(m) }

// testEndpoint is the endpoint of servers that are never connected to.
const testEndpoint = "127.0.0.1:1"

// testEntries returns the entries of some servers in service.
func testEntries(n int) []ListEntry { return NewRotation(0, n, testEndpoint).Entries() }

// inState returns an entry in another state.
func inState(entry ListEntry, state string) ListEntry {
	entry.State = state
	return entry
}

// testRegistry is a registry with one list, at one address.
type testRegistry struct {
	*Registry
	address string
}

func newTestRegistry(t *testing.T, entries []ListEntry) testRegistry {
	t.Helper()
	r := NewRegistry([][]ListEntry{entries})
	t.Cleanup(func() { r.Close() })
	address, err := r.Listen(0)
	if err != nil {
		t.Fatal(err)
	}
	return testRegistry{r, address}
}

// change makes a new version of the list.
func (r testRegistry) change(t *testing.T, entries ...ListEntry) {
	t.Helper()
	if _, err := r.Change(0, entries); err != nil {
		t.Fatal(err)
	}
}

// get calls for the list, and fails the test if there is no answer.
func (r testRegistry) get(t *testing.T, query string) listBody {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testutil.Timeout)
	defer cancel()
	body, err := r.tryGet(ctx, query)
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// tryGet calls for the list: without a query for the complete one, with one for what has changed.
func (r testRegistry) tryGet(ctx context.Context, query string) (body listBody, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.address+"/registry/instances"+query, nil)
	if err != nil {
		return body, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return body, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return body, err
	}
	if resp.StatusCode != http.StatusOK {
		return body, fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	return body, json.Unmarshal(text, &body)
}

// watchResult is how a watch ended.
type watchResult struct {
	body listBody
	err  error
}

// watch calls for the list from a goroutine, and returns once the registry has got the call.
func (r testRegistry) watch(ctx context.Context, t *testing.T, query string) <-chan watchResult {
	t.Helper()
	before := r.calls()
	result := make(chan watchResult, 1)
	go func() {
		body, err := r.tryGet(ctx, query)
		result <- watchResult{body, err}
	}()
	testutil.Until(t, "the call", func() bool { return r.calls() > before })
	return result
}

// calls returns how many calls the registry has got.
func (r testRegistry) calls() (n int64) {
	for _, b := range r.Traffic.Snapshot().Buckets {
		n += b.Calls
	}
	return n
}
