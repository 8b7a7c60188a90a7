package main

import (
	"os/exec"
	"strings"
	"testing"
)

// The programs that serve requests import neither the packages of the scale run nor third-party packages, which only
// the scale run needs.
func TestServicesDoNotImportScaleRun(t *testing.T) {
	t.Parallel()
	list := exec.Command("go", "list", "-deps", "basaltdrum/cmd/balancer", "basaltdrum/cmd/balancer-sim")
	out, err := list.CombinedOutput()
	if err != nil {
		t.Fatalf("go list: %v: %s", err, out)
	}
	for name := range strings.FieldsSeq(string(out)) {
		if strings.HasPrefix(name, "github.com/") || strings.HasPrefix(name, "basaltdrum/internal/fleet") {
			t.Errorf("a service imports %s, which only the scale run may use", name)
		}
	}
}
