package platform

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"bergamotcroft.example/bergamot/store"
)

// Handler serves the store, the VM list and the weight store over HTTP.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", func(w http.ResponseWriter, r *http.Request) {
		o, err := s.Get(r.Context(), r.PathValue("kind"), r.PathValue("name"))
		writeResult(w, o, err)
	})
	mux.HandleFunc("GET /v1/objects/{kind}", func(w http.ResponseWriter, r *http.Request) {
		objects, revision, err := s.List(r.Context(), r.PathValue("kind"), r.FormValue("prefix"))
		writeResult(w, store.ListResult{Objects: objects, Revision: revision}, err)
	})
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}", s.serveWrite)
	mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", s.serveWrite)
	mux.HandleFunc("GET /v1/watch/{kind}", s.serveWatch)
	mux.HandleFunc("GET /v1/vms", func(w http.ResponseWriter, r *http.Request) {
		vms, err := s.VMs(r.Context())
		writeResult(w, vms, err)
	})
	mux.HandleFunc("GET /v1/weights/{version}", func(w http.ResponseWriter, r *http.Request) {
		weight, err := s.Weight(r.PathValue("version"))
		writeResult(w, weight, err)
	})
	return mux
}

func (s *Store) serveWrite(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseUint(r.Header.Get(store.HeaderVersion), 10, 64)
	if err != nil {
		http.Error(w, "header If-Version is missing or not a number", http.StatusBadRequest)
		return
	}
	kind, name := r.PathValue("kind"), r.PathValue("name")
	if r.Method == http.MethodDelete {
		writeResult(w, store.WriteResult{}, s.Delete(r.Context(), kind, name, version))
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, store.MaxValueBytes+1))
	if err != nil {
		http.Error(w, "body could not be read", http.StatusBadRequest)
		return
	}
	o := store.Object{Kind: kind, Name: name, Version: version, Writer: r.Header.Get(store.HeaderWriter), Value: body}
	v, err := s.Put(r.Context(), o)
	writeResult(w, store.WriteResult{Version: v}, err)
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.FormValue("from"), 10, 64)
	if err != nil {
		http.Error(w, "from is missing or not a number", http.StatusBadRequest)
		return
	}
	events, next, err := s.Watch(r.Context(), r.PathValue("kind"), from)
	writeResult(w, store.WatchResult{Events: events, Next: next}, err)
}

var errorStatuses = []struct {
	err    error
	status int
}{
	{store.ErrNotFound, http.StatusNotFound},
	{ErrUnknownWeight, http.StatusNotFound},
	{store.ErrConflict, http.StatusConflict},
	{store.ErrRateLimited, http.StatusTooManyRequests},
	{store.ErrUnavailable, http.StatusServiceUnavailable},
	{store.ErrTooLarge, http.StatusRequestEntityTooLarge},
	{store.ErrWatchGap, http.StatusGone},
}

// writeResult writes v as JSON, or the HTTP status of err. For ErrOutcomeUnknown it closes the connection without an answer.
func writeResult(w http.ResponseWriter, v any, err error) {
	if errors.Is(err, store.ErrOutcomeUnknown) {
		panic(http.ErrAbortHandler)
	}
	for _, s := range errorStatuses {
		if errors.Is(err, s.err) {
			http.Error(w, err.Error(), s.status)
			return
		}
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a failed write means that the client has gone
}
