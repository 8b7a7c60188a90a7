package main

import (
	"os/exec"
	"strings"
	"testing"
)

// What only the scale run needs stays out of the programs that serve: its packages and those of registries.
func TestServicesImportNoneOfTheScaleRun(t *testing.T) {
	t.Parallel()
	list := exec.Command("go", "list", "-deps", "basaltdrum/cmd/balancer", "basaltdrum/cmd/balancer-sim")
	out, err := list.CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for name := range strings.FieldsSeq(string(out)) {
		if strings.HasPrefix(name, "github.com/") || strings.HasPrefix(name, "basaltdrum/internal/fleet") {
			t.Errorf("a service imports %s", name)
		}
	}
}
