package soak

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// seeds are run in each run of the checks, besides those that ever failed. Promises that state a time are judged only in manual runs, since
// the result of the checks must not depend on how busy the machine is.
var seeds = []uint64{1, 2}

// Guards against lost, duplicated, mixed-up or wrongly refused requests under kills, pauses, stops, cut links and faults of the store and
// of upstreams.
func TestShortSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	is := is.New(t)
	program := buildProgram(t)
	for _, seed := range seeds {
		dir := filepath.Join(t.TempDir(), "run")
		is.NoErr(os.Mkdir(dir, 0o700))
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
		found, err := Run(ctx, Options{
			Seed: seed, Program: program, Dir: dir, For: 6 * time.Second, Entries: 4, Servers: 4, Clients: 12, Output: t.Output(),
		})
		cancel()
		is.NoErr(err)
		for _, f := range found {
			t.Errorf("seed %d: not kept: %s: %s", seed, f.Promise, f.What)
		}
		is.NoErr(os.RemoveAll(dir))
	}
}

// programVariable is the environment variable with the path of the bergamotd under test; empty: it is built.
const programVariable = "BERGAMOT_SOAK_PROGRAM"

// buildProgram returns the path of the bergamotd under test.
func buildProgram(t *testing.T) string {
	t.Helper()
	if program := os.Getenv(programVariable); program != "" {
		return program
	}
	program := filepath.Join(t.TempDir(), "bergamotd")
	out, err := exec.Command("go", "build", "-o", program, "../cmd/bergamotd").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %s", out)
	}
	return program
}

// logsVariable is the environment variable with a folder for the logs of runs.
const logsVariable = "BERGAMOT_SOAK_LOGS"

// keepLogs moves a run's logs to the folder of logsVariable.
func keepLogs(t *testing.T, dir string) {
	to := os.Getenv(logsVariable)
	if to == "" {
		return
	}
	if err := os.CopyFS(filepath.Join(to, filepath.Base(t.Name())), os.DirFS(dir)); err != nil {
		t.Log(err)
	}
}
