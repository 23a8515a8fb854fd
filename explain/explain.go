// Package explain prints the timeline of one request from the logs of entry VMs.
//
// It parses the key=value lines that the daemons write and needs no running system.
package explain

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// Around is the time before a request's first line and after its last one in which events of its upstreams are included.
const Around = 2 * time.Second

const maxLineBytes = 1 << 20

// logLine is a parsed line of a log.
type logLine struct {
	at     time.Time
	prefix string // text before the first field, for example the VM name that a log collector adds
	fields map[string]string
	keys   []string // names of the fields in the order of the line
}

var fieldPattern = regexp.MustCompile(`([A-Za-z_][A-Za-z0-9_]*)=("(?:[^"\\]|\\.)*"|\S*)`)

func parseLine(text string) (logLine, bool) {
	first := fieldPattern.FindStringIndex(text)
	if first == nil {
		return logLine{}, false
	}
	l := logLine{prefix: strings.TrimSpace(text[:first[0]]), fields: map[string]string{}}
	for _, m := range fieldPattern.FindAllStringSubmatch(text[first[0]:], -1) {
		if _, ok := l.fields[m[1]]; !ok {
			l.keys = append(l.keys, m[1])
		}
		l.fields[m[1]] = strings.Trim(m[2], `"`)
	}
	at, err := time.Parse(time.RFC3339Nano, l.fields["ts"])
	l.at = at
	return l, err == nil
}

// upstreamFields are the fields whose value is an upstream's name.
var upstreamFields = []string{"upstream", "prompt_at", "fetch_from"}

// Request writes the lines of a request, and the events of the upstreams it was sent to, in order of time.
func Request(out io.Writer, id string, logs ...io.Reader) error {
	var lines []logLine
	for _, r := range logs {
		s := bufio.NewScanner(r)
		s.Buffer(nil, maxLineBytes)
		for s.Scan() {
			if l, ok := parseLine(s.Text()); ok {
				lines = append(lines, l)
			}
		}
		if err := s.Err(); err != nil {
			return trace.Wrap(err)
		}
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	selected := selectLines(lines, id)
	if len(selected) == 0 {
		return trace.NotFound("no line of the logs names request %q", id)
	}
	for i := range selected {
		if err := selected[i].write(out, selected[0].at); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// selectLines returns the lines of a request, and those of its upstreams from Around before it to Around after it.
func selectLines(lines []logLine, id string) []logLine {
	var from, to time.Time
	instances := map[string]bool{}
	for i := range lines {
		if lines[i].fields["request"] != id {
			continue
		}
		if from.IsZero() {
			from = lines[i].at
		}
		to = lines[i].at
		for _, name := range upstreamFields {
			if u := instanceName(lines[i].fields[name]); u != "" {
				instances[u] = true
			}
		}
	}
	if from.IsZero() {
		return nil
	}
	var selected []logLine
	for i := range lines {
		l := &lines[i]
		near := !l.at.Before(from.Add(-Around)) && !l.at.After(to.Add(Around))
		if l.fields["request"] == id || near && l.fields["request"] == "" && instances[instanceName(l.fields["upstream"])] {
			selected = append(selected, *l)
		}
	}
	return selected
}

// instanceName returns an upstream's name without the incarnation after the "@".
func instanceName(name string) string {
	name, _, _ = strings.Cut(name, "@")
	return name
}

// write prints a line with its time offset from the first one.
func (l *logLine) write(out io.Writer, first time.Time) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%+10.3f s", l.at.Sub(first).Seconds())
	if l.prefix != "" {
		b.WriteString("  " + l.prefix)
	}
	b.WriteString("  " + cmp.Or(l.fields["msg"], "?"))
	for _, k := range l.keys {
		switch v := l.fields[k]; {
		case k == "ts" || k == "level" || k == "msg" || k == "request" || v == "":
		case strings.ContainsAny(v, " "):
			fmt.Fprintf(&b, " %s=%q", k, v)
		default:
			fmt.Fprintf(&b, " %s=%s", k, v)
		}
	}
	b.WriteByte('\n')
	_, err := io.WriteString(out, b.String())
	return err
}
