package forward

import (
	"net/http"
	"time"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/result"
)

// Call holds what a caller's request states in addition to method, path and body.
type Call struct {
	ID         string        // identifies this attempt of the caller
	Caller     string        // the caller's account, or its credentials if the configuration has no accounts; empty: it has none
	Key        string        // the caller's API key; empty: none. It must get into no log, metric or answer
	Remaining  time.Duration // time that the caller will still wait; 0: not stated
	Model      string
	Prompt     int           // tokens
	MaxOutput  int           // tokens
	HintOutput int           // the caller's estimate; 0: none
	Parts      []policy.Part // parts of the prompt; the last one is never shared with other requests
	// A caller that takes up a broken stream states the last event that it has, and the ID of the attempt that brought the
	// first one.
	After, Resumes string
}

// Stage is the part of a request that an upstream is asked to run.
type Stage int

// The stages of a request.
const (
	Whole      Stage = iota // run the whole request
	PromptOnly              // compute the prompt and keep its KV cache
	Generate                // generate from the KV cache of a computed prompt
)

// Send holds what one upstream is sent in addition to the caller's request.
type Send struct {
	Remaining time.Duration // time until the request's deadline
	Instance  string        // identifier of the intended upstream
	Urgency   int           // 0 is first, 9 last
	Stage     Stage
	Source    string // address of the engine that computed the prompt
	Handle    string // handle of the KV cache at Source
	FetchFrom string // address of an engine whose cached pieces are fetched; empty: none
	After     string // identifier of the last event received; empty: stream from the start
	// HasAccounts is set if the configuration has accounts: the upstream gets the name of the caller's, if any, and no credentials.
	HasAccounts bool
	Account     string
}

// Answer holds what an upstream's response header states.
type Answer struct {
	Executed bool // false: the upstream states that it has not run the request and never will
	Proof    bool // the answer proves its origin
	Named    bool // the answer names the request that it belongs to
	// NotRunStatus is set for a status that means to callers that the request has not run and never will.
	NotRunStatus  bool
	WrongUpstream bool // another upstream has the address now, so the request did not reach the intended one
	Leaving       bool // the upstream takes no new work until its next start
	// RetryAfter is how long the upstream asks this entry VM to send no requests; 0: it has not asked.
	RetryAfter time.Duration
	// Limit is the number of requests per second that the upstream takes from all entry VMs together, if LimitSign is
	// LimitNamed.
	LimitSign LimitSign
	Limit     float64
}

// LimitSign is what an answer states about a limit on the requests to its upstream.
type LimitSign int

// Statements about a limit.
const (
	NoLimit         LimitSign = iota // none is named
	LimitNamed                       // Answer.Limit
	LimitUnreadable                  // one is named, but not as a number of requests; ignored
)

// Codec translates between the project's types and a protocol of callers and upstreams.
type Codec interface {
	// ParseCall parses a request. It removes headers that only this system may set, and hop-by-hop headers.
	ParseCall(r *http.Request) (Call, *result.Error)
	// SetSendHeaders adds the headers for the upstream to h, a copy of the caller's header.
	SetSendHeaders(h http.Header, s *Send)
	// Matches reports whether an answer with header h belongs to the request.
	Matches(call *Call, h http.Header) bool
	// ParseAnswer parses an upstream's response header.
	ParseAnswer(status int, h http.Header) Answer
	// RelayedHeader returns the part of an upstream's header that is relayed to the caller.
	RelayedHeader(h http.Header) http.Header
	// ParseHandle parses the answer to a send with PromptOnly.
	ParseHandle(body []byte) (handle string, err error)
	// FreePromptCall returns the call that frees a computed prompt.
	FreePromptCall(handle string) (method, uri string)
	// Refuse writes a refusal of this system.
	Refuse(w http.ResponseWriter, e *result.Error)
}
