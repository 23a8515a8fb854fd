package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"bergamotcroft.example/bergamot/upstream"
)

func (e *Engine) handler(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	complete := func(w http.ResponseWriter, r *http.Request) { e.serveCompletion(ctx, w, r) }
	mux.HandleFunc("POST /v1/completions", complete)
	mux.HandleFunc("POST /v1/chat/completions", complete)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("GET /cache/events", e.serveCacheEvents)
	mux.HandleFunc("POST /cancel", e.serveCancel)
	mux.HandleFunc("POST /kv/export", e.serveKVExport)
	mux.HandleFunc("GET /kv/data", e.serveKVData)
	mux.HandleFunc("POST /kv/import", e.serveKVImport)
	mux.HandleFunc("POST /orders", func(w http.ResponseWriter, r *http.Request) { e.serveOrder(ctx, w, r) })
	mux.HandleFunc("GET /orders/current", e.serveCurrentOrder)
	return mux
}

type completionRequest struct {
	upstream.Fields
	Prompt              json.RawMessage `json:"prompt"`
	Messages            json.RawMessage `json:"messages"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
}

func refuseNotRun(w http.ResponseWriter, status int, msg string) {
	w.Header().Set(upstream.HeaderNotRun, "1")
	http.Error(w, msg, status)
}

// newJob validates a request and returns its job. It writes the response of a refused request.
func (e *Engine) newJob(w http.ResponseWriter, r *http.Request) (*job, error) {
	var in completionRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		refuseNotRun(w, http.StatusBadRequest, err.Error())
		return nil, err
	}
	prompt, err := upstream.PromptText(in.Prompt, in.Messages)
	if err != nil {
		refuseNotRun(w, http.StatusBadRequest, err.Error())
		return nil, err
	}
	j := &job{
		id: r.Header.Get(upstream.HeaderRequestID), attempt: r.Header.Get(upstream.HeaderAttempt), vm: r.Header.Get(upstream.HeaderEntryVM),
		prompt: prompt, seed: Seed(in.Model, prompt), priority: in.Priority, generated: in.ResumeTokens, sent: in.ResumeTokens,
		tokens: upstream.EstimateTokens(prompt) + in.ResumeTokens, prefix: upstream.PrefixHashes(in.Model, prompt),
		prefillOnly: in.PrefillOnly, notify: make(chan struct{}, 1),
	}
	j.totalTokens = max(in.MaxTokens, in.MaxCompletionTokens)
	if j.totalTokens <= 0 {
		j.totalTokens = 20 + int(j.seed%100)
	}
	if in.PrefillOnly {
		j.totalTokens = j.generated
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if kv, ok := e.held[in.KV]; ok && kv.hash == j.seed {
		j.tokens = max(j.tokens-kv.tokens, 1)
	}
	switch {
	case e.busy || e.leaving:
		refuseNotRun(w, http.StatusServiceUnavailable, "out of service")
		return nil, errRefused
	case !slices.Contains(e.spec.Models, in.Model):
		refuseNotRun(w, http.StatusNotFound, "model is not loaded")
		return nil, errRefused
	case in.ResumeTokens > j.totalTokens:
		refuseNotRun(w, http.StatusBadRequest, "resume_tokens beyond the end")
		return nil, errRefused
	}
	return j, nil
}

func (e *Engine) serveCompletion(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	j, err := e.newJob(w, r)
	if err != nil {
		return
	}
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set(upstream.HeaderRequestID, j.id)
	e.mu.Lock()
	h.Set(upstream.HeaderBoot, strconv.FormatUint(e.boot, 10))
	if load, err := json.Marshal(e.loadFor(j.vm)); err == nil {
		h.Set(upstream.HeaderLoad, string(load))
	}
	e.mu.Unlock()
	e.add(j)
	defer e.remove(j)
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	if e.writeEvents(ctx, w, r, j) {
		return
	}
	panic(http.ErrAbortHandler) // breaks the connection without the end of the body
}

// writeEvents writes a job's events. It returns false if the connection has to be broken.
func (e *Engine) writeEvents(ctx context.Context, w http.ResponseWriter, r *http.Request, j *job) bool {
	flush := http.NewResponseController(w)
	buf := make([]byte, 0, 512)
	lost := false
	for {
		select {
		case <-j.notify:
		case <-ctx.Done():
			return false
		case <-r.Context().Done():
			return false
		}
		e.mu.Lock()
		from, to, done, cut := j.sent, j.generated, j.running && j.generated == j.totalTokens, j.aborted
		e.mu.Unlock()
		if cut {
			return false
		}
		buf = buf[:0]
		for i := from; i < to; i++ {
			f := e.streamFault(Point{RequestID: j.id, Prompt: j.prompt, Index: i})
			if f != None && !e.injectStreamFault(ctx, r, &buf, j, i, f, &lost) {
				_, _ = w.Write(buf)
				return false
			}
			if f == None || f == Duplicate {
				buf = appendToken(buf, j.id, j.attempt, i, Token(j.seed, i))
			}
		}
		if done {
			f := e.streamFault(Point{RequestID: j.id, Prompt: j.prompt, Index: j.totalTokens, End: true})
			if f == NoEnd {
				_, _ = w.Write(buf)
				return true
			}
			if f != None && !e.injectStreamFault(ctx, r, &buf, j, j.totalTokens, f, &lost) {
				return false
			}
			e.holdPrefill(j)
			buf = appendEnd(buf, j)
		}
		if lost {
			return false
		}
		if _, err := w.Write(buf); err != nil || flush.Flush() != nil {
			return false
		}
		if done {
			return true
		}
		e.mu.Lock()
		j.sent = to
		e.mu.Unlock()
	}
}

// injectStreamFault applies a fault and returns false if the connection has to be broken.
func (e *Engine) injectStreamFault(ctx context.Context, r *http.Request, buf *[]byte, j *job, i int, f Fault, lost *bool) bool {
	switch f {
	case Crash:
		go e.Crash()
		<-ctx.Done()
		return false
	case Cut:
		return false
	case Duplicate:
		*buf = appendToken(*buf, j.id, j.attempt, i, Token(j.seed, i))
	case Crossed:
		*buf = appendToken(*buf, j.id+"x", j.attempt, i, Token(j.seed+1, i))
	case LoseAnswer:
		*lost = true
	case Hang:
		select {
		case <-ctx.Done():
		case <-r.Context().Done():
		}
		return false
	}
	return true
}

func appendToken(b []byte, id, attempt string, index int, token string) []byte {
	b = append(b, `data: {"request_id":"`...)
	b = append(b, id...)
	b = append(b, `","attempt":"`...)
	b = append(b, attempt...)
	b = append(b, `","index":`...)
	b = strconv.AppendInt(b, int64(index), 10)
	b = append(b, `,"token":`...)
	b = strconv.AppendQuote(b, token)
	return append(b, "}\n\n"...)
}

func appendEnd(b []byte, j *job) []byte {
	end, _ := json.Marshal(map[string]any{
		"request_id": j.id, "attempt": j.attempt, "end": true, "count": j.totalTokens, "finish_reason": "stop",
		"prompt_tokens": j.tokens, "cached_tokens": j.cached,
	})
	b = append(b, "data: "...)
	b = append(b, end...)
	return append(b, "\n\n"...)
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	out := e.loadFor(r.Header.Get(upstream.HeaderEntryVM))
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, out)
}

// loadFor returns the load report for an entry VM. The caller holds e.mu.
func (e *Engine) loadFor(vm string) upstream.Load {
	s := e.laggedSample(time.Now())
	return upstream.Load{
		AtMS: s.at.UnixMilli(), Running: s.running, Queued: s.queued, PrefillTokens: s.prefill, KVPiecesInUse: s.pieces,
		OwnRunning: s.jobsByVM[vm], OwnPrefill: s.prefillByVM[vm],
		Boot: e.boot, Role: e.status.Role, Leaving: e.leaving,
	}
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	e.mu.Lock()
	out := e.cache.since(time.Now(), from, time.Duration(e.spec.ReportLagMS)*time.Millisecond)
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, out)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var in upstream.Cancel
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		refuseNotRun(w, http.StatusBadRequest, err.Error())
		return
	}
	e.mu.Lock()
	for _, j := range e.jobs {
		if j.id == in.RequestID && j.attempt == in.Attempt {
			j.aborted = true
			e.counts.Cancelled++
			j.wake()
		}
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, in)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
