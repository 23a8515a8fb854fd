// Package upstream is the HTTP client for engines and plain services.
//
// Invariants: an event of an engine's stream is returned only after its request identifier, attempt and token index were
// checked; a stream ends without error only with an end marker whose token count matches. A call that is not idempotent is
// written to at most one connection.
package upstream

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/topo"
)

// Headers of the protocol between entry VMs and engines.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderAttempt   = "X-Attempt" // unique for each attempt of a request
	HeaderBoot      = "X-Boot"    // in responses; changes when the engine restarts
	HeaderLoad      = "X-Load"    // in responses; same content as GET /load, so that busy engines need no polling
	HeaderNotRun    = "X-Not-Run" // in refusals: the request did not run
	HeaderEntryVM   = "X-Entry-Vm"
)

// Fields are the fields that an entry VM sets in the body of a completion request. They override the caller's.
type Fields struct {
	Model        string `json:"model"` // "model@version"
	Stream       bool   `json:"stream"`
	Priority     int    `json:"priority"`
	ResumeTokens int    `json:"resume_tokens"`          // index of the first token to generate
	KV           string `json:"kv,omitempty"`           // identifier of an imported KV cache to use
	PrefillOnly  bool   `json:"prefill_only,omitempty"` // compute and keep the KV cache without generating tokens
}

// ReservedFields are the names of body fields that callers must not send.
var ReservedFields = []string{"priority", "resume_tokens", "kv", "prefill_only"}

// Load is the response body of GET /load.
type Load struct {
	AtMS          int64   `json:"at_ms"` // time of measurement by the engine's clock
	Running       int     `json:"running"`
	Queued        int     `json:"queued"`
	PrefillTokens float64 `json:"prefill_tokens"`
	KVPiecesInUse int     `json:"kv_pieces_in_use"`
	OwnRunning    int     `json:"own_running"` // requests of the polling entry VM
	OwnPrefill    float64 `json:"own_prefill"`
	// Speeds measured since the last report; 0: not measured.
	DecodeTokensPS  float64 `json:"decode_tokens_per_s"`
	DecodeStreams   float64 `json:"decode_streams"` // mean number of streams in the batch since the last report
	PrefillTokensPS float64 `json:"prefill_tokens_per_s"`

	Boot    uint64    `json:"boot"`
	Role    topo.Role `json:"role"`
	Leaving bool      `json:"leaving,omitempty"`
}

// CacheEvents is the response body of GET /cache/events?from=N.
type CacheEvents struct {
	Next   uint64       `json:"next"` // value of from for the next call
	Gap    bool         `json:"gap"`  // event number from is not available; Events starts with the oldest one held
	Events []CacheEvent `json:"events"`
}

// CacheEvent is one change of a prefix cache. Pieces are identified by hashes as returned by PrefixHashes.
type CacheEvent struct {
	Inserted []uint64 `json:"inserted,omitempty"`
	Removed  []uint64 `json:"removed,omitempty"`
}

// KVExport is the request body of POST /kv/export.
type KVExport struct {
	RequestID string `json:"request_id"`
}

// KVTicket is the response body of POST /kv/export and the request body of POST /kv/import. The importing engine fetches the
// pieces from the exporting one, so that the cache does not pass through an entry VM.
type KVTicket struct {
	ID         string `json:"id"`
	Source     string `json:"source"` // host:port of the exporting engine
	PromptHash uint64 `json:"prompt_hash"`
	Tokens     int    `json:"tokens"`
	Pieces     int    `json:"pieces"`
}

// Cancel is the request body of POST /cancel.
type Cancel struct {
	RequestID string `json:"request_id"`
	Attempt   string `json:"attempt"`
}

// bytesPerToken is the usual ratio for English text. The engines' tokenizers are not available to the entry VM.
const bytesPerToken = 4

// EstimateTokens returns an estimate of the number of tokens of a text.
func EstimateTokens(text string) int { return len(text)/bytesPerToken + 1 }

// PrefixHashes returns the chained hashes of the prompt's complete pieces of policy.PieceTokens tokens each.
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

// message is an element of a "messages" field.
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

// contentText returns the text of a string, a list of strings or a list of text parts.
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
