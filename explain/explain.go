// Package explain tells the story of one request from the logs of entry VMs.
//
// It reads the key=value lines that the daemons write and knows their fields, and needs no running system.
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

// Around is how long before a request's first line and after its last one the events of its upstreams belong to its story.
const Around = 2 * time.Second

// maxLine bounds a line of a log.
const maxLine = 1 << 20

// line is one event.
type line struct {
	at     time.Time
	where  string // text before the first field, such as the name that a collector puts there
	fields map[string]string
	order  []string
}

var field = regexp.MustCompile(`([A-Za-z_][A-Za-z0-9_]*)=("(?:[^"\\]|\\.)*"|\S*)`)

func parse(text string) (line, bool) {
	first := field.FindStringIndex(text)
	if first == nil {
		return line{}, false
	}
	l := line{where: strings.TrimSpace(text[:first[0]]), fields: map[string]string{}}
	for _, m := range field.FindAllStringSubmatch(text[first[0]:], -1) {
		if _, ok := l.fields[m[1]]; !ok {
			l.order = append(l.order, m[1])
		}
		l.fields[m[1]] = strings.Trim(m[2], `"`)
	}
	at, err := time.Parse(time.RFC3339Nano, l.fields["ts"])
	l.at = at
	return l, err == nil
}

// upstreams are the fields that name an upstream.
var upstreams = []string{"upstream", "prompt_at", "fetch_from"}

// Request writes the lines of a request in the order of their time, with the events of the upstreams that it was sent to.
func Request(out io.Writer, id string, logs ...io.Reader) error {
	var all []line
	for _, r := range logs {
		s := bufio.NewScanner(r)
		s.Buffer(nil, maxLine)
		for s.Scan() {
			if l, ok := parse(s.Text()); ok {
				all = append(all, l)
			}
		}
		if err := s.Err(); err != nil {
			return trace.Wrap(err)
		}
	}
	slices.SortStableFunc(all, func(a, b line) int { return a.at.Compare(b.at) })
	story := pick(all, id)
	if len(story) == 0 {
		return trace.NotFound("no line of the logs names request %q", id)
	}
	for i := range story {
		if err := story[i].write(out, story[0].at); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// pick returns the lines of a request and those of its upstreams around it.
func pick(all []line, id string) []line {
	var from, to time.Time
	involved := map[string]bool{}
	for i := range all {
		if all[i].fields["request"] != id {
			continue
		}
		if from.IsZero() {
			from = all[i].at
		}
		to = all[i].at
		for _, name := range upstreams {
			if u := instance(all[i].fields[name]); u != "" {
				involved[u] = true
			}
		}
	}
	if from.IsZero() {
		return nil
	}
	var story []line
	for i := range all {
		l := &all[i]
		near := !l.at.Before(from.Add(-Around)) && !l.at.After(to.Add(Around))
		if l.fields["request"] == id || near && l.fields["request"] == "" && involved[instance(l.fields["upstream"])] {
			story = append(story, *l)
		}
	}
	return story
}

// instance is an upstream's name without the mark of its start.
func instance(name string) string {
	name, _, _ = strings.Cut(name, "@")
	return name
}

// write prints a line with its time since the first one.
func (l *line) write(out io.Writer, first time.Time) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%+10.3f s", l.at.Sub(first).Seconds())
	if l.where != "" {
		b.WriteString("  " + l.where)
	}
	b.WriteString("  " + cmp.Or(l.fields["msg"], "?"))
	for _, k := range l.order {
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
