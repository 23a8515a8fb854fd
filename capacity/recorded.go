package capacity

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// Recorded holds the printed lines of tests and benchmarks, by section of the measurements file.
type Recorded map[string]*Section

// Section holds the lines that one command printed.
type Section struct {
	Command string
	Lines   []Recording
}

// Recording is one line: the words in it and its figures.
type Recording struct {
	Kind   string
	Values map[string]float64
}

// lineFormats lists the lines that a section may hold: by the words of the line, its figures in any order.
var lineFormats = map[string]map[string]string{
	"membership": {
		"membership": "nodes idle_bytes_per_s bytes_per_restart bytes_per_change table_bytes with_changes_bytes_per_s at_2200_bytes_per_s " +
			"cpu_us_per_s cpu_us_per_restart",
	},
	"claims": {
		"claims": "seed bookings_per_s writes_per_s reads_per_s operations_per_write claim_ms",
	},
	"limits": {
		"limits": "accounts_per_vm calls_per_s bytes_per_s",
	},
	"configuration": {
		"at rest": "nodes centres worst_s worst_with_a_paused_watcher_s reads_per_s watches_per_s waiting older_than_seen " +
			"with_a_paused_watcher",
		"fit over log2(nodes)": "nodes worst_s worst_with_a_paused_watcher_s",
	},
	"lease": {
		"at rest":         "nodes reads_per_s writes_per_s worst_second",
		"":                "nodes dead groups without_authority_s reads_per_s writes_per_s worst_second",
		"after an outage": "nodes reads_per_s writes_per_s worst_second",
	},
	"relay": {
		"BenchmarkRelayedToken/direct":  "runs ns/op cpu_ns/token B/op allocs/op",
		"BenchmarkRelayedToken/relayed": "runs ns/op cpu_ns/token B/op allocs/op",
	},
}

// logPrefix matches the prefix that the testing package adds to a line of t.Log.
var logPrefix = regexp.MustCompile(`^\s*\w+_test\.go:\d+: `)

// ReadRecorded reads a measurements file. A line "$ SECTION: COMMAND" begins a section; the lines after it are those that the
// command printed. Blank lines and lines that begin with # are skipped. Any other line must be of a known kind.
func ReadRecorded(r io.Reader) (Recorded, error) {
	out := Recorded{}
	var name string
	scan := bufio.NewScanner(r)
	for n := 1; scan.Scan(); n++ {
		line := strings.TrimSpace(logPrefix.ReplaceAllString(scan.Text(), ""))
		if line == "" || line[0] == '#' {
			continue
		}
		if head, ok := strings.CutPrefix(line, "$ "); ok {
			section, command, ok := strings.Cut(head, ": ")
			if !ok || lineFormats[section] == nil || out[section] != nil {
				return nil, fmt.Errorf("line %d: want \"$ SECTION: COMMAND\" with a known section, once: %q", n, line)
			}
			name, out[section] = section, &Section{Command: command}
			continue
		}
		if name == "" {
			return nil, fmt.Errorf("line %d: before the first section: %q", n, line)
		}
		rec, err := parseLine(line)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
		if err := rec.check(name); err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
		out[name].Lines = append(out[name].Lines, rec)
	}
	return out, scan.Err()
}

func parseLine(line string) (Recording, error) {
	if strings.HasPrefix(line, "Benchmark") {
		return parseBenchmark(line)
	}
	rec := Recording{Values: map[string]float64{}}
	var words []string
	for token := range strings.FieldsSeq(line) {
		token = strings.TrimSuffix(token, ":")
		key, text, ok := strings.Cut(token, "=")
		if key == "measure" && ok {
			token, ok = text, false
		}
		if !ok {
			words = append(words, token)
			continue
		}
		if err := rec.set(key, text); err != nil {
			return rec, err
		}
	}
	rec.Kind = strings.Join(words, " ")
	return rec, nil
}

// parseBenchmark reads "BenchmarkName-10  1000  12.5 ns/op  3 unit".
func parseBenchmark(line string) (Recording, error) {
	f := strings.Fields(line)
	rec := Recording{Kind: f[0], Values: map[string]float64{}}
	if i := strings.LastIndexByte(f[0], '-'); i > 0 {
		rec.Kind = f[0][:i]
	}
	if len(f) < 4 || len(f)%2 != 0 {
		return rec, fmt.Errorf("malformed benchmark line %q", line)
	}
	if err := rec.set("runs", f[1]); err != nil {
		return rec, err
	}
	for i := 2; i < len(f); i += 2 {
		if err := rec.set(f[i+1], f[i]); err != nil {
			return rec, err
		}
	}
	return rec, nil
}

func (r *Recording) set(key, text string) error {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return fmt.Errorf("%s: no number: %q", key, text)
	}
	if _, ok := r.Values[key]; ok {
		return fmt.Errorf("%s is given twice", key)
	}
	r.Values[key] = v
	return nil
}

// check returns an error for a line of a kind unknown to the section, and for a missing or an additional figure.
func (r *Recording) check(section string) error {
	want, ok := lineFormats[section][r.Kind]
	if !ok {
		return fmt.Errorf("unknown line %q in section %s", r.Kind, section)
	}
	keys := strings.Fields(want)
	for _, k := range keys {
		if _, ok := r.Values[k]; !ok {
			return fmt.Errorf("%s %q: %s is missing", section, r.Kind, k)
		}
	}
	for k := range r.Values {
		if !slices.Contains(keys, k) {
			return fmt.Errorf("%s %q: unknown figure %s", section, r.Kind, k)
		}
	}
	return nil
}

// minPoints is the minimum number of sizes for a fit.
const minPoints = 3

// points returns one figure (value) of all lines of a kind by another one (size), and the command of the section.
func (r Recorded) points(section, kind, size, value string) ([]Point, string, error) {
	s := r[section]
	if s == nil {
		return nil, "", fmt.Errorf("section %s is missing", section)
	}
	var out []Point
	for _, l := range s.Lines {
		if l.Kind == kind {
			out = append(out, Point{l.Values[size], l.Values[value]})
		}
	}
	if countSizes(out) < minPoints {
		return nil, "", fmt.Errorf("%s %q: %d sizes of %s, at least %d are needed", section, kind, countSizes(out), size, minPoints)
	}
	return out, s.Command, nil
}

func countSizes(points []Point) int {
	distinct := map[float64]bool{}
	for _, p := range points {
		distinct[p.Size] = true
	}
	return len(distinct)
}
