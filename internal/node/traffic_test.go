package node

import (
	"bytes"
	"log/slog"
	"os"
	"regexp"
	"strings"
	"testing"

	"basaltdrum/internal/testutil"
)

// Each key of the traffic line has a row on the operations page.
func TestOperationsPageExplainsEveryTrafficKey(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	var log bytes.Buffer
	n, err := New(testConfig(testutil.CompleteList()), slog.New(slog.NewTextHandler(&log, nil)))
	if err != nil {
		t.Fatal(err)
	}
	defer n.listener.Close()
	n.loop.traffic.LagSamples = 1 // without events, no line is written
	n.loop.logTraffic()
	_, attributes, found := strings.Cut(log.String(), "msg=traffic ")
	if !found {
		t.Fatalf("got log %q, want a traffic line", log.String())
	}
	keys := regexp.MustCompile(`(\S+)=`).FindAllStringSubmatch(attributes, -1)
	if len(keys) < 20 {
		t.Errorf("got %d keys, want at least 20: %s", len(keys), attributes)
	}
	for _, key := range keys {
		if !strings.Contains(string(page), "| `"+key[1]+"` |") {
			t.Errorf("got no row for key %s in docs/OPERATIONS.md, want one", key[1])
		}
	}
}
