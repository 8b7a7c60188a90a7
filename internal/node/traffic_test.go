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

// TestOperationsExplainsEveryFigure holds the on-call page to the traffic line: each key of the line has a row.
func TestOperationsExplainsEveryFigure(t *testing.T) {
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
	n.loop.traffic.LagSamples = 1 // a line without events is left out
	n.loop.logTraffic()
	_, figures, found := strings.Cut(log.String(), "msg=traffic ")
	if !found {
		t.Fatalf("no traffic line: %s", log.String())
	}
	keys := regexp.MustCompile(`(\S+)=`).FindAllStringSubmatch(figures, -1)
	if len(keys) < 20 {
		t.Errorf("found %d figures, want at least 20: %s", len(keys), figures)
	}
	for _, key := range keys {
		if !strings.Contains(string(page), "| `"+key[1]+"` |") {
			t.Errorf("docs/OPERATIONS.md does not explain %s", key[1])
		}
	}
}
