package ctl

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bergamotcroft.example/bergamot/explain"
	"bergamotcroft.example/bergamot/internal/bounded"
	"bergamotcroft.example/bergamot/result"
)

const (
	queryTimeout = 10 * time.Second // the entry VM waits up to 3 s for the query and 1 s for its scheduler
	// maxQueryAnswer bounds an answer: 64 candidates and as many upstreams left out take about 60 KB.
	maxQueryAnswer = 4 << 20
)

// route asks an entry VM where a request would go now.
func (s *session) route(ctx context.Context) error {
	f := s.flags
	q := explain.RouteQuery{Method: f.method, Path: f.path, Headers: map[string][]string{}, Account: f.account}
	for _, h := range f.headers {
		name, value, ok := strings.Cut(h, ":")
		if name = http.CanonicalHeaderKey(strings.TrimSpace(name)); !ok || name == "" {
			return result.New(result.MalformedRequest, `a header is not in the form "Name: value"`) // it may contain a key
		}
		if name == "Authorization" {
			return result.New(result.MalformedRequest, "the header Authorization is not sent; use --account")
		}
		q.Headers[name] = append(q.Headers[name], strings.TrimSpace(value))
	}
	if f.body != "" {
		var err error
		if q.Body, err = s.readInput(f.body); err != nil {
			return err
		}
		if len(q.Body) > explain.MaxBodyBytes {
			return result.New(result.BodyTooLarge, "the body may have %d bytes", explain.MaxBodyBytes)
		}
	}
	var out explain.Route
	return s.query(ctx, http.MethodPost, explain.PathRoute, q, &out, func() { s.printRoute(&out) })
}

// query calls an endpoint for operators of an entry VM and prints its answer, as JSON or with print after it was decoded into out.
func (s *session) query(ctx context.Context, method, path string, body, out any, print func()) error {
	if o := s.flags.output; o != "" && o != "table" && o != "json" {
		return result.New(result.MalformedRequest, "unknown output %q; use table or json", o)
	}
	address := s.flags.address
	if address == "" {
		return result.New(result.SettingMissing, "no address; use --address with the address of an entry VM's metrics")
	}
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	var content io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return result.New(result.Internal, "the query can't be encoded").WithCause(err)
		}
		content = bytes.NewReader(b)
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(address, "/")+path, content)
	if err != nil {
		return result.New(result.MalformedRequest, "--address: %v", err)
	}
	r.Header.Set("Content-Type", "application/json")
	client := &http.Client{Transport: &http.Transport{MaxResponseHeaderBytes: bounded.HeadBytes, DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return result.New(result.StaleEntryVM, "the entry VM does not answer: %v", err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxQueryAnswer))
	if err != nil {
		return result.New(result.StaleEntryVM, "the entry VM's answer is not whole: %v", err)
	}
	if resp.StatusCode != http.StatusOK {
		e := explain.QueryError{Code: int(result.Internal)}
		if json.Unmarshal(b, &e) != nil || e.Message == "" {
			e.Message = "no entry VM with this query is at the address"
		}
		return result.New(result.Code(e.Code), "status %d: %s", resp.StatusCode, e.Message)
	}
	if s.jsonOutput() {
		return s.printJSON(b)
	}
	if err := json.Unmarshal(b, out); err != nil {
		return result.New(result.Internal, "the entry VM's answer can't be read").WithCause(err)
	}
	print()
	return nil
}

func formatMS(ms float64) string { return strconv.FormatFloat(ms, 'f', 1, 64) }

// printRoute prints the decision first, then what it rests on.
func (s *session) printRoute(x *explain.Route) {
	d := &x.Decision
	switch d.Decision {
	case "sent":
		s.printf("sent: prompt at %s, output at %s, KV cache %s, first output expected after %s ms\n", d.PromptEngine, d.DecodeEngine, describeCache(d.CachedTokens, d.KVSource), formatMS(x.Times.ExpectedOutputMS))
	case "refused":
		s.printf("refused: %d %s (%s), status %d", d.Code, d.Result, d.Reason, d.Status)
		if d.RetryAfter != "" {
			s.printf(", Retry-After %s", d.RetryAfter)
		}
		s.printf("\n")
	default:
		s.printf("%s: %s\n", d.Decision, d.Reason)
	}
	if x.Route != "" {
		s.printf("\nroute %s (%s), configuration %d, service %s, model %s, version %s, account %s, priority %d\n", x.Route, x.Class, x.Configuration,
			orDash(x.Service), orDash(x.Model), cmp.Or(x.Version, "any"), orDash(x.Account), x.Priority)
		s.printf("times: target %s ms, first output by %s ms, deadline %s ms\n", formatMS(x.Times.TargetMS), formatMS(x.Times.FirstOutputByMS), formatMS(x.Times.DeadlineMS))
		t := &x.Tokens
		s.printf("tokens: prompt %d (%d shared), output expected %.0f, at most %d\n", t.Prompt, t.Shared, t.ExpectedOutput, t.MaxOutput)
	}
	if q := x.Queue; q != nil {
		s.printf("queue %s: %d waiting, %d of them before it, wait about %s ms\n", q.Name, q.Waiting, q.Before, formatMS(q.WaitMS))
	}
	if len(x.Candidates) > 0 {
		s.printf("\n")
		rows := make([][]string, 0, len(x.Candidates))
		for i := range x.Candidates {
			rows = append(rows, candidateRow(&x.Candidates[i]))
		}
		s.printColumns("PROMPT_AT OUTPUT_AT DC TOTAL_MS WAIT PROMPT KV_FETCH HAND_OVER DC_CHARGE OTHER HEALTH KV_CACHE FULL", rows)
		s.printMore(x.MoreCandidate)
	}
	if len(x.LeftOut) > 0 {
		s.printf("\n")
		var rows [][]string
		for _, u := range x.LeftOut {
			rows = append(rows, []string{u.Upstream, orDash(u.DataCentre), u.Reason})
		}
		s.printColumns("LEFT_OUT DC REASON", rows)
		s.printMore(x.MoreLeftOut)
	}
}

func (s *session) printMore(n int) {
	if n > 0 {
		s.printf("and %d more\n", n)
	}
}

func describeCache(tokens int, source string) string {
	switch {
	case source != "":
		return fmt.Sprintf("of %d tokens from %s", tokens, source)
	case tokens > 0:
		return fmt.Sprintf("of %d tokens there", tokens)
	}
	return "none"
}

func candidateRow(c *explain.Candidate) []string {
	k := &c.Cost
	full := "-"
	if c.Full {
		full = "full"
	}
	return []string{
		c.PromptEngine, c.DecodeEngine, orDash(c.DataCentre), formatMS(c.TotalMS), formatMS(k.WaitMS), formatMS(k.PromptMS), formatMS(k.KVFetchMS),
		formatMS(k.HandOverMS), formatMS(k.DataCentreMS), formatMS(k.OtherMS), formatMS(c.HealthFactor), describeCache(c.CachedTokens, c.KVSource), full,
	}
}

// duties asks an entry VM what it knows of the jobs that one VM at a time performs.
func (s *session) duties(ctx context.Context) error {
	var out explain.Duties
	return s.query(ctx, http.MethodGet, explain.PathDuties, nil, &out, func() { s.printDuties(&out) })
}

func (s *session) printDuties(x *explain.Duties) {
	l := &x.Lease
	switch {
	case l.Held:
		s.printf("%s holds the lease with fencing number %d\n", x.VM, l.Fencing)
	case l.Holder == "":
		s.printf("%s does not hold the lease and knows of no holder\n", x.VM)
	default:
		s.printf("%s does not hold the lease; as far as it knows, %s does, with fencing number %d", x.VM, l.Holder, l.Fencing)
		if l.Released {
			s.printf(" (released)")
		}
		s.printf("\n")
	}
	for i := range x.Duties {
		s.printDuty(&x.Duties[i])
	}
}

func (s *session) printDuty(d *explain.Duty) {
	s.printf("\n%s", d.Name)
	switch {
	case d.Earlier:
		s.printf(" (last step %s ms ago, under an earlier lease)", formatMS(d.AgeMS))
	case d.Stepped:
		s.printf(" (last step %s ms ago)", formatMS(d.AgeMS))
	}
	s.printf("\n")
	for _, p := range d.Plans {
		s.printf("  plan     %s: %s; %s\n", p.Subject, p.Text, p.Reason)
		for _, c := range p.Due {
			s.printf("  due      %s: %s\n", c.Subject, c.Text)
		}
	}
	for _, c := range d.Unanswered {
		s.printf("  no answer %s: %s\n", c.Subject, c.Text)
	}
	for _, b := range d.Blocks {
		s.printf("  blocked  %s: %s", cmp.Or(b.Subject, "all"), b.Reason)
		if b.EndsMS > 0 {
			s.printf(", for %s ms more", formatMS(b.EndsMS))
		}
		s.printf("\n")
	}
}
