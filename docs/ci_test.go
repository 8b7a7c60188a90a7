package docs

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// TestCIKeepsGoFlags guards against a test command that loses the flags which the machine's Go is set to in a file: CI
// adds the flag that skips the tests of KNOWN-RED.txt to them.
func TestCIKeepsGoFlags(t *testing.T) {
	chdirToRoot(t)
	root := t.TempDir()
	writeFile(t, filepath.Join(root, ".ci/run"), strings.Join(readLines(t, ".ci/run"), "\n"))
	writeFile(t, filepath.Join(root, "README.md"), "<!-- test -->\n```sh\necho flags: $(go env GOFLAGS)\n```\n")
	writeFile(t, filepath.Join(root, "KNOWN-RED.txt"), "TestLate/slow | true | no seed | late | slow | issue 1\n")
	goSettings := filepath.Join(root, "goenv")
	writeFile(t, goSettings, "GOFLAGS=-trimpath -short\n")

	ci := exec.Command("bash", filepath.Join(root, ".ci/run"))
	ci.Env = slices.DeleteFunc(os.Environ(), func(variable string) bool {
		return strings.HasPrefix(variable, "GOFLAGS=")
	})
	ci.Env = append(ci.Env, "GOENV="+goSettings)
	output, err := ci.CombinedOutput()
	if err != nil {
		t.Fatalf("CI failed: %v\n%s", err, output)
	}
	want := "flags: -trimpath -short -skip=^TestLate$/^slow$"
	if lines := strings.Split(string(output), "\n"); !slices.Contains(lines, want) {
		t.Errorf("the test command was run without %q:\n%s", want, output)
	}
}

// writeFile writes a file, and creates its directory if it does not exist.
func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}
