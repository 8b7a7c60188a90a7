package nodes

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
)

// BuildProgram builds the real nodes' program in a folder.
func BuildProgram(ctx context.Context, dir string) (string, error) {
	path := filepath.Join(dir, "balancer")
	out, err := exec.CommandContext(ctx, "go", "build", "-o", path, "basaltdrum/cmd/balancer").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, strings.TrimSpace(string(out)))
	}
	return path, nil
}
