package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"

	"bergamotcroft.example/bergamot/admin"
	"bergamotcroft.example/bergamot/admin/adminv1"
	"bergamotcroft.example/bergamot/topo"
)

func (s *session) jsonOutput() bool { return s.flags.output == "json" }

// printf writes to standard output. Errors are ignored: a failed write means that the reader has closed the pipe.
func (s *session) printf(format string, args ...any) { _, _ = fmt.Fprintf(s.Out, format, args...) }

func (s *session) printJSON(b []byte) error {
	var out bytes.Buffer
	if err := json.Indent(&out, b, "", "  "); err != nil {
		return trace.Wrap(err)
	}
	s.printf("%s\n", out.Bytes())
	return nil
}

func (s *session) printList(objects []*adminv1.Object) error {
	values := make([]json.RawMessage, len(objects))
	for i, o := range objects {
		values[i] = o.Value
	}
	b, err := json.Marshal(values)
	if err != nil {
		return trace.Wrap(err)
	}
	return s.printJSON(b)
}

// printColumns prints a header and rows in aligned columns. Spaces separate the columns of the header.
func (s *session) printColumns(header string, rows [][]string) {
	w := tabwriter.NewWriter(s.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, strings.ReplaceAll(header, " ", "\t"))
	for _, r := range rows {
		_, _ = fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	_ = w.Flush() // as for printf
}

// makeRows decodes each object and formats it with row.
func makeRows[T any](objects []*adminv1.Object, row func(T) []string) ([][]string, error) {
	var rows [][]string
	for _, o := range objects {
		var v T
		if err := json.Unmarshal(o.Value, &v); err != nil {
			return nil, trace.Wrap(err, "%s", o.Name)
		}
		rows = append(rows, row(v))
	}
	return rows, nil
}

func (s *session) printTable(kind string, objects []*adminv1.Object) error {
	var header string
	var rows [][]string
	var err error
	switch kind {
	case "intents":
		header = "NAME ACTION UPSTREAM MODELS OPERATOR"
		rows, err = makeRows(objects, intentRow)
	case "plans":
		header = "NAME INTENT ACTION STATE STEP OPERATOR CONFIRMED REASON"
		rows, err = makeRows(objects, planRow)
	case "upstreams":
		header = "NAME KIND DATA-CENTRE STATE ROLE SERVES RUNNING PROBLEM"
		rows, err = makeRows(objects, upstreamRow)
	case "vms":
		header = "NAME DATA-CENTRE ADDRESS HEARD PLATFORM REVISION"
		rows, err = makeRows(objects, vmRow)
	case "orders":
		header = "UPSTREAM ID KIND WHAT STATE PLAN STEP RESULT"
		rows, err = makeRows(objects, orderRow)
	case "config":
		header = "REVISION AUTHOR ACCEPTED MODELS UPSTREAMS SERVICES ACCOUNTS"
		rows, err = makeRows(objects, configRow)
	}
	if err == nil {
		s.printColumns(header, rows)
	}
	return err
}

func orDash(v string) string {
	if v == "" {
		return "-"
	}
	return v
}

func intentRow(in topo.Intent) []string {
	var models []string
	for _, x := range in.Serve {
		models = append(models, x.Model+"@"+orDash(x.Version))
	}
	return []string{in.Name, string(in.Action), orDash(in.Upstream), orDash(strings.Join(models, ",")), orDash(in.Operator)}
}

func planRow(p topo.Plan) []string {
	return []string{p.Name, p.Intent.Name, string(p.Intent.Action), string(p.State), fmt.Sprintf("%d/%d", p.NextStep, len(p.Steps)),
		orDash(p.Operator), orDash(p.ConfirmedBy), orDash(firstNonEmpty(p.Reason, p.Progress))}
}

func upstreamRow(u admin.UpstreamRow) []string {
	problem, running := "", ""
	if u.Status != nil {
		problem = u.Status.Problem
	}
	if u.Load != nil {
		running = "unreachable"
		if u.Load.Reachable {
			running = strconv.Itoa(u.Load.Running + u.Load.Queued)
		}
	}
	return []string{u.Name, string(u.Kind), orDash(u.DataCentre), string(u.State), string(u.Role),
		orDash(firstNonEmpty(strings.Join(u.Models, ","), u.Service)), orDash(running), orDash(problem)}
}

func vmRow(v admin.VMRow) []string {
	return []string{v.Name, orDash(v.DataCentre), orDash(v.Address), v.Heard, v.Platform, strconv.FormatUint(v.ConfigRevision, 10)}
}

func orderRow(o topo.Order) []string {
	return []string{o.Upstream, o.ID, string(o.Kind), orDash(firstNonEmpty(o.Adapter, o.Model, string(o.Role))), string(o.State),
		orDash(o.Plan), strconv.Itoa(o.Step), orDash(o.Result)}
}

func configRow(c topo.Configuration) []string {
	return []string{strconv.FormatUint(c.Revision, 10), orDash(c.Author), c.Accepted.UTC().Format(time.RFC3339), strconv.Itoa(len(c.Models)),
		strconv.Itoa(len(c.Upstreams)), strconv.Itoa(len(c.Services)), strconv.Itoa(len(c.Accounts))}
}

func (s *session) printHistory(revisions []*adminv1.Revision) error {
	if s.jsonOutput() {
		b, err := json.Marshal(revisions)
		if err != nil {
			return trace.Wrap(err)
		}
		return s.printJSON(b)
	}
	var rows [][]string
	for _, r := range revisions {
		rows = append(rows, []string{strconv.FormatUint(r.Revision, 10), orDash(r.Author), r.Accepted})
	}
	s.printColumns("REVISION AUTHOR ACCEPTED", rows)
	return nil
}

// stepDetail describes what a step changes at its upstream.
func stepDetail(st topo.Step) string {
	switch {
	case st.Serve != nil:
		return "serve " + st.Serve.Model + "@" + orDash(st.Serve.Version) + " to " + firstNonEmpty(strings.Join(st.Serve.Callers, ","), "all callers")
	case st.With != "":
		return "work moves to " + st.With
	}
	return firstNonEmpty(st.Adapter, st.Model, string(st.Role))
}

func (s *session) printPlan(p *topo.Plan) {
	s.printf("plan %s for intent %q (%s) by %s\n\n", p.Name, p.Intent.Name, p.Intent.Action, orDash(p.Operator))
	var rows [][]string
	for i, st := range p.Steps {
		rows = append(rows, []string{strconv.Itoa(i + 1), string(st.Kind), orDash(st.Upstream), orDash(stepDetail(st)), seconds(st.Duration)})
	}
	s.printColumns("STEP CHANGE UPSTREAM DETAIL TIME", rows)
	c := p.Cost
	s.printf("\n")
	s.printColumns("COST VALUE", [][]string{
		{"time to finish", seconds(c.TimeToFinish)},
		{"engine-seconds out of service", fmt.Sprintf("%.1f", c.EngineSecondsOut)},
		{"capacity lost at the worst moment", percent(c.CapacityLostShare)},
		{"present load in what remains", percent(c.LoadShareOfRemaining) + ", " + choose(c.Fits, "fits", "does not fit: the plan will be held back")},
		{"weight store download", fmt.Sprintf("%.1f GB in %.0f s", float64(c.WeightBytes)/1e9, c.WeightSeconds)},
		{"KV cache pieces moved, lost", fmt.Sprintf("%d, %d", c.KVPiecesMoved, c.KVPiecesLost)},
		{"provider credits", fmt.Sprintf("%.2f%s", c.Credits, choose(c.CreditsExpireFirst, ", which run out or expire first", ""))},
	})
}

func seconds(d time.Duration) string { return fmt.Sprintf("%.1f s", d.Seconds()) }

func percent(share float64) string { return fmt.Sprintf("%.0f %%", 100*share) }

func choose(ok bool, a, b string) string {
	if ok {
		return a
	}
	return b
}

// printProgress prints one line for the present state of a plan, unless it equals the previous line.
func (s *session) printProgress(w *watchProgress) {
	p := &w.last
	step := "-"
	if p.NextStep < len(p.Steps) {
		st := p.Steps[p.NextStep]
		step = string(st.Kind) + " " + st.Upstream
	}
	line := fmt.Sprintf("%s  %-10s  step %d/%d  %s  %s", p.Name, p.State, min(p.NextStep+1, len(p.Steps)), len(p.Steps), step,
		firstNonEmpty(p.Reason, p.Progress))
	if line = strings.TrimSpace(line); line != w.line {
		s.printf("%s  %s\n", p.Updated.UTC().Format(time.TimeOnly), line)
		w.line = line
	}
}
