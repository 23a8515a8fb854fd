package forward

import (
	"errors"
	"net/http"
	"strings"

	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/gateway"
	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/upstream"
)

const (
	headerEncoding  = "Content-Encoding"
	eventStreamType = "text/event-stream"
)

var errOutOfOrder = errors.New("the answer does not continue the stream")

// beginSequence returns the check of an attempt's events. It fails if the stream has begun and no other upstream can go on with it.
func (x *exchange) beginSequence(p *gateway.Placement) (*sequence, error) {
	if !x.begun.Load() {
		if !x.route.Resumable {
			return &sequence{}, nil
		}
		return &sequence{position: startAfter(x.call.After), movable: &x.movable}, nil
	}
	if p.Hedge { // the attempt that has begun the stream writes the position
		return nil, errOtherAttemptWon
	}
	if x.position.dataWithoutID {
		return nil, notResumable()
	}
	return &sequence{position: x.position.clone(), continues: true, movable: &x.movable}, nil
}

// notResumable returns the refusal of a further attempt at a stream whose position no identifier states.
func notResumable() *result.Error {
	return result.New(result.AnswerIncomplete, "the stream broke off after data without an identifier").WithExecution(result.Ran)
}

// mediaType returns the media type of an answer in lower case, without parameters.
func mediaType(h http.Header) string {
	t, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(t))
}

// contentEncoding returns the encoding of an answer's body, "" for none.
func contentEncoding(h http.Header) string {
	if e := strings.ToLower(strings.TrimSpace(h.Get(headerEncoding))); e != "identity" {
		return e
	}
	return ""
}

// headMismatch returns why the head of an answer with status 200 shows that the answer does not continue the stream, "" if it does not.
func (x *exchange) headMismatch(resp *runResponse, seq *sequence) (reason string) {
	t, encoding := mediaType(resp.Header), contentEncoding(resp.Header)
	switch {
	case seq.continues && t != x.mediaType:
		return reasonMediaType
	case seq.continues && encoding != x.encoding:
		return reasonEncoding
	case seq.continues || seq.id == nil:
		return ""
	case t != "" && t != eventStreamType: // a caller takes the stream up
		return reasonMediaType
	case encoding != "":
		return reasonEncoding
	}
	return ""
}

// endStream handles the regular end of an answer. It writes the header if the stream had no events.
func (x *exchange) endStream(p *gateway.Placement, resp *runResponse, seq *sequence) error {
	switch {
	case seq.accepted:
		return nil
	case seq.continues:
		// Whether the stream had reached its end is not known.
		return x.outOfOrder(p, resp, seq, nil, reasonNoEvent)
	case seq.id != nil && mediaType(resp.Header) != eventStreamType:
		return x.outOfOrder(p, resp, seq, nil, reasonNoEvent)
	}
	if !p.Win() {
		return errOtherAttemptWon
	}
	if !x.begun.Load() {
		x.beginStream(resp)
	}
	return nil
}

// outOfOrder logs an answer that does not continue the stream and returns the failure for it. id is that of the event that does not
// follow; nil: none.
func (x *exchange) outOfOrder(p *gateway.Placement, resp *runResponse, seq *sequence, id []byte, reason string) error {
	x.logOutOfOrder(p, resp, seq, id, reason)
	return &upstream.Failure{Outcome: policy.FailedUnknown, Code: result.AnswerMismatch, Cause: errOutOfOrder}
}

// maxLoggedID bounds an upstream's identifier in a log line.
const maxLoggedID = 40

func (x *exchange) logOutOfOrder(p *gateway.Placement, resp *runResponse, seq *sequence, id []byte, reason string) {
	x.f.metrics.outOfOrder.Inc()
	x.f.opts.Log.Warn("answer out of order", x.requestField(), zap.String("upstream", p.Decode.Name), zap.String("reason", reason),
		zap.String("last_id", string(seq.id[:min(len(seq.id), maxLoggedID)])), zap.String("id", string(id[:min(len(id), maxLoggedID)])),
		zap.String("media_type", mediaType(resp.Header)), zap.Int("status", resp.Status))
}
