// Command bergamot-replay replays traffic against a cost model of a fleet, runs the scenarios of docs/design.md and
// plots them.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/integrii/flaggy"

	"bergamotcroft.example/bergamot/replay"
)

func main() {
	if err := run(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "bergamot-replay:", err)
		os.Exit(1)
	}
}

func run(w io.Writer) error {
	flaggy.SetName("bergamot-replay")
	flaggy.SetDescription("Replays traffic against a cost model of a fleet, in virtual time.")
	flaggy.DefaultParser.ShowVersionWithVersionFlag = false
	var tracePath, fleetPath, out, only, scenario string
	policy, seed, seeds := "default", 1, 3

	replayCmd := flaggy.NewSubcommand("replay")
	replayCmd.Description = "replay a trace and print its figures"
	replayCmd.String(&tracePath, "", "trace", "trace file, JSON lines")
	replayCmd.String(&fleetPath, "", "fleet", "fleet file, JSON with comments")
	replayCmd.String(&policy, "", "policy", "default, naive, or naive_ and one of routing, admission, health, retry, roles")
	replayCmd.Int(&seed, "", "seed", "seed of every random choice")
	genCmd := flaggy.NewSubcommand("gen")
	genCmd.Description = "generate the trace of a scenario"
	genCmd.String(&scenario, "", "scenario", "scenario name")
	genCmd.Int(&seed, "", "seed", "seed")
	genCmd.String(&out, "o", "output", "file to write")
	suiteCmd := flaggy.NewSubcommand("suite")
	suiteCmd.Description = "run the scenarios and print their figures"
	suiteCmd.Int(&seeds, "", "seeds", "number of seeds")
	suiteCmd.String(&only, "", "only", "run only the scenario with this name")
	reportCmd := flaggy.NewSubcommand("report")
	reportCmd.Description = "plot the scenarios over time, default policy and naive baseline"
	reportCmd.String(&out, "o", "output", "HTML file to write")
	reportCmd.Int(&seed, "", "seed", "seed")
	for _, s := range []*flaggy.Subcommand{replayCmd, genCmd, suiteCmd, reportCmd} {
		flaggy.AttachSubcommand(s, 1)
	}
	capacityCmd, runCapacity := attachCapacity()
	flaggy.Parse()

	switch {
	case replayCmd.Used:
		return replayFile(w, tracePath, fleetPath, policy, uint64(seed))
	case capacityCmd.Used:
		return runCapacity(w)
	case genCmd.Used:
		return generate(scenario, uint64(seed), out)
	case suiteCmd.Used:
		figures, err := replay.Suite(replay.SuiteOptions{Seeds: seeds, Only: only})
		if err != nil {
			return err
		}
		replay.WriteFigures(w, figures)
		return nil
	case reportCmd.Used:
		return writeFile(out, func(w io.Writer) error { return replay.Report(w, uint64(seed)) })
	}
	flaggy.ShowHelp("a command is needed")
	return nil
}

func replayFile(w io.Writer, tracePath, fleetPath, policy string, seed uint64) error {
	p, err := replay.PolicyNamed(policy)
	if err != nil {
		return err
	}
	fleet, err := replay.LoadFleet(fleetPath)
	if err != nil {
		return err
	}
	file, err := os.Open(tracePath)
	if err != nil {
		return err
	}
	defer file.Close()
	t, err := replay.ReadTrace(file)
	if err != nil {
		return fmt.Errorf("%s: %w", tracePath, err)
	}
	figures, err := replay.Play(fleet, t, p, seed)
	if err != nil {
		return err
	}
	replay.WriteFigures(w, figures)
	return nil
}

func generate(scenario string, seed uint64, out string) error {
	t, err := replay.Generate(scenario, seed)
	if err != nil {
		return err
	}
	return writeFile(out, t.Write)
}

func writeFile(path string, f func(io.Writer) error) error {
	if path == "" {
		return fmt.Errorf("-o FILE is needed")
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := f(file); err != nil {
		file.Close()
		return err
	}
	return file.Close()
}
