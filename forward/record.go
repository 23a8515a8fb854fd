package forward

import (
	"context"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/gateway"
	"bergamotcroft.example/bergamot/result"
)

// metricSet holds the metrics of a Front.
type metricSet struct {
	rejections, failures, leavingAnswers, retryLaterAnswers, limitAnswers, bodyMemory, crashes, outOfOrder, movedPrompts *metrics.Counter
	requests                                                                                                             func(class string, code result.Code) *metrics.Counter
	refusedKeys                                                                                                          func(reason string) *metrics.Counter
	latency, first                                                                                                       func(class string) *metrics.Histogram
}

// maxClassLabels bounds the classes with a series of their own; a configuration may have hundreds of routes.
const maxClassLabels = 64

func newMetricSet() *metricSet {
	m := &metricSet{
		rejections:        metrics.GetOrCreateCounter("bergamot_forward_rejected_sends_total"),
		failures:          metrics.GetOrCreateCounter("bergamot_forward_failed_sends_total"),
		crashes:           metrics.GetOrCreateCounter("bergamot_forward_crashed_upstreams_total"),
		bodyMemory:        metrics.GetOrCreateCounter("bergamot_forward_refused_for_body_memory_total"),
		movedPrompts:      metrics.GetOrCreateCounter("bergamot_forward_moved_prompts_total"),
		outOfOrder:        metrics.GetOrCreateCounter("bergamot_forward_answers_out_of_order_total"),
		leavingAnswers:    metrics.GetOrCreateCounter("bergamot_forward_leaving_answers_total"),
		retryLaterAnswers: metrics.GetOrCreateCounter("bergamot_forward_quiet_answers_total"),
		limitAnswers:      metrics.GetOrCreateCounter("bergamot_forward_limit_answers_total"),
	}
	m.refusedKeys = func(reason string) *metrics.Counter {
		return metrics.GetOrCreateCounter(`bergamot_forward_refused_keys_total{reason="` + reason + `"}`)
	}
	labels := newLabelLimiter(maxClassLabels)
	m.requests = func(class string, code result.Code) *metrics.Counter {
		return metrics.GetOrCreateCounter(`bergamot_forward_requests_total{class="` + labels.label(class) + `",result="` + code.Info().Name + `"}`)
	}
	m.latency = func(class string) *metrics.Histogram {
		return metrics.GetOrCreateHistogram(`bergamot_forward_seconds{class="` + labels.label(class) + `"}`)
	}
	m.first = func(class string) *metrics.Histogram {
		return metrics.GetOrCreateHistogram(`bergamot_forward_first_event_seconds{class="` + labels.label(class) + `"}`)
	}
	return m
}

// logSend calls OnSend and logs where a request is sent and why.
func (x *exchange) logSend(p *gateway.Placement) {
	x.f.opts.OnSend()
	x.f.opts.Log.Info("send", x.requestField(), zap.Int("attempt", p.Number), zap.Bool("hedge", p.Hedge),
		zap.String("service", x.service), zap.String("prompt_at", p.Prefill.Name), zap.String("upstream", p.Decode.Name),
		zap.String("version", p.Decode.Version), zap.String("resumes", clipped(x.call.Resumes)), zap.String("after", clipped(x.call.After)), zap.String("fetch_from", p.Source.Name), zap.Int("tokens", x.call.Prompt), zap.Int("max_output", x.call.MaxOutput),
		zap.Int("hint", x.call.HintOutput), zap.Int("cached_pieces", p.Cached), zap.Float64("backlog", p.Backlog),
		zap.Duration("expected", p.ExpectedFirst), zap.String("parts", x.partIDs()),
		zap.Duration("waited", time.Since(x.arrival)), zap.Duration("left", time.Until(x.deadline)))
}

// logMovedPrompt counts and logs a prompt call that the scheduler has abandoned to give the request to another engine.
func (x *exchange) logMovedPrompt(ctx context.Context, p *gateway.Placement, waited time.Duration) {
	if !gateway.Preempted(ctx) {
		return
	}
	x.f.metrics.movedPrompts.Inc()
	x.f.opts.Log.Info("prompt overdue", x.requestField(), zap.Int("attempt", p.Number), zap.String("upstream", p.Prefill.Name),
		zap.Duration("expected", p.ExpectedFirst), zap.Duration("waited", waited))
}

// partIDs returns the identifiers of the prompt's shared parts in hexadecimal, comma-separated.
func (x *exchange) partIDs() string {
	var b []byte
	for i, part := range x.parts {
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendUint(b, uint64(part), 16)
	}
	return string(b)
}

// identityFields returns what the fingerprint of a request is made of, as log fields. Credentials and the body are hashed.
func (x *exchange) identityFields() []zap.Field {
	return []zap.Field{
		zap.Uint64("fingerprint", uint64(x.fingerprint)), zap.Uint64("caller", xxhash.Sum64String(x.call.Caller)), zap.String("method", clipped(x.r.Method)),
		zap.String("host", clipped(x.r.Host)), zap.String("uri", clipped(x.uri)), zap.Int("body_bytes", len(x.body)),
		zap.Uint64("body", xxhash.Sum64(x.body)),
	}
}

// maxLoggedBytes bounds each text of a caller's choice in a log line.
const maxLoggedBytes = 256

// clipped returns the beginning of a text for a log line.
func clipped(s string) string { return s[:min(len(s), maxLoggedBytes)] }

// requestField returns the log field that identifies the request.
func (x *exchange) requestField() zap.Field { return zap.String("request", clipped(x.call.ID)) }

// recordEnd counts and logs a request that has ended.
func (x *exchange) recordEnd(e *result.Error) {
	code, class := result.OK, ""
	if e != nil {
		code = e.Code
	}
	fields := make([]zap.Field, 0, 16)
	fields = append(fields, x.requestField(), zap.Int("code", int(code)), zap.String("result", code.Info().Name))
	if x.route != nil {
		class = x.route.Name
		fields = append(fields, zap.String("route", class), zap.Uint64("configuration", x.table.Version), zap.String("service", x.service),
			zap.Int("priority", x.priority()), zap.Duration("target", x.route.Target))
		if x.account != nil {
			fields = append(fields, zap.String("account", x.account.Caller))
		}
	}
	took := time.Since(x.arrival)
	x.f.metrics.requests(class, code).Inc()
	x.f.metrics.latency(class).Update(took.Seconds())
	if x.firstEventAfter > 0 {
		x.f.metrics.first(class).Update(x.firstEventAfter.Seconds())
	}
	fields = append(fields, zap.Duration("took", took), zap.Duration("first", x.firstEventAfter), zap.Int("events", x.events), zap.Int32("sends", x.sends.Load()))
	if x.fingerprint != 0 {
		fields = append(fields, zap.Uint64("fingerprint", uint64(x.fingerprint)))
	}
	if x.answer != nil {
		fields = append(fields, zap.Int("status", x.answer.status))
	}
	if e != nil {
		fields = append(fields, zap.String("execution", string(e.Execution)), zap.Duration("retry_after", e.RetryAfter), zap.Error(e))
	}
	x.f.opts.Log.Info("request", fields...)
}
