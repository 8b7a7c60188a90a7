package balancer

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"unicode/utf8"
)

// policyFiles are those that the deploy file names as the module's decisions.
func policyFiles(t *testing.T) []string {
	t.Helper()
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	line := regexp.MustCompile(`(?m)^policy = \[(.*)\]$`).FindSubmatch(text)
	if line == nil {
		t.Fatal("the deploy file names no policy files")
	}
	var files []string
	for _, f := range strings.Split(string(line[1]), ",") {
		files = append(files, strings.Trim(f, ` "`))
	}
	return files
}

// On-call staff read the whole module at night: it stays short and narrow.
func TestModuleStaysReadable(t *testing.T) {
	all := 0
	for _, file := range policyFiles(t) {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		lines := 0
		for i, l := range strings.Split(string(text), "\n") {
			if strings.TrimSpace(l) != "" {
				lines++
			}
			if n := utf8.RuneCountInString(strings.ReplaceAll(l, "\t", "    ")); n > 110 {
				t.Errorf("%s:%d has %d columns, at most 110 are wanted", file, i+1, n)
			}
		}
		if lines > 850 {
			t.Errorf("%s has %d lines that are not blank, at most 850 are allowed", file, lines)
		}
		all += lines
	}
	if all > 1200 {
		t.Errorf("the module has %d lines that are not blank, at most 1200 are allowed", all)
	}
}
