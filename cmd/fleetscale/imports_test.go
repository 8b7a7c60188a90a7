package main

import (
	"os/exec"
	"strings"
	"testing"
)

// What only the scale run needs stays out of the programs that serve.
func TestServicesImportNoneOfTheScaleRun(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", "basaltdrum/cmd/balancer", "basaltdrum/cmd/balancer-sim").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for _, name := range strings.Fields(string(out)) {
		if strings.HasPrefix(name, "github.com/") || strings.HasPrefix(name, "basaltdrum/internal/fleet") {
			t.Errorf("a service imports %s", name)
		}
	}
}
