package gateway

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotcroft.example/bergamot/quarantine"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/topo"
	"bergamotcroft.example/bergamot/upstream"
)

// completion is a parsed completion request.
type completion struct {
	chat         bool
	path         string
	modelName    string // model name in the request
	model        string // "model@version"
	body         []byte // the caller's JSON object without the fields that the gateway sets
	prompt       string
	maxTokens    int
	stream       bool
	includeUsage bool // the caller requested a usage chunk
	streamID     string
	offset       int // tokens that the caller already has
	fingerprint  quarantine.Fingerprint
}

// maxTokensBound is the highest token limit accepted, so that sums of token counts can't overflow.
const maxTokensBound = 1 << 24

// parseCompletion parses and checks a completion request. Unknown fields are passed to the engine unchanged.
func parseCompletion(x *exchange) (*completion, *result.Error) {
	c := &completion{chat: strings.HasSuffix(x.r.URL.Path, "/chat/completions"), path: x.r.URL.Path}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(x.body, &fields); err != nil || fields == nil {
		return nil, result.New(result.MalformedRequest, "the body is not a JSON object").WithCause(err)
	}
	for _, name := range upstream.ReservedFields {
		if _, ok := fields[name]; ok {
			return nil, result.New(result.MalformedRequest, "field %q is not allowed", name)
		}
	}
	if err := c.readFields(fields); err != nil {
		return nil, err
	}
	text, err := upstream.PromptText(fields["prompt"], fields["messages"])
	if err != nil || text == "" {
		return nil, result.New(result.MalformedRequest, "the prompt is missing or not text").WithCause(err)
	}
	c.prompt = text
	c.body = withoutGatewayFields(fields)
	c.fingerprint = fingerprint(x.account.Caller, c.modelName, x.body)
	return c, c.readResume(x)
}

// readFields reads the fields that the gateway uses itself.
func (c *completion) readFields(fields map[string]json.RawMessage) *result.Error {
	var options struct {
		IncludeUsage bool `json:"include_usage"`
	}
	n, maxTokens, maxCompletion := 1, 0, 0
	for _, f := range []struct {
		name string
		into any
	}{
		{"model", &c.modelName}, {"stream", &c.stream}, {"n", &n}, {"max_tokens", &maxTokens},
		{"max_completion_tokens", &maxCompletion}, {"stream_options", &options},
	} {
		raw, ok := fields[f.name]
		if !ok || string(raw) == "null" {
			continue
		}
		if err := json.Unmarshal(raw, f.into); err != nil {
			return result.New(result.MalformedRequest, "field %q has the wrong type", f.name)
		}
	}
	c.maxTokens, c.includeUsage = max(maxTokens, maxCompletion), options.IncludeUsage
	switch {
	case c.modelName == "":
		return result.New(result.MalformedRequest, "field \"model\" is missing")
	case n != 1:
		return result.New(result.MalformedRequest, "field \"n\" must be 1")
	case min(maxTokens, maxCompletion) < 0 || c.maxTokens > maxTokensBound:
		return result.New(result.MalformedRequest, "the token limit must be between 0 and %d", maxTokensBound)
	}
	return nil
}

// withoutGatewayFields encodes the caller's object without the fields that the gateway sets, so that no name
// occurs twice in the body of an attempt.
func withoutGatewayFields(fields map[string]json.RawMessage) []byte {
	size := 2
	for k, v := range fields {
		size += len(k) + len(v) + 4
	}
	b := bytes.NewBuffer(make([]byte, 0, size))
	b.WriteByte('{')
	for k, v := range fields {
		if k == "model" || k == "stream" || k == "stream_options" {
			continue
		}
		if b.Len() > 1 {
			b.WriteByte(',')
		}
		name, _ := json.Marshal(k)
		b.Write(name)
		b.WriteByte(':')
		b.Write(v)
	}
	b.WriteByte('}')
	return b.Bytes()
}

func fingerprint(parts ...any) quarantine.Fingerprint {
	d := xxhash.New()
	for _, p := range parts {
		switch v := p.(type) {
		case string:
			_, _ = d.WriteString(v)
		case []byte:
			_, _ = d.Write(v)
		}
		_, _ = d.Write([]byte{0})
	}
	return quarantine.Fingerprint(d.Sum64())
}

// streamIDLen is the length of a stream identifier. The identifier consists of a random number and the request's
// fingerprint, so that any entry VM can check that a request to resume equals the one that began the stream.
const streamIDLen = 2 + 16 + 1 + 16

func newStreamID(f quarantine.Fingerprint) string {
	return "s-" + hex16(rand.Uint64()) + "-" + hex16(uint64(f))
}

func hex16(v uint64) string {
	s := strconv.FormatUint(v, 16)
	return strings.Repeat("0", 16-len(s)) + s
}

// readResume reads the stream identifier and offset of a request to resume a stream, or assigns a new identifier.
func (c *completion) readResume(x *exchange) *result.Error {
	id, offset := x.r.Header.Get(HeaderStreamID), x.r.Header.Get(HeaderStreamOffset)
	if id == "" {
		c.streamID = newStreamID(c.fingerprint)
		return nil
	}
	if len(id) != streamIDLen || !validID(id) || !strings.HasSuffix(id, hex16(uint64(c.fingerprint))) {
		return result.New(result.UnknownStream, "the stream identifier does not belong to this request")
	}
	n, err := strconv.Atoi(offset)
	if err != nil || n < 0 || n > maxTokensBound {
		return result.New(result.UnknownStream, "%s must be a number of tokens", HeaderStreamOffset)
	}
	if !c.stream && n > 0 {
		return result.New(result.ResumeNotAvailable, "only a streamed answer can be resumed from an offset")
	}
	c.streamID, c.offset = id, n
	x.resumed = true
	return nil
}

// policyRequest fills in the scheduler's view of the request.
func (g *Gateway) policyRequest(f *inFlight, x *exchange, class *topo.Class, deadline time.Time) {
	r := &f.req
	r.Caller, r.Class, r.Weight = x.account.Caller, x.class, x.account.Weight
	r.Priority = x.account.Priority
	r.Arrival = x.arrival.Sub(g.start)
	r.Deadline = deadline.Sub(g.start)
	if class != nil {
		r.Priority = max(r.Priority, class.Priority) // a class can lower the account's priority, never raise it
		if class.FirstToken > 0 {
			r.FirstTokenTarget = r.Arrival + class.FirstToken.D()
		}
	}
}

// models serves GET /v1/models with the models that the account may use.
func (g *Gateway) models(w http.ResponseWriter, x *exchange) *result.Error {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{"list", []model{}}
	for _, m := range x.view.config.Models {
		if allowed(x.account.Models, m.Name) {
			list.Data = append(list.Data, model{m.Name, "model", x.view.config.Accepted.Unix(), "bergamot"})
		}
	}
	return writeJSON(w, list)
}

func writeJSON(w http.ResponseWriter, v any) *result.Error {
	b, err := json.Marshal(v)
	if err != nil {
		return result.From(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	_, _ = w.Write(b)
	return nil
}
