// Package upstream is the HTTP client for engines and plain services.
//
// Invariants: an event of an engine's stream is handed on only after its request identifier, attempt and token index were
// checked; a stream ends well only with the end marker and its count. A call that is not idempotent is written to at most
// one connection.
package upstream

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/topo"
)

// Headers between entry VMs and engines.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderAttempt   = "X-Attempt" // unique for each attempt of a request
	HeaderBoot      = "X-Boot"    // in answers; changes when the engine restarts
	HeaderLoad      = "X-Load"    // in answers; the body of GET /load, so that busy engines need no polls
	HeaderNotRun    = "X-Not-Run" // in refusals: the request did not run
	HeaderEntryVM   = "X-Entry-Vm"
)

// Fields are the fields that an entry VM adds to the body of a completion request. They override the caller's.
type Fields struct {
	Model        string `json:"model"` // "model@version"
	Stream       bool   `json:"stream"`
	Priority     int    `json:"priority"`
	ResumeTokens int    `json:"resume_tokens"`          // the answer begins with this token index
	KV           string `json:"kv,omitempty"`           // identifier of an imported KV cache
	PrefillOnly  bool   `json:"prefill_only,omitempty"` // compute and hold the KV cache, generate nothing
}

// ReservedFields are the names of body fields that callers may not send.
var ReservedFields = []string{"priority", "resume_tokens", "kv", "prefill_only"}

// Load is the answer of GET /load.
type Load struct {
	AtMS          int64   `json:"at_ms"` // engine's clock, when it was measured
	Running       int     `json:"running"`
	Queued        int     `json:"queued"`
	PrefillTokens float64 `json:"prefill_tokens"`
	KVPiecesInUse int     `json:"kv_pieces_in_use"`
	OwnRunning    int     `json:"own_running"` // of the entry VM that asks
	OwnPrefill    float64 `json:"own_prefill"`
	// Speeds measured since the last report; 0: none.
	DecodeTokensPS  float64 `json:"decode_tokens_per_s"`
	DecodeStreams   float64 `json:"decode_streams"` // mean streams in the batch meanwhile
	PrefillTokensPS float64 `json:"prefill_tokens_per_s"`

	Boot    uint64    `json:"boot"`
	Role    topo.Role `json:"role"`
	Leaving bool      `json:"leaving,omitempty"`
}

// CacheEvents is the answer of GET /cache/events?from=N.
type CacheEvents struct {
	Next   uint64       `json:"next"` // to ask from the next time
	Gap    bool         `json:"gap"`  // events before the first one were dropped
	Events []CacheEvent `json:"events"`
}

// CacheEvent is one change of a prefix cache. Pieces are hashes as of PrefixHashes.
type CacheEvent struct {
	Inserted []uint64 `json:"inserted,omitempty"`
	Removed  []uint64 `json:"removed,omitempty"`
}

// KVExport is the body of POST /kv/export.
type KVExport struct {
	RequestID string `json:"request_id"`
}

// KVTicket is the answer of POST /kv/export and the body of POST /kv/import. The importing engine fetches the pieces
// from the exporting one, so that the cache does not pass through an entry VM.
type KVTicket struct {
	ID         string `json:"id"`
	Source     string `json:"source"` // host:port of the exporting engine
	PromptHash uint64 `json:"prompt_hash"`
	Tokens     int    `json:"tokens"`
	Pieces     int    `json:"pieces"`
}

// Cancel is the body of POST /cancel.
type Cancel struct {
	RequestID string `json:"request_id"`
	Attempt   string `json:"attempt"`
}

// bytesPerToken is the usual ratio for English text; the engines' own tokenizers are not known here.
const bytesPerToken = 4

// EstimateTokens estimates the tokens of a text.
func EstimateTokens(text string) int { return len(text)/bytesPerToken + 1 }

// PrefixHashes returns the chained hashes of the prompt's whole pieces of policy.PieceTokens tokens.
func PrefixHashes(model, text string) []uint64 {
	const piece = policy.PieceTokens * bytesPerToken
	n := len(text) / piece
	if n == 0 {
		return nil
	}
	hashes := make([]uint64, n)
	d := xxhash.NewWithSeed(xxhash.Sum64String(model))
	for i := range hashes {
		_, _ = d.WriteString(text[i*piece : (i+1)*piece])
		hashes[i] = d.Sum64()
	}
	return hashes
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// PromptText returns the text of a "prompt" or "messages" field, whichever is present.
func PromptText(prompt, messages json.RawMessage) (string, error) {
	if len(messages) == 0 {
		return contentText(prompt)
	}
	var list []message
	if err := json.Unmarshal(messages, &list); err != nil {
		return "", trace.Wrap(err)
	}
	var b strings.Builder
	b.Grow(len(messages))
	for _, m := range list {
		text, err := contentText(m.Content)
		if err != nil {
			return "", trace.Wrap(err)
		}
		b.WriteString(m.Role)
		b.WriteByte('\n')
		b.WriteString(text)
		b.WriteByte('\n')
	}
	return b.String(), nil
}

// contentText accepts a string, a list of strings or a list of text parts.
func contentText(raw json.RawMessage) (string, error) {
	if len(raw) == 0 || string(raw) == "null" {
		return "", nil
	}
	var s string
	if raw[0] == '"' {
		err := json.Unmarshal(raw, &s)
		return s, trace.Wrap(err)
	}
	var parts []json.RawMessage
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", trace.Wrap(err)
	}
	var b strings.Builder
	for _, p := range parts {
		var part struct {
			Text string `json:"text"`
		}
		if len(p) > 0 && p[0] == '"' {
			part.Text, _ = contentText(p)
		} else if err := json.Unmarshal(p, &part); err != nil {
			return "", trace.Wrap(err)
		}
		b.WriteString(part.Text)
	}
	return b.String(), nil
}
