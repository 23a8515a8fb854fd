// Command bergamot-soak injects random faults into bergamotd processes on loopback and checks their guarantees.
package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/integrii/flaggy"

	"bergamotcroft.example/bergamot/soak"
)

func main() {
	o := soak.Options{For: 20 * time.Second, Entries: 5, Servers: 4, Clients: 24, Output: os.Stdout}
	seeds, only, logDir, untimed := "1", "", "", false
	flaggy.SetName("bergamot-soak")
	flaggy.SetDescription("injects random faults into bergamotd processes and checks their guarantees")
	flaggy.String(&seeds, "", "seeds", "a seed, or a range A..B")
	flaggy.Duration(&o.For, "", "for", "duration of fault injection for each seed")
	flaggy.String(&only, "", "only", "kinds of faults, separated by commas; known: "+strings.Join(soak.Kinds(), ", "))
	flaggy.Int(&o.Entries, "", "entries", "entry VMs, each a process")
	flaggy.Int(&o.Servers, "", "servers", "upstreams of each kind")
	flaggy.Int(&o.Clients, "", "clients", "clients")
	flaggy.String(&o.Program, "", "program", "bergamotd binary to run; empty: built from ./cmd/bergamotd")
	flaggy.String(&logDir, "", "logs", "directory for the logs of runs that fail")
	flaggy.Bool(&untimed, "", "untimed", "do not check guarantees with a time limit, for a busy machine")
	flaggy.Parse()
	o.Timed = !untimed
	if only != "" {
		o.Only = strings.Split(only, ",")
	}
	failed, err := runSeeds(o, seeds, logDir)
	if err != nil {
		fmt.Fprintln(os.Stderr, trace.UserMessage(err))
		os.Exit(2)
	}
	if failed > 0 {
		fmt.Printf("%d seeds failed\n", failed)
		os.Exit(1)
	}
}

// runSeeds runs each seed and returns the number that failed.
func runSeeds(o soak.Options, seeds, logDir string) (int, error) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	from, to, err := parseSeeds(seeds)
	if err != nil {
		return 0, err
	}
	root, err := os.MkdirTemp("", "bergamot-soak")
	if err != nil {
		return 0, trace.ConvertSystemError(err)
	}
	defer os.RemoveAll(root)
	if o.Program == "" {
		o.Program = filepath.Join(root, "bergamotd")
		if out, err := exec.CommandContext(ctx, "go", "build", "-o", o.Program, "./cmd/bergamotd").CombinedOutput(); err != nil {
			return 0, trace.Wrap(err, "build: %s", out)
		}
	}
	failed := 0
	for seed := from; seed <= to && ctx.Err() == nil; seed++ {
		o.Seed, o.Dir = seed, filepath.Join(root, strconv.FormatUint(seed, 10))
		if err := os.Mkdir(o.Dir, 0o700); err != nil {
			return failed, trace.ConvertSystemError(err)
		}
		findings, err := soak.Run(ctx, o)
		if err != nil {
			return failed, err
		}
		counts := map[string]int{}
		for _, f := range findings {
			if counts[f.Promise]++; counts[f.Promise] <= 20 {
				fmt.Printf("seed %d: not kept: %s: %s\n", seed, f.Promise, f.What)
			}
		}
		if len(findings) > 0 {
			failed++
			fmt.Printf("seed %d: findings: %v\n", seed, counts)
			if logDir != "" {
				if err := os.CopyFS(filepath.Join(logDir, strconv.FormatUint(seed, 10)), os.DirFS(o.Dir)); err != nil {
					return failed, trace.ConvertSystemError(err)
				}
			}
		}
	}
	return failed, nil
}

// parseSeeds parses a seed or a range A..B of seeds.
func parseSeeds(s string) (from, to uint64, err error) {
	a, b, isRange := strings.Cut(s, "..")
	if from, err = strconv.ParseUint(a, 10, 64); err != nil {
		return 0, 0, trace.BadParameter("--seeds %q: %v", s, err)
	}
	if !isRange {
		return from, from, nil
	}
	if to, err = strconv.ParseUint(b, 10, 64); err != nil {
		return 0, 0, trace.BadParameter("--seeds %q: %v", s, err)
	}
	return from, to, nil
}
