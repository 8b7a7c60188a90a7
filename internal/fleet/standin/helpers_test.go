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

// newTestEntries returns the entries of n servers in service.
func newTestEntries(n int) []ListEntry { return NewRotation(0, n, testEndpoint).Entries() }

// withState returns a copy of an entry in another state.
func withState(entry ListEntry, state string) ListEntry {
	entry.State = state
	return entry
}

// testRegistry is a registry with one list and one address.
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

// mustChange makes a new version of the list.
func (r testRegistry) mustChange(t *testing.T, entries ...ListEntry) {
	t.Helper()
	if _, err := r.Change(0, entries); err != nil {
		t.Fatal(err)
	}
}

// mustGet requests the list, and fails the test if there is no response.
func (r testRegistry) mustGet(t *testing.T, query string) listBody {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testutil.Timeout)
	defer cancel()
	body, err := r.get(ctx, query)
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// get requests the list: the complete one if query is empty, otherwise the changes that match the query.
func (r testRegistry) get(ctx context.Context, query string) (body listBody, err error) {
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

// watchResult is the result of a watch.
type watchResult struct {
	body listBody
	err  error
}

// watch requests the list in a goroutine, and returns once the registry has received the call.
func (r testRegistry) watch(ctx context.Context, t *testing.T, query string) <-chan watchResult {
	t.Helper()
	before := r.calls()
	result := make(chan watchResult, 1)
	go func() {
		body, err := r.get(ctx, query)
		result <- watchResult{body, err}
	}()
	testutil.Until(t, "the registry to receive the call", func() bool { return r.calls() > before })
	return result
}

// calls returns how many calls the registry has received.
func (r testRegistry) calls() (count int64) {
	for _, bucket := range r.Traffic.Snapshot().Buckets {
		count += bucket.Calls
	}
	return count
}
