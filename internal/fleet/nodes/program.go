package nodes

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
)

// BuildProgram builds the program of the real nodes in the directory dir, and returns its path.
func BuildProgram(ctx context.Context, dir string) (string, error) {
	path := filepath.Join(dir, "balancer")
	out, err := exec.CommandContext(ctx, "go", "build", "-o", path, "basaltdrum/cmd/balancer").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build the nodes' program: %w: %s", err, strings.TrimSpace(string(out)))
	}
	return path, nil
}
