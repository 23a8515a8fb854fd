package explain

// The types in this file are the JSON of the endpoint /explain/route on the metrics listener of an entry VM.

// PathRoute is the path of the endpoint.
const PathRoute = "/explain/route"

// Bounds of a query and its answer.
const (
	MaxBodyBytes = 4 << 20
	// MaxListed bounds the candidates, and the upstreams left out, of an answer.
	MaxListed = 64
)

// RouteQuery describes a request that is not sent. A header Authorization is refused: the account is given by its name.
type RouteQuery struct {
	Method  string              `json:"method"`
	Path    string              `json:"path"` // with the query, as in the request line
	Headers map[string][]string `json:"headers,omitempty"`
	Body    []byte              `json:"body,omitempty"` // base64
	Account string              `json:"account,omitempty"`
}

// Route is what would become of a request now. Times are in milliseconds from the arrival of the query.
type Route struct {
	Configuration uint64       `json:"configuration,omitempty"`
	Route         string       `json:"route,omitempty"`
	Class         string       `json:"class,omitempty"` // once, idempotent or stream
	Resumable     bool         `json:"resumable,omitempty"`
	Service       string       `json:"service,omitempty"`
	Model         string       `json:"model,omitempty"`
	Version       string       `json:"version,omitempty"` // of the upstreams that may take the request; empty: any
	Account       string       `json:"account,omitempty"`
	Priority      int          `json:"priority"` // 0 is the highest
	Times         Times        `json:"times"`
	Tokens        Tokens       `json:"tokens"`
	Queue         *Queue       `json:"queue,omitempty"`
	Candidates    []Candidate  `json:"candidates"` // cheapest first
	MoreCandidate int          `json:"more_candidates,omitempty"`
	LeftOut       []LeftOut    `json:"left_out"`
	MoreLeftOut   int          `json:"more_left_out,omitempty"`
	Decision      RouteOutcome `json:"decision"`
}

// Times are the target and the deadlines of a request; 0: none.
type Times struct {
	TargetMS         float64 `json:"target_ms,omitempty"`
	FirstOutputByMS  float64 `json:"first_output_by_ms,omitempty"` // the caller leaves then
	DeadlineMS       float64 `json:"deadline_ms,omitempty"`
	ExpectedOutputMS float64 `json:"expected_output_ms,omitempty"` // until the first output, of a request that is sent
}

// Tokens are the token counts of a request.
type Tokens struct {
	Prompt         int     `json:"prompt"`
	Shared         int     `json:"shared"` // leading tokens that other requests may share, in whole pieces
	MaxOutput      int     `json:"max_output,omitempty"`
	Hint           int     `json:"hint,omitempty"`
	ExpectedOutput float64 `json:"expected_output"`
	OutputGuessed  bool    `json:"output_guessed,omitempty"`
}

// Queue is the queue that a request would join if it had to wait.
type Queue struct {
	Name    string  `json:"name"`
	Waiting int     `json:"waiting"`
	Before  int     `json:"before"` // of those waiting
	All     int     `json:"all"`    // requests that wait in all queues
	WaitMS  float64 `json:"wait_ms"`
}

// Candidate is an upstream that could take a request, or an engine that computes its prompt and one that generates.
type Candidate struct {
	PromptEngine string  `json:"prompt_engine"`
	DecodeEngine string  `json:"decode_engine"`
	KVSource     string  `json:"kv_source,omitempty"` // engine from which KV cache is fetched
	DataCentre   string  `json:"data_centre,omitempty"`
	CachedTokens int     `json:"cached_tokens"` // reused or fetched
	Full         bool    `json:"full,omitempty"`
	HealthFactor float64 `json:"health_factor"` // how many times slower than normal; 1 is normal
	TotalMS      float64 `json:"total_ms"`      // the sum of the terms of Cost, by which candidates are compared
	Cost         Cost    `json:"cost"`
}

// Cost holds the terms of a candidate's total cost.
type Cost struct {
	WaitMS       float64 `json:"wait_ms"`        // for prompts ahead
	PromptMS     float64 `json:"prompt_ms"`      // reading the prompt, or the call of a plain service
	KVFetchMS    float64 `json:"kv_fetch_ms"`    // fetching KV cache
	HandOverMS   float64 `json:"hand_over_ms"`   // moving KV cache to the engine that generates
	DataCentreMS float64 `json:"data_centre_ms"` // charge for another data centre
	OtherMS      float64 `json:"other_ms"`       // fixed overheads, streams, charges for the delay of other requests, tie-break
}

// LeftOut is an upstream that is not among the candidates.
type LeftOut struct {
	Upstream   string `json:"upstream"`
	DataCentre string `json:"data_centre,omitempty"`
	Reason     string `json:"reason"`
}

// RouteOutcome is the decision on a request.
type RouteOutcome struct {
	Decision     string `json:"decision"`         // sent, queued or refused
	Reason       string `json:"reason,omitempty"` // why it would wait, or the message of the refusal
	PromptEngine string `json:"prompt_engine,omitempty"`
	DecodeEngine string `json:"decode_engine,omitempty"`
	KVSource     string `json:"kv_source,omitempty"`
	CachedTokens int    `json:"cached_tokens,omitempty"`
	Code         int    `json:"code,omitempty"`
	Result       string `json:"result,omitempty"`
	Status       int    `json:"status,omitempty"`
	RetryAfter   string `json:"retry_after,omitempty"` // seconds, as in the header
}

// QueryError is the answer to a query that the entry VM does not answer.
type QueryError struct {
	Code    int    `json:"code"`
	Result  string `json:"result"`
	Message string `json:"message"`
}
