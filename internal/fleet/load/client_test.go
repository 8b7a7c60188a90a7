package load

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"basaltdrum/internal/fleet/stats"
	"basaltdrum/internal/testutil"
)

// startServer starts a server that responds to each call with a status and a body, in which "ID" is replaced by the
// call's id.
func startServer(t *testing.T, status int, body string) (address string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(status)
		w.Write([]byte(strings.ReplaceAll(body, "ID", r.Header.Get("X-Request-Id"))))
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func newTestClient(t *testing.T) *Client {
	t.Helper()
	client := NewClient()
	t.Cleanup(client.Close)
	return client
}

func TestCallOutcomes(t *testing.T) {
	for _, test := range []struct {
		name   string
		status int
		body   string
		want   Outcome
		fails  bool
	}{
		{"its own response", http.StatusOK, "for ID", Served, false},
		{"the response to another call", http.StatusOK, "for another", Failed, true},
		{"unknown class", http.StatusNotFound, "", UnknownClass, false},
		{"rejected by a server", http.StatusTooManyRequests, "", Rejected, false},
		{"rejected by a node", http.StatusServiceUnavailable, "", Rejected, false},
		{"failed", http.StatusBadGateway, "", Failed, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			address := startServer(t, test.status, test.body)
			got, err := newTestClient(t).Call(t.Context(), address, Class, "id-1", time.Now().Add(testutil.Timeout))
			if got != test.want || (err != nil) != test.fails {
				t.Errorf("outcome %d, error %v; want outcome %d, an error only for Failed", got, err, test.want)
			}
		})
	}
}

func TestCallEndsAtItsDeadline(t *testing.T) {
	address := startServer(t, http.StatusOK, "for ID")
	if got, err := newTestClient(t).Call(t.Context(), address, Class, "id-1", time.Now()); got != Failed || err == nil {
		t.Errorf("Call() = outcome %d, error %v; want Failed and an error", got, err)
	}
}

// A generator counts every call at every address, and records the latency of served calls after the warm-up.
func TestGeneratorCountsCalls(t *testing.T) {
	t.Parallel()
	const rounds, length = 2, 100 * time.Millisecond
	generator := NewGenerator(newTestClient(t), Spec{
		Name: "test", Rate: 200, Seed: 1, WarmUp: length,
		Addresses: []string{
			startServer(t, http.StatusOK, "for ID"),
			startServer(t, http.StatusServiceUnavailable, ""),
			startServer(t, http.StatusBadGateway, ""),
		},
	})
	var firstRound stats.Tally
	for i := range rounds {
		generator.RunRound(t.Context(), length)
		generator.AddCores(3)
		if i == 0 {
			firstRound = generator.Figures().Tally
		}
	}
	figures := generator.Figures()
	if figures.Served == 0 || figures.Rejected == 0 || figures.Failed == 0 ||
		figures.Answered() != figures.Offered || figures.Lateness.Count != figures.Offered {
		t.Errorf("figures %+v, want calls of each outcome, all answered and their lateness recorded", figures)
	}
	if figures.Latency.Count != figures.Served-firstRound.Served {
		t.Errorf("%d latencies, want %d, one for each served call of the second round",
			figures.Latency.Count, figures.Served-firstRound.Served)
	}
	if figures.Cores != 3 {
		t.Errorf("mean of %v cores in use, want 3", figures.Cores)
	}
}
