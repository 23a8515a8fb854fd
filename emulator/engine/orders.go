package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/topo"
	"bergamotcroft.example/bergamot/upstream"
)

// heldKV is the KV cache of a request, kept for export to another engine or for a request that continues at this one.
type heldKV struct {
	hash   uint64
	tokens int
}

// maxHeldKV bounds the number of KV caches that are held.
const maxHeldKV = 256

func (e *Engine) holdPrefill(j *job) {
	if !j.prefillOnly {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.holdKV(j.id, heldKV{hash: j.seed, tokens: j.tokens})
}

func (e *Engine) holdKV(id string, kv heldKV) {
	for other := range e.held {
		if len(e.held) < maxHeldKV {
			break
		}
		delete(e.held, other)
	}
	e.held[id] = kv
}

func (e *Engine) kvTicket(id string) (upstream.KVTicket, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, j := range e.jobs { // a running stream can be exported as well
		if j.id == id && j.running {
			e.holdKV(id, heldKV{hash: j.seed, tokens: j.tokens + j.generated})
		}
	}
	kv, ok := e.held[id]
	return upstream.KVTicket{
		ID: id, Source: e.spec.Address, PromptHash: kv.hash, Tokens: kv.tokens, Pieces: kv.tokens/policy.PieceTokens + 1,
	}, ok
}

func (e *Engine) serveKVExport(w http.ResponseWriter, r *http.Request) {
	var in upstream.KVExport
	err := json.NewDecoder(r.Body).Decode(&in)
	t, ok := e.kvTicket(in.RequestID)
	if err != nil || !ok {
		refuseNotRun(w, http.StatusNotFound, "no such KV cache")
		return
	}
	writeJSON(w, http.StatusOK, t)
}

func (e *Engine) serveKVData(w http.ResponseWriter, r *http.Request) {
	t, ok := e.kvTicket(r.URL.Query().Get("id"))
	if !ok {
		refuseNotRun(w, http.StatusNotFound, "no such KV cache")
		return
	}
	writeJSON(w, http.StatusOK, t)
}

// serveKVImport fetches a KV cache from its source.
func (e *Engine) serveKVImport(w http.ResponseWriter, r *http.Request) {
	var in, data upstream.KVTicket
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		refuseNotRun(w, http.StatusBadRequest, err.Error())
		return
	}
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+in.Source+"/kv/data?id="+in.ID, nil)
	if err != nil {
		refuseNotRun(w, http.StatusBadRequest, err.Error())
		return
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		refuseNotRun(w, http.StatusBadGateway, err.Error())
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(&data); err != nil || data.PromptHash != in.PromptHash {
		refuseNotRun(w, http.StatusBadGateway, "KV cache is missing at the source or belongs to another prompt")
		return
	}
	e.mu.Lock()
	e.holdKV(in.ID, heldKV{hash: in.PromptHash, tokens: in.Tokens})
	e.counts.Imported++
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, in)
}

func (e *Engine) serveCurrentOrder(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	status := e.engineStatus()
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, status)
}

func (e *Engine) engineStatus() topo.EngineStatus {
	s := e.status
	s.Models = slices.Clone(s.Models)
	s.Adapters = slices.Clone(s.Adapters)
	if !e.spec.ChecksFencing {
		s.Fencing = 0
	}
	return s
}

// serveOrder accepts or refuses an order and starts an accepted one.
func (e *Engine) serveOrder(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	var o topo.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		refuseNotRun(w, http.StatusBadRequest, err.Error())
		return
	}
	e.mu.Lock()
	status, accepted, start := e.acceptOrder(o)
	hook := e.onOrder
	e.mu.Unlock()
	if !accepted {
		writeJSON(w, http.StatusConflict, status)
		return
	}
	if start {
		fault := None
		if hook != nil {
			fault = hook(o)
		}
		go e.executeOrder(ctx, o, fault)
	}
	writeJSON(w, http.StatusOK, status)
}

// acceptOrder records an order unless it has to be refused. A repeated order is accepted but not started again.
func (e *Engine) acceptOrder(o topo.Order) (s topo.EngineStatus, accepted, start bool) {
	if o.ID == e.status.OrderID {
		return e.engineStatus(), true, false
	}
	if e.spec.ChecksFencing && o.Fencing < e.status.Fencing {
		s := e.engineStatus()
		s.Message = fmt.Sprintf("fencing number %d is older than %d", o.Fencing, s.Fencing)
		return s, false, false
	}
	if e.status.State == topo.EngineRunning {
		e.counts.Conflicts++
		s := e.engineStatus()
		s.Message = "another order is running"
		return s, false, false
	}
	e.status.Fencing = max(e.status.Fencing, o.Fencing)
	e.status.OrderID, e.status.State = o.ID, topo.EngineRunning
	e.orders = append(e.orders, o)
	if o.Kind == topo.StepChangeRole {
		e.busy = true
		for _, j := range e.jobs {
			e.counts.CutByOrder++
			j.aborted = true
			j.wake()
		}
	}
	return e.engineStatus(), true, true
}

func (e *Engine) executeOrder(ctx context.Context, o topo.Order, fault Fault) {
	d := e.opts.LoadModel
	if o.Kind == topo.StepChangeRole {
		d = time.Duration(e.spec.RoleChangeMS) * time.Millisecond
	}
	switch fault {
	case Crash:
		e.Crash()
		return
	case NeverFinish:
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return
	case <-timer.C:
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busy = false
	e.status.State = topo.EngineDone
	e.applyOrder(o)
}

// applyOrder changes the engine's role, models or adapters.
func (e *Engine) applyOrder(o topo.Order) {
	switch o.Kind {
	case topo.StepChangeRole:
		e.status.Role, e.spec.Role = o.Role, o.Role
	case topo.StepLoadModel:
		if !slices.Contains(e.status.Models, o.Model) {
			e.status.Models = append(slices.Clone(e.status.Models), o.Model)
		}
	case topo.StepUnloadModel:
		e.status.Models = slices.DeleteFunc(slices.Clone(e.status.Models), func(m string) bool { return m == o.Model })
	case topo.StepLoadAdapter:
		if !slices.Contains(e.status.Adapters, o.Adapter) {
			e.status.Adapters = append(slices.Clone(e.status.Adapters), o.Adapter)
		}
	default:
		e.status.State, e.status.Message = topo.EngineFailed, "unknown kind of order"
	}
	e.spec.Models = e.status.Models
}
