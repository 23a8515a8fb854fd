package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"bergamotcroft.example/bergamot/accounts"
	"bergamotcroft.example/bergamot/conns"
	"bergamotcroft.example/bergamot/duty"
	"bergamotcroft.example/bergamot/explain"
	"bergamotcroft.example/bergamot/forward"
	"bergamotcroft.example/bergamot/gateway"
	"bergamotcroft.example/bergamot/lease"
	"bergamotcroft.example/bergamot/platform"
	"bergamotcroft.example/bergamot/routes"
	"bergamotcroft.example/bergamot/scheduler"
	"bergamotcroft.example/bergamot/topo"
)

const explainedKey = "a-secret-key"

// explainedVM is an entry VM's scheduler and front over engines that have no address, so that each send fails.
type explainedVM struct {
	*is.I
	e     *Edge
	table *routes.Table
	logs  *observer.ObservedLogs
	// unconfirmed is set if the configuration may have changed.
	unconfirmed bool
}

func newExplainedVM(t *testing.T) *explainedVM {
	t.Helper()
	vm := &explainedVM{I: is.New(t)}
	core, logs := observer.New(zap.InfoLevel)
	vm.e, vm.logs = &Edge{settings: &platform.Settings{DataCentre: "a"}, log: zap.New(core)}, logs
	sched, err := newScheduler(vm.e)
	vm.NoErr(err)
	vm.e.gateway = gateway.New(gateway.Options{Scheduler: sched})
	pool := conns.New(conns.Options{})
	vm.e.front = forward.New(forward.Options{
		Gateway: vm.e.gateway, Pool: pool, Codec: platform.Codec{}, Log: vm.e.log, Table: func() *routes.Table { return vm.table },
		ConfigurationConfirmed: func() bool { return !vm.unconfirmed },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- vm.e.gateway.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
		pool.Close()
	})
	vm.schedule(func(s *scheduler.Scheduler) {
		var list []topo.Upstream
		for i, name := range []string{"p0@1", "p1@1", "d0@1", "d1@1"} {
			role := topo.RoleDecode
			if i < 2 {
				role = topo.RolePrefill
			}
			list = append(list, topo.Upstream{Name: name, Kind: topo.KindEngine, Models: []string{"llm/m"}, Role: role, MaxBatch: 8, KVPieces: 100, DataCentre: "a"})
		}
		s.SetUpstreams(list)
	})
	vm.configure()
	return vm
}

func (vm *explainedVM) schedule(f func(*scheduler.Scheduler)) {
	vm.Helper()
	vm.NoErr(vm.e.gateway.Do(context.Background(), func(_ time.Duration, s *scheduler.Scheduler) { f(s) }))
}

func (vm *explainedVM) configure(list ...topo.Account) {
	vm.table = routes.New(7, []routes.Route{{
		Name: "chat", Host: "h", PathPrefix: "/chat/", Kind: routes.Stream, Timeout: time.Minute, Target: time.Second, MaxUpstreams: 1, Priority: 1,
		Splits: []routes.Split{{Service: "llm", Weight: 1}},
	}}, map[string]*routes.Service{"llm": {Name: "llm", Engine: &routes.Engine{TokensPerEvent: 4}}}, routes.Limits{})
	if len(list) > 0 {
		index, err := accounts.New(list)
		vm.NoErr(err)
		vm.table.Accounts = index
	}
}

func requestHeaders() map[string][]string {
	return map[string][]string{"host": {"h"}, "attempt-id": {"id1"}, "deadline-ms": {"30000"}, "model": {"m"}, "token-counts": {"5000,50"}, "prompt-prefix": {"x:4000,y:1000"}}
}

// query posts a query to the metrics listener. The budget of queries is renewed.
func (vm *explainedVM) query(q explain.RouteQuery) (int, string) {
	b, err := json.Marshal(q)
	vm.NoErr(err)
	return vm.post(b)
}

func (vm *explainedVM) post(b []byte) (int, string) {
	vm.e.queries = queryLimit{}
	w := httptest.NewRecorder()
	vm.e.serveMetrics(w, httptest.NewRequest(http.MethodPost, explain.PathRoute, bytes.NewReader(b)))
	return w.Code, w.Body.String()
}

func (vm *explainedVM) explained(path, account string) (x explain.Route) {
	vm.Helper()
	var before, after bytes.Buffer
	metrics.WritePrometheus(&before, false)
	status, body := vm.query(explain.RouteQuery{Method: "POST", Path: path, Headers: requestHeaders(), Body: []byte("{}"), Account: account})
	metrics.WritePrometheus(&after, false)
	vm.Equal(after.String(), before.String()) // no request is counted
	vm.Equal(status, http.StatusOK)
	vm.True(!strings.Contains(body, explainedKey))
	vm.NoErr(json.Unmarshal([]byte(body), &x))
	return x
}

// send sends the real request.
func (vm *explainedVM) send(path, key string) (w *httptest.ResponseRecorder, sends []map[string]any) {
	vm.logs.TakeAll()
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader("{}"))
	for name, values := range requestHeaders() {
		r.Header.Set(name, values[0])
	}
	r.Host = "h"
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	w = httptest.NewRecorder()
	vm.e.front.ServeHTTP(w, r)
	for _, l := range vm.logs.FilterMessage("send").All() {
		sends = append(sends, l.ContextMap())
	}
	return w, sends
}

// sameRefusal checks that a real request is refused as explained.
func (vm *explainedVM) sameRefusal(x explain.Route, path, key string, status int) {
	vm.Helper()
	w, sends := vm.send(path, key)
	var body struct{ Code int }
	vm.NoErr(json.Unmarshal(w.Body.Bytes(), &body))
	d := x.Decision
	vm.Equal(d.Decision, "refused")
	vm.Equal([]any{d.Status, d.Code, d.RetryAfter}, []any{w.Code, body.Code, w.Header().Get("Retry-After")})
	vm.Equal(w.Code, status)
	vm.Equal(len(sends), 0)
}

// sameSend checks that the first send of a real request goes where explained.
func (vm *explainedVM) sameSend(x explain.Route, path, key string) {
	vm.Helper()
	_, sends := vm.send(path, key)
	vm.Equal(x.Decision.Decision, "sent")
	vm.True(len(sends) > 0)
	vm.Equal([]any{x.Decision.PromptEngine, x.Decision.DecodeEngine}, []any{sends[0]["prompt_at"], sends[0]["upstream"]})
}

// Guards against an answer that differs from what the real request then gets, for an idle fleet, an engine that takes no work, accounts,
// a full fleet, an unknown route, an unconfirmed configuration and none, and against one that contains an account's key.
func TestExplainedRoutesAreTheRealOnes(t *testing.T) {
	vm := newExplainedVM(t)
	x := vm.explained("/chat/x", "")
	vm.Equal([]any{x.Route, x.Class, x.Service, x.Model, x.Priority, x.Tokens.Prompt, x.Tokens.Shared}, []any{"chat", "stream", "llm", "m", 1, 5000, 4000})
	vm.Equal(len(x.Candidates), 4)
	vm.Equal(x.Candidates[0].PromptEngine, x.Decision.PromptEngine)
	vm.Equal(x, vm.withoutTimes(x, vm.explained("/chat/x", ""))) // the first query has changed nothing
	vm.sameSend(x, "/chat/x", "")

	vm = newExplainedVM(t)
	vm.schedule(func(s *scheduler.Scheduler) { s.SetAccepting(x.Decision.PromptEngine, false) })
	y := vm.explained("/chat/x", "")
	vm.True(y.Decision.PromptEngine != x.Decision.PromptEngine)
	vm.Equal(y.LeftOut, []explain.LeftOut{{Upstream: x.Decision.PromptEngine, DataCentre: "a", Reason: "not accepting"}})
	vm.sameSend(y, "/chat/x", "")

	vm = newExplainedVM(t)
	vm.configure(topo.Account{Caller: "hotel", Priority: 0, KeySHA: []string{accounts.HashKey(explainedKey)}})
	vm.sameRefusal(vm.explained("/chat/x", "nobody"), "/chat/x", "another key", http.StatusUnauthorized)
	vm.sameRefusal(vm.explained("/chat/x", ""), "/chat/x", "", http.StatusUnauthorized)
	x = vm.explained("/chat/x", "hotel")
	vm.Equal([]any{x.Account, x.Priority}, []any{"hotel", 0})
	vm.sameSend(x, "/chat/x", explainedKey)

	vm = newExplainedVM(t)
	vm.schedule(func(s *scheduler.Scheduler) {
		for _, u := range s.Fleet().Upstreams {
			u.OwnRunning, u.OwnPrefill = 8, 1e9
			u.OwnPrefillBy[0] = 1e9
		}
	})
	vm.sameRefusal(vm.explained("/chat/x", ""), "/chat/x", "", http.StatusServiceUnavailable)
	vm.sameRefusal(vm.explained("/none/x", ""), "/none/x", "", http.StatusNotFound)
	vm.unconfirmed = true
	vm.sameRefusal(vm.explained("/none/x", ""), "/none/x", "", http.StatusServiceUnavailable)
	vm.table = nil
	vm.sameRefusal(vm.explained("/chat/x", ""), "/chat/x", "", http.StatusServiceUnavailable)
}

// withoutTimes returns y with the parts of x that depend on the time of the query.
func (vm *explainedVM) withoutTimes(x, y explain.Route) explain.Route {
	y.Times = x.Times
	return y
}

// Guards against a query that is answered although it contains credentials, is too large or malformed, and against one whose answer or
// log line repeats a key.
func TestQueriesAreChecked(t *testing.T) {
	vm := newExplainedVM(t)
	for _, c := range []struct {
		query  string
		status int
	}{
		{`{"method":"GET","path":"/chat/x","headers":{"authorization":["Bearer ` + explainedKey + `"]}}`, http.StatusBadRequest},
		{`{"method":"GET","path":"/chat/x","headers":{"Authorization ":["Bearer ` + explainedKey + `"]}}`, http.StatusBadRequest},
		{`{"method":"GET","path":"/chat/x","key":"` + explainedKey + `"}`, http.StatusBadRequest},
		{`{"method":"GET","path":"/chat/x"} {"key":"` + explainedKey + `"}`, http.StatusBadRequest},
		{`{"method":"GET","path":"chat"}`, http.StatusBadRequest},
		{`{"method":"G T","path":"/chat"}`, http.StatusBadRequest},
		{`{"method":"GET","path":"/chat/x"`, http.StatusBadRequest},
		{`{"method":"GET","path":"/chat/x","body":"` + strings.Repeat("AAAA", explain.MaxBodyBytes/3+1) + `"}`, http.StatusRequestEntityTooLarge},
		{`{"method":"GET","path":"/chat/x","body":"` + strings.Repeat("AAAA", explain.MaxBodyBytes) + `"}`, http.StatusRequestEntityTooLarge},
		{`{"method":"GET","path":"/chat/x"}`, http.StatusOK},
	} {
		status, body := vm.post([]byte(c.query))
		vm.Equal(status, c.status)
		vm.True(!strings.Contains(body, explainedKey))
	}
	for _, l := range vm.logs.All() {
		for _, v := range l.ContextMap() {
			s, _ := v.(string)
			vm.True(!strings.Contains(s, explainedKey))
		}
	}
	vm.e.front.Stop(forward.StopPlan{})
	status, _ := vm.query(explain.RouteQuery{Method: "GET", Path: "/chat/x"})
	vm.Equal(status, http.StatusServiceUnavailable)
}

// Guards against queries without a bound: each holds up the scheduler's goroutine and a body in memory.
func TestQueriesAreBounded(t *testing.T) {
	is := is.New(t)
	var l queryLimit
	now := time.Now()
	is.True(l.begin(now))
	is.True(!l.begin(now)) // one at a time
	l.end()
	for range queriesPerSecond - 1 {
		is.True(l.begin(now.Add(500 * time.Millisecond)))
		l.end()
	}
	is.True(!l.begin(now.Add(999 * time.Millisecond)))
	is.True(l.begin(now.Add(time.Second)))
	l.end()
	is.True(!l.begin(now.Add(1400 * time.Millisecond)))

	vm := newExplainedVM(t)
	vm.e.queries.running = true
	w := httptest.NewRecorder()
	vm.e.serveMetrics(w, httptest.NewRequest(http.MethodPost, explain.PathRoute, strings.NewReader(`{}`)))
	is.Equal(w.Code, http.StatusTooManyRequests)
}

// Guards against an answer about the duties that hides one that is not asked for or who holds the lease, and against one of a VM that stops.
func TestDutiesAreExplained(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	inspection := duty.Inspection{
		Now: now, Holds: true, Token: lease.Token{Fencing: 3, Since: now},
		Report: &duty.Report{At: now.Add(-time.Second), Plans: []duty.Plan{{Subject: "s", Text: "p", Reason: "r", Due: []duty.Call{{Subject: "s", Text: "5"}}}}},
		Blocks: []duty.Block{{Reason: "pause", Until: now.Add(1500 * time.Millisecond)}},
	}
	e := &Edge{settings: &platform.Settings{VM: "vm1"}, log: zap.NewNop()}
	e.duties.lease = lease.New(lease.Options{Name: "vm1", Groups: 1})
	e.duties.inspected = []inspectedDuty{{"roles", func() duty.Inspection { return inspection }}, {name: "usage"}}
	get := func() (int, explain.Duties) {
		w := httptest.NewRecorder()
		e.serveMetrics(w, httptest.NewRequest(http.MethodGet, explain.PathDuties, nil))
		var out explain.Duties
		is.NoErr(json.Unmarshal(w.Body.Bytes(), &out))
		return w.Code, out
	}
	status, out := get()
	is.Equal(status, http.StatusOK)
	is.Equal(out, explain.Duties{VM: "vm1", Duties: []explain.Duty{
		{
			Name: "roles", Enabled: true, Stepped: true, Earlier: true, AgeMS: 1000, Unanswered: []explain.Call{},
			Plans: []explain.Plan{{Subject: "s", Text: "p", Reason: "r", Due: []explain.Call{{Subject: "s", Text: "5"}}}}, Blocks: []explain.Block{{Reason: "pause", EndsMS: 1500}},
		},
		{Name: "usage", Plans: []explain.Plan{}, Unanswered: []explain.Call{}, Blocks: []explain.Block{{Reason: "the settings don't ask for it"}}},
	}})
	e.leaving.Store(true)
	status, _ = get()
	is.Equal(status, http.StatusServiceUnavailable)
}
