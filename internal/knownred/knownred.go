// Package knownred skips the known failing tests that KNOWN-RED.txt lists, and no others.
package knownred

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// RunVariable is the environment variable that makes the listed tests run nevertheless.
const RunVariable = "BERGAMOT_RUN_KNOWN_RED"

// Skip skips a test whose name is listed in KNOWN-RED.txt at the root of the module.
func Skip(t *testing.T) {
	t.Helper()
	if os.Getenv(RunVariable) != "" {
		return
	}
	list, err := os.ReadFile(filepath.Join(moduleRoot(t), "KNOWN-RED.txt"))
	if err == nil && strings.Contains(string(list), t.Name()+" (") {
		t.Skip("known red: " + t.Name() + ", see KNOWN-RED.txt")
	}
}

// moduleRoot returns the closest directory with a go.mod at or above the test's directory.
func moduleRoot(t *testing.T) string {
	dir, err := os.Getwd()
	if err != nil {
		t.Fatal(err)
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.mod")); err == nil {
			return dir
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			t.Fatal("go.mod not found")
		}
		dir = parent
	}
}
