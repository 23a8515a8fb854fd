package ctl

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/explain"
)

// ask runs a command line against an entry VM that gives one answer. It returns the query that the VM got.
func ask(t *testing.T, status int, answer any, in string, args ...string) (exit int, out, errs string, got *explain.RouteQuery, header http.Header) {
	t.Helper()
	vm := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		header, got = r.Header, &explain.RouteQuery{}
		if r.Method == http.MethodPost && json.NewDecoder(r.Body).Decode(got) != nil {
			t.Error("the query is no JSON")
		}
		w.WriteHeader(status)
		if err := json.NewEncoder(w).Encode(answer); err != nil {
			t.Error(err)
		}
	}))
	defer vm.Close()
	var o, e bytes.Buffer
	args = append(args, "--address", strings.TrimPrefix(vm.URL, "http://"), "--key", "operators-key")
	exit = Run(t.Context(), args, Streams{In: strings.NewReader(in), Out: &o, Err: &e, Env: func(string) string { return "" }})
	return exit, o.String(), e.String(), got, header
}

// Guards against a query that lacks what was given on the command line or contains the operator's key, an answer of which the decision
// or a reason is not printed, and a caller's key that is sent or printed.
func TestRouteCommand(t *testing.T) {
	is := is.New(t)
	answer := explain.Route{
		Route: "chat", Class: "stream", Account: "hotel", Queue: &explain.Queue{Name: "m:llm/m", Waiting: 3, Before: 1},
		Candidates: []explain.Candidate{{PromptEngine: "p0", DecodeEngine: "d1", KVSource: "p7", CachedTokens: 4000, TotalMS: 240.5}}, MoreCandidate: 9,
		LeftOut:  []explain.LeftOut{{Upstream: "p3", Reason: "excluded: stalled"}},
		Decision: explain.RouteOutcome{Decision: "sent", PromptEngine: "p0", DecodeEngine: "d1", KVSource: "p7", CachedTokens: 4000},
	}
	args := []string{"route", "POST", "/chat/x?a=1", "--body", "-", "--header", "X-Sections: x:4000,y:1000", "--header", "host: h", "--account", "hotel"}
	exit, out, errs, got, header := ask(t, http.StatusOK, answer, "the body", args...)
	is.Equal([]any{exit, errs}, []any{exitOK, ""})
	is.Equal(*got, explain.RouteQuery{
		Method: "POST", Path: "/chat/x?a=1", Headers: map[string][]string{"X-Sections": {"x:4000,y:1000"}, "Host": {"h"}}, Body: []byte("the body"), Account: "hotel",
	})
	is.Equal(header.Get("Authorization"), "")
	for _, want := range []string{"sent: prompt at p0, output at d1, KV cache of 4000 tokens from p7", "3 waiting, 1 of them before it", "240.5", "and 9 more", "excluded: stalled"} {
		is.True(strings.Contains(out, want))
	}
	_, out, _, _, _ = ask(t, http.StatusOK, answer, "", append(args, "-o", "json")...)
	var decoded explain.Route
	is.NoErr(json.Unmarshal([]byte(out), &decoded))
	is.Equal(decoded, answer)

	refused := explain.Route{Decision: explain.RouteOutcome{Decision: "refused", Code: 2004, Result: "cannot_meet_deadline", Status: 503, RetryAfter: "2.000"}}
	_, out, _, _, _ = ask(t, http.StatusOK, refused, "", "route", "GET", "/")
	is.True(strings.Contains(out, "refused: 2004 cannot_meet_deadline") && strings.Contains(out, "status 503, Retry-After 2.000"))

	exit, out, errs, got, _ = ask(t, http.StatusOK, answer, "", "route", "GET", "/", "--header", "authorization: Bearer a-secret-key")
	is.Equal(exit, exitFailed)
	is.True(got == nil && !strings.Contains(out+errs, "a-secret-key"))
	exit, _, errs, _, _ = ask(t, http.StatusTooManyRequests, explain.QueryError{Code: 2001, Message: "too many"}, "", "route", "GET", "/")
	is.Equal(exit, exitFailed)
	is.True(strings.Contains(errs, "status 429: too many (code 2001"))
}

// Guards against a report of the duties that leaves out who holds the lease, what is due, what has no answer, or what prevents sending.
func TestDutiesCommand(t *testing.T) {
	is := is.New(t)
	answer := explain.Duties{VM: "vm1", Lease: explain.Lease{Holder: "vm2", Fencing: 7}, Duties: []explain.Duty{{
		Name: "capacity", Enabled: true, Stepped: true, Earlier: true,
		Plans:      []explain.Plan{{Subject: "llm", Text: "wien/preemptible:3+0-0>5", Reason: "demand", Due: []explain.Call{{Subject: "llm wien", Text: "5 preemptible servers"}}}},
		Unanswered: []explain.Call{{Subject: "llm graz", Text: "2 on_demand servers"}}, Blocks: []explain.Block{{Reason: "no lease"}, {Subject: "llm wien", Reason: "no servers", EndsMS: 1500}},
	}}}
	exit, out, errs, _, _ := ask(t, http.StatusOK, answer, "", "duties")
	is.Equal([]any{exit, errs}, []any{exitOK, ""})
	for _, want := range []string{
		"vm2 does, with fencing number 7", "under an earlier lease", "plan     llm: wien/preemptible:3+0-0>5; demand", "due      llm wien: 5 preemptible servers",
		"no answer llm graz: 2 on_demand servers", "blocked  all: no lease", "blocked  llm wien: no servers, for 1500.0 ms more",
	} {
		is.True(strings.Contains(out, want))
	}
	_, out, _, _, _ = ask(t, http.StatusOK, answer, "", "duties", "-o", "json")
	var decoded explain.Duties
	is.NoErr(json.Unmarshal([]byte(out), &decoded))
	is.Equal(decoded, answer)
}
