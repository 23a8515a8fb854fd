package client

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"bergamotcroft.example/bergamot/internal/bounded"
	"bergamotcroft.example/bergamot/result"
)

// Event is one server-sent event.
type Event struct {
	Offset string // the event's position in the stream
	Data   []byte // valid until the receiver returns
}

// maxEventBytes bounds the size of an event. A token has a few bytes; its JSON envelope and identifiers make up the
// rest.
const maxEventBytes = 64 << 10

// streamEnd is the data of the last event of a complete stream.
var streamEnd = []byte("[DONE]")

// Stream sends a request whose answer is streamed, and calls f exactly once for each event, in order. When the
// connection to the entry VM fails, Stream resumes at another entry VM after the last event. It returns nil after the
// end marker, the error of f, or a *result.Error.
func (c *Client) Stream(ctx context.Context, r *Request, f func(Event) error) error {
	tried := map[string]bool{}
	position := http.Header{}
	var last *result.Error
	for n := 0; n < c.o.Attempts; n++ {
		address := c.addresses.pick(c.addresses.current(ctx), tried)
		tried[address] = true
		res, a := c.open(ctx, address, r, position)
		if res != nil {
			events, err := c.readEvents(res, position, f)
			var failure *result.Error
			if !errors.As(err, &failure) {
				return err // the stream is complete, or f failed
			}
			a.err = failure
			if events > 0 {
				n = -1 // only consecutive attempts without an event count against the limit
			}
		}
		last = a.err
		// An interrupted stream is resumed by its identifier. Without one, the request can be retried only if no
		// event was delivered.
		resumable := position.Get(headerStream) != "" || position.Get(headerOffset) == ""
		retry, delay := c.shouldRetry(ctx, &Request{Idempotent: resumable, Key: r.Key, MayHaveRun: true}, a, max(n, 0))
		if !retry || c.backOff(ctx, delay) != nil {
			break
		}
	}
	return last
}

// readEvents calls f with the events of one connection, and records in position where to resume. If the connection
// fails, it returns a *result.Error.
func (c *Client) readEvents(res *http.Response, position http.Header, f func(Event) error) (events int, err error) {
	defer res.Body.Close()
	if id := res.Header.Get(headerStream); id != "" {
		position.Set(headerStream, id)
	}
	lines := bufio.NewScanner(res.Body)
	lines.Buffer(make([]byte, 0, 4<<10), maxEventBytes)
	var id string
	var data []byte
	for lines.Scan() {
		name, value, _ := bytes.Cut(lines.Bytes(), []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch {
		case len(lines.Bytes()) == 0 && data != nil:
			if bytes.Equal(data, streamEnd) {
				return events, nil
			}
			if !follows(position.Get(headerOffset), id) {
				return events, result.New(result.AnswerMismatch, "event %q does not follow event %q", id, position.Get(headerOffset))
			}
			if err := f(Event{id, data}); err != nil {
				return events, err
			}
			events++
			if id != "" {
				position.Set(headerOffset, id)
			}
			data = nil
		case string(name) == "id":
			id = string(value)
		case string(name) == "data":
			if data != nil {
				data = append(data, '\n')
			}
			if len(data)+len(value) > maxEventBytes {
				return events, result.New(result.AnswerIncomplete, "an event of the stream is too long").
					WithCause(&bounded.Error{Input: "event of a stream", Limit: maxEventBytes})
			}
			data = append(data, value...)
			if data == nil {
				data = []byte{}
			}
		}
	}
	err = lines.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return events, result.New(result.AnswerIncomplete, "the stream ended before its end marker").WithCause(err)
}

// follows reports whether an event may come after the event last. Identifiers count the tokens so far: each token adds one, and events
// without a token have the count of the event before. Identifiers that are no counts are not compared.
func follows(last, id string) bool {
	n, err := strconv.Atoi(last)
	m, err2 := strconv.Atoi(id)
	return err != nil || err2 != nil || m == n || m == n+1
}
