// Package replay runs recorded or generated traffic against a cost model of the fleet in virtual time, with the
// daemon's own scheduler and policies at several entry VMs.
//
// Invariants: there is no wall clock and no unseeded random number, so the same input and seed give the same output
// byte for byte; lost, doubled, cut and falsely reported requests are counted from what upstreams ran and callers
// received, not from what the scheduler reports.
package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/gravitational/trace"
)

// Line is one line of a trace: a request for a model or a service, or an event.
type Line struct {
	AtMS int64 `json:"at_ms"`

	Caller          string `json:"caller,omitempty"`
	Class           string `json:"class,omitempty"`
	Model           string `json:"model,omitempty"`
	PromptTokens    int    `json:"prompt_tokens,omitempty"`
	PrefixID        string `json:"prefix_id,omitempty"`
	PrefixTokens    int    `json:"prefix_tokens,omitempty"`
	OutputTokens    int    `json:"output_tokens,omitempty"`
	Service         string `json:"service,omitempty"`
	ServiceMS       int64  `json:"service_ms,omitempty"`
	Idempotent      bool   `json:"idempotent,omitempty"`
	Key             string `json:"key,omitempty"`
	DeadlineMS      int64  `json:"deadline_ms,omitempty"`
	CrashesUpstream bool   `json:"crashes_upstream,omitempty"`

	Event    string  `json:"event,omitempty"`
	Upstream string  `json:"upstream,omitempty"`
	Factor   float64 `json:"factor,omitempty"`
	ForMS    int64   `json:"for_ms,omitempty"`
	LagMS    int64   `json:"lag_ms,omitempty"`
	DelayMS  int64   `json:"delay_ms,omitempty"`
}

// Trace is a sequence of lines in order of time.
type Trace []Line

// At returns the line's time.
func (l *Line) At() time.Duration { return ms(l.AtMS) }

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// events maps each known event to whether it names an upstream.
var events = map[string]bool{
	"slow_upstream": true, "kill_upstream": true, "withdraw_upstream": true, "leave_upstream": true, "lose_answers": true,
	"delay_reports": false, "store_down": false, "store_slow": false,
}

// ReadTrace parses a trace. Errors include the line number.
func ReadTrace(r io.Reader) (Trace, error) {
	var t Trace
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, 1<<20)
	for n := 1; sc.Scan(); n++ {
		text := bytes.TrimSpace(sc.Bytes())
		if len(text) == 0 {
			continue
		}
		d := json.NewDecoder(bytes.NewReader(text))
		d.DisallowUnknownFields()
		var l Line
		if err := d.Decode(&l); err != nil {
			return nil, trace.BadParameter("line %d: %v", n, err)
		}
		if err := l.check(); err != nil {
			return nil, trace.BadParameter("line %d: %v", n, err)
		}
		t = append(t, l)
	}
	if err := sc.Err(); err != nil {
		return nil, trace.Wrap(err)
	}
	t.sort()
	return t, nil
}

func (t Trace) sort() {
	slices.SortStableFunc(t, func(a, b Line) int { return int(a.AtMS - b.AtMS) })
}

func (l *Line) check() error {
	if l.AtMS < 0 {
		return fmt.Errorf("at_ms is negative")
	}
	if l.Event != "" {
		return l.checkEvent()
	}
	if (l.Model == "") == (l.Service == "") {
		return fmt.Errorf("a request needs either model or service")
	}
	if l.Caller == "" || l.Class == "" || l.DeadlineMS <= 0 {
		return fmt.Errorf("a request needs caller, class and a positive deadline_ms")
	}
	if l.Model != "" && (l.PromptTokens < 1 || l.OutputTokens < 1) {
		return fmt.Errorf("prompt_tokens and output_tokens must be at least 1")
	}
	if l.PrefixTokens < 0 || l.PrefixTokens > l.PromptTokens {
		return fmt.Errorf("prefix_tokens must lie between 0 and prompt_tokens")
	}
	if l.Service != "" && l.ServiceMS < 1 {
		return fmt.Errorf("service_ms must be at least 1")
	}
	return nil
}

func (l *Line) checkEvent() error {
	named, ok := events[l.Event]
	if !ok {
		return fmt.Errorf("unknown event %q", l.Event)
	}
	if named && l.Upstream == "" {
		return fmt.Errorf("event %q needs upstream", l.Event)
	}
	if l.Event == "slow_upstream" && l.Factor < 1 {
		return fmt.Errorf("factor must be at least 1")
	}
	return nil
}

// Write writes the trace as JSON lines.
func (t Trace) Write(w io.Writer) error {
	b := bufio.NewWriter(w)
	e := json.NewEncoder(b)
	for i := range t {
		if err := e.Encode(&t[i]); err != nil {
			return trace.Wrap(err)
		}
	}
	return trace.Wrap(b.Flush())
}

// Requests returns the number of lines that are requests.
func (t Trace) Requests() int {
	n := 0
	for i := range t {
		if t[i].Event == "" {
			n++
		}
	}
	return n
}

// End returns the time of the last line.
func (t Trace) End() time.Duration {
	if len(t) == 0 {
		return 0
	}
	return t[len(t)-1].At()
}
