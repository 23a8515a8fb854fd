package forward

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"bergamotcroft.example/bergamot/explain"
	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/routes"
	"bergamotcroft.example/bergamot/scheduler"
	"bergamotcroft.example/bergamot/topo"
)

// Query asks where a request would go now. The request is not sent.
type Query struct {
	Request *http.Request // without credentials and body
	Body    []byte
	Account string // name of the caller's account; empty: none
}

// Explain answers a query with the code that serves requests. It counts, logs and sends nothing. The error is that of the query: the
// entry VM stops, or the scheduler does not answer.
func (f *Front) Explain(ctx context.Context, q Query) (*explain.Route, *result.Error) {
	if f.stopPlan.Load() != nil {
		return nil, errStopping()
	}
	x := &exchange{f: f, r: q.Request.WithContext(ctx), arrival: time.Now(), query: &q}
	out := &explain.Route{Candidates: []explain.Candidate{}, LeftOut: []explain.LeftOut{}}
	s, err := x.explain(ctx)
	x.describe(out)
	switch {
	case err != nil && (err.Code == result.Internal || err.Code == result.ShuttingDown):
		return nil, err
	case err != nil:
		x.describeRefusal(out, err)
	default:
		x.describeDecision(out, s)
	}
	return out, nil
}

// explain does what serve does up to the hand-over to the scheduler, which it asks.
func (x *exchange) explain(ctx context.Context) (*scheduler.Explanation, *result.Error) {
	if err := x.receive(x.takeQueryBody); err != nil {
		return nil, err
	}
	_, cancel := x.withDeadline()
	defer cancel()
	if err := x.previewVersion(); err != nil {
		return nil, err
	}
	prefix := EngineModel(x.service, "")
	return x.f.opts.Gateway.Explain(ctx, x.gatewayWork(), func(u *topo.Upstream) bool {
		return u.Service == x.service || slices.ContainsFunc(u.Models, func(m string) bool { return strings.HasPrefix(m, prefix) })
	})
}

// takeQueryBody takes the body of a query. It is not counted in the memory for request bodies, as it is freed with the answer.
func (x *exchange) takeQueryBody() *result.Error {
	if limit := x.bodyLimit(); int64(len(x.query.Body)) > limit {
		return errBodyTooLarge(limit)
	}
	x.body = x.query.Body
	return nil
}

// previewVersion sets the version at which a resumable stream would run, as bindVersion does.
func (x *exchange) previewVersion() (err *result.Error) {
	if x.hasBoundVersion() {
		x.plannedVersion, err = x.f.opts.Versions.Preview(x.service, x.boundStream(), x.takesUp(), x.call.Remaining)
	}
	return err
}

// classNames are the names of the kinds of routes.
var classNames = map[routes.Kind]string{routes.Once: "once", routes.Idempotent: "idempotent", routes.Stream: "stream"}

// describe sets what is known of the request before the decision.
func (x *exchange) describe(out *explain.Route) {
	if x.table != nil {
		out.Configuration = x.table.Version
	}
	if x.account != nil {
		out.Account = x.account.Caller
	}
	if x.route == nil {
		return
	}
	out.Route, out.Class, out.Resumable, out.Service = x.route.Name, classNames[x.route.Kind], x.route.Resumable, x.service
	out.Priority, out.Model, out.Version = x.priority(), x.call.Model, x.plannedVersion
	out.Tokens = explain.Tokens{Prompt: x.call.Prompt, MaxOutput: x.call.MaxOutput, Hint: x.call.HintOutput}
	out.Times.TargetMS = ms(x.route.Target)
	if !x.deadline.IsZero() {
		out.Times.DeadlineMS = ms(x.deadline.Sub(x.arrival))
	}
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// describeRefusal sets the answer that the caller would get.
func (x *exchange) describeRefusal(out *explain.Route, err *result.Error) {
	w := headRecorder{header: http.Header{}}
	x.f.opts.Codec.Refuse(&w, err)
	out.Decision = explain.RouteOutcome{
		Decision: string(scheduler.Refused), Reason: err.Message, Code: int(err.Code), Result: err.Code.Info().Name, Status: w.status,
		RetryAfter: w.header.Get("Retry-After"),
	}
}

// headRecorder is an http.ResponseWriter that keeps the status and the header.
type headRecorder struct {
	header http.Header
	status int
}

// Header implements http.ResponseWriter.
func (w *headRecorder) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *headRecorder) WriteHeader(status int) { w.status = status }

// Write implements http.ResponseWriter.
func (w *headRecorder) Write(b []byte) (int, error) { return len(b), nil }

// describeDecision sets the decision of the scheduler and the figures behind it.
func (x *exchange) describeDecision(out *explain.Route, s *scheduler.Explanation) {
	r := &s.Request
	out.Tokens.Shared = len(r.Prefix) * policy.PieceTokens
	out.Tokens.ExpectedOutput, out.Tokens.OutputGuessed = r.ExpectedOutput, r.OutputGuessed
	if r.FirstTokenDeadline > 0 {
		out.Times.FirstOutputByMS = ms(r.FirstTokenDeadline - r.Arrival)
	}
	out.Queue = &explain.Queue{Name: s.Queue, Waiting: s.Waiting, Before: s.Before, All: s.QueuedAll, WaitMS: ms(s.WaitAhead)}
	slices.SortStableFunc(s.Candidates, func(a, b scheduler.Candidate) int { return cmp.Compare(a.Cost.Total, b.Cost.Total) })
	out.MoreCandidate = max(len(s.Candidates)-explain.MaxListed, 0)
	for i := range s.Candidates[:len(s.Candidates)-out.MoreCandidate] {
		out.Candidates = append(out.Candidates, describeCandidate(&s.Candidates[i]))
	}
	out.MoreLeftOut = max(len(s.LeftOut)-explain.MaxListed, 0)
	for _, u := range s.LeftOut[:len(s.LeftOut)-out.MoreLeftOut] {
		out.LeftOut = append(out.LeftOut, explain.LeftOut(u))
	}
	if s.Decision == scheduler.Refused {
		x.describeRefusal(out, result.New(s.Code, "refused by the scheduler").WithExecution(result.NotRun).WithRetryAfter(s.RetryAfter))
		return
	}
	out.Decision = explain.RouteOutcome{
		Decision: string(s.Decision), Reason: s.Reason, PromptEngine: s.Chosen.Prefill, DecodeEngine: s.Chosen.Decode, KVSource: s.Chosen.Source,
		CachedTokens: s.Chosen.Cost.Cached * policy.PieceTokens,
	}
	out.Times.ExpectedOutputMS = ms(s.ExpectedFirst)
}

func describeCandidate(c *scheduler.Candidate) explain.Candidate {
	inMS := func(seconds float64) float64 { return seconds * 1000 }
	k := &c.Cost
	return explain.Candidate{
		PromptEngine: c.Prefill, DecodeEngine: c.Decode, KVSource: c.Source, DataCentre: c.DataCentre, CachedTokens: k.Cached * policy.PieceTokens,
		Full: k.Full, HealthFactor: c.HealthFactor, TotalMS: inMS(k.Total),
		Cost: explain.Cost{
			WaitMS: inMS(k.Wait), PromptMS: inMS(k.Prompt), KVFetchMS: inMS(k.Fetch), HandOverMS: inMS(k.HandOver), DataCentreMS: inMS(k.DataCentre),
			OtherMS: inMS(k.Other),
		},
	}
}
