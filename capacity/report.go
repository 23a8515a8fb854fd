package capacity

import (
	"context"
	"fmt"
	"io"
	"math"
	"os"
	"runtime"
	"strings"
)

// DefaultFile is the path of the measurements file, which holds the printed lines of tests and benchmarks.
const DefaultFile = "docs/capacity/measurements.txt"

// Run runs the measurements of this process, reads a measurements file and writes the tables of docs/CAPACITY.md.
func Run(ctx context.Context, w io.Writer, file string) error {
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	defer f.Close()
	r, err := ReadRecorded(f)
	if err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	fileSeries, err := recordedSeries(r)
	if err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	measured, err := Measure(ctx)
	if err != nil {
		return err
	}
	c := &costs{series: append(measured, fileSeries...)}
	computed, sum := computeFigures(c, r)
	if c.err != nil {
		return c.err
	}
	writeSeries(w, c.series)
	writeFigures(w, computed)
	writeSum(w, sum)
	return nil
}

func writeSeries(w io.Writer, series []Series) {
	fmt.Fprintf(w, "### Measured points and fits\n\nMeasured with %s on %s/%s, %d cores.\n\n", runtime.Version(), runtime.GOOS, runtime.GOARCH, runtime.NumCPU())
	fmt.Fprintln(w, "| role | cost | points (size: value) | fit | R² | at full size | command |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|")
	commands := []string{inProcess}
	for _, s := range series {
		l, x := s.Line(), s.SizeName
		if s.Log {
			x = "log2(" + x + ")"
		}
		var points []string
		for _, p := range s.Points {
			points = append(points, formatNumber(p.Size)+": "+formatNumber(p.Value))
		}
		full := "slope only"
		if s.Full > 0 {
			kind := "computed"
			if s.Measured() {
				kind = "within the measured sizes"
			}
			full = fmt.Sprintf("%s at %s %s (%s)", formatNumber(s.At(s.Full)), formatNumber(s.Full), s.SizeName, kind)
		}
		sign := "+"
		if l.Slope < 0 {
			sign = "−"
		}
		fmt.Fprintf(w, "| %s | `%s`, %s | %s | %s %s %s × %s | %.3f | %s | %d |\n", s.Role, s.Cost, s.Unit, strings.Join(points, "; "),
			formatNumber(l.Intercept), sign, formatNumber(math.Abs(l.Slope)), x, l.R2, full, commandNumber(&commands, s.Command))
	}
	fmt.Fprintln(w, "\nCommands:")
	fmt.Fprintln(w)
	for i, c := range commands {
		if c == "" {
			c = inProcess
		}
		fmt.Fprintf(w, "%d. `%s`\n", i+1, c)
	}
}

// commandNumber returns the number of a command in the list under the table, and appends a new command to the list.
func commandNumber(commands *[]string, command string) int {
	if command == "" {
		return 1
	}
	for i, c := range *commands {
		if c == command {
			return i + 1
		}
	}
	*commands = append(*commands, command)
	return len(*commands)
}

func writeFigures(w io.Writer, figures []Figure) {
	fmt.Fprint(w, "\n### Costs at the full size\n\nAll are computed from the fits above unless the last column says otherwise.\n\n")
	fmt.Fprintln(w, "| role | figure | value | limit | share | from |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|")
	for _, f := range figures {
		limit, share := "", ""
		if f.Limit > 0 {
			limit, share = formatQuantity(f.Limit, f.Unit), formatShare(f.Value, f.Limit)
		}
		fmt.Fprintf(w, "| %s | %s | %s | %s | %s | %s |\n", f.Role, f.Name, formatQuantity(f.Value, f.Unit), limit, share, f.Derivation)
	}
}

func writeSum(w io.Writer, s Sum) {
	fmt.Fprint(w, "\n### Sum of one node and of the store\n\n")
	fmt.Fprintln(w, "| sum | value | limit | share |")
	fmt.Fprintln(w, "|---|---|---|---|")
	row := func(name string, value float64, unit string, limit float64) {
		fmt.Fprintf(w, "| %s | %s | %s | %s |\n", name, formatQuantity(value, unit), formatQuantity(limit, unit), formatShare(value, limit))
	}
	row("control traffic of a leaf of the configuration's tree, no upstream polled", s.LeafTraffic, "B/s", LimitBytesPerS)
	row("the same with four children", s.InnerTraffic, "B/s", LimitBytesPerS)
	row("the same as a leaf with one engine polled", s.LeafTraffic+s.EngineTraffic, "B/s", LimitBytesPerS)
	row("the same as a leaf with its engines polled at the bound", s.LeafTraffic+s.PolledTraffic, "B/s", LimitBytesPerS)
	row("processor without polls and cache events", s.CPU, "cores", LimitCoreShare)
	row("the same with the cache events of its engines, without decoding JSON", s.CPUWithEvents, "cores", LimitCoreShare)
	row("live heap without prefix indexes and member table", s.Memory, "B", LimitMemoryBytes)
	row("live heap with the full indexes of its engines", s.MemoryWithIndexes, "B", LimitMemoryBytes)
	row("twice that, which the collector's default lets the heap reach", 2*s.MemoryWithIndexes, "B", LimitMemoryBytes)
	row("store writes with the bound of claims", s.Writes, "writes/s", LimitStoreWritesPerS)
	row("store reads", s.Reads, "reads/s", LimitStoreReadsPerS)
	fmt.Fprintf(w, "\nThe load alone is %s engines to a node. ", formatNumber(float64(FullServers)/FullNodes))
	if s.Engines <= 0 {
		fmt.Fprintln(w, "A leaf has nothing left of 4 KB/s for the reports and events of any engine.")
		return
	}
	fmt.Fprintf(w, "What a leaf has left of 4 KB/s carries the reports and events of %s engines as wired today, and the bare hashes of %s engines at "+
		"8 bytes each.\n", formatNumber(s.Engines), formatNumber(s.EnginesHashesOnly))
}

// formatShare formats a value as a share of its limit, in bold above the limit.
func formatShare(value, limit float64) string {
	share := value / limit
	switch {
	case share >= 10:
		return fmt.Sprintf("**%.0f times**", share)
	case share > 1:
		return "**" + formatNumber(100*share) + " %**"
	}
	return formatNumber(100*share) + " %"
}

// formatQuantity formats a value with its unit. 1 KB is 1,024 bytes.
func formatQuantity(v float64, unit string) string {
	if unit == "cores" {
		return formatNumber(100*v) + " % of a core"
	}
	if unit != "B" && unit != "B/s" {
		return formatNumber(v) + " " + unit
	}
	rest := strings.TrimPrefix(unit, "B")
	for _, p := range []struct {
		size float64
		name string
	}{{1 << 40, "TB"}, {1 << 30, "GB"}, {1 << 20, "MB"}, {1 << 10, "KB"}} {
		if math.Abs(v) >= p.size {
			return formatNumber(v/p.size) + " " + p.name + rest
		}
	}
	return formatNumber(v) + " " + unit
}

// formatNumber formats a number with three significant digits.
func formatNumber(v float64) string {
	a := math.Abs(v)
	switch {
	case v == 0:
		return "0"
	case a >= 1e6 || a < 1e-3:
		return fmt.Sprintf("%.3g", v)
	case a >= 100:
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}
