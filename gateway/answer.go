package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"bergamotcroft.example/bergamot/result"
)

type responseWriter = http.ResponseWriter

// answerWriter encodes the frames of one answer and writes them to the caller.
type answerWriter interface {
	add(f *frame) *result.Error
	flush() error // writes the frames added since the last flush
}

// streamWriter writes an answer as server-sent events. Each event's id is the number of tokens up to it, which is the offset
// from which the stream can be resumed.
type streamWriter struct {
	w       http.ResponseWriter
	x       *exchange
	c       *completion
	created int64
	timeout time.Duration
	prefix  []byte // start of each token event, from "data:" up to the token
	suffix  []byte // end of each token event
	buf     []byte
}

// streamBufferSize is the initial size of the buffer that collects the events of one flush, in bytes.
const streamBufferSize = 1024

func (s *streamWriter) begin() {
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	s.x.started = true
	s.buf = make([]byte, 0, streamBufferSize)
	head := s.chunkHead()
	if s.c.chat {
		s.prefix = append(append([]byte{}, head...), `"choices":[{"index":0,"delta":{"content":`...)
		s.suffix = []byte(`},"finish_reason":null}]}` + "\n\n")
		if !s.x.resumed {
			s.buf = append(s.buf, "id: 0\n"...)
			s.buf = append(s.buf, head...)
			s.buf = append(s.buf, `"choices":[{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}]}`+"\n\n"...)
		}
		return
	}
	s.prefix = append(append([]byte{}, head...), `"choices":[{"index":0,"text":`...)
	s.suffix = []byte(`,"finish_reason":null}]}` + "\n\n")
}

func (s *streamWriter) chunkHead() []byte {
	b := append([]byte("data: {"), answerFields(s.c, s.created, true)...)
	return append(b, ',')
}

// answerFields returns the JSON fields that all objects of an answer have in common, without braces.
func answerFields(c *completion, created int64, chunk bool) []byte {
	object, prefix := "text_completion", "cmpl-"
	if c.chat {
		object, prefix = "chat.completion", "chatcmpl-"
		if chunk {
			object = "chat.completion.chunk"
		}
	}
	model, _ := json.Marshal(c.modelName)
	b := append([]byte(`"id":"`), prefix+c.streamID...)
	b = append(b, `","object":"`+object+`","created":`...)
	b = strconv.AppendInt(b, created, 10)
	b = append(b, `,"model":`...)
	return append(b, model...)
}

func (s *streamWriter) add(f *frame) *result.Error {
	if s.buf == nil {
		s.begin()
	}
	s.buf = append(s.buf, "id: "...)
	s.buf = strconv.AppendInt(s.buf, int64(f.count), 10)
	s.buf = append(s.buf, '\n')
	if f.end {
		s.appendEnd(f)
		return nil
	}
	s.buf = append(s.buf, s.prefix...)
	s.buf = append(s.buf, f.token()...)
	s.buf = append(s.buf, s.suffix...)
	return nil
}

func (s *streamWriter) appendEnd(f *frame) {
	s.buf = append(s.buf, s.chunkHead()...)
	empty := `"text":""`
	if s.c.chat {
		empty = `"delta":{}`
	}
	finish, _ := json.Marshal(f.finishReason)
	s.buf = append(s.buf, `"choices":[{"index":0,`+empty+`,"finish_reason":`...)
	s.buf = append(s.buf, finish...)
	s.buf = append(s.buf, "}]}\n\n"...)
	if s.c.includeUsage {
		s.buf = append(s.buf, s.chunkHead()...)
		s.buf = append(s.buf, `"choices":[],"usage":`...)
		s.buf = appendUsage(s.buf, f)
		s.buf = append(s.buf, "}\n\n"...)
	}
	s.buf = append(s.buf, "data: [DONE]\n\n"...)
}

func appendUsage(b []byte, f *frame) []byte {
	usage, _ := json.Marshal(map[string]any{
		"prompt_tokens": f.promptTokens, "completion_tokens": f.count, "total_tokens": f.promptTokens + f.count,
		"prompt_tokens_details": map[string]int{"cached_tokens": f.cachedTokens},
	})
	return append(b, usage...)
}

func (s *streamWriter) flush() error {
	control := http.NewResponseController(s.w)
	_ = control.SetWriteDeadline(time.Now().Add(s.timeout))
	_, err := s.w.Write(s.buf)
	s.buf = s.buf[:0]
	if err != nil {
		return err
	}
	return control.Flush()
}

// bufferedWriter buffers an answer and writes it with a Content-Length once it is complete.
type bufferedWriter struct {
	w       http.ResponseWriter
	x       *exchange
	c       *completion
	created int64
	max     int64
	timeout time.Duration
	text    []byte // contents of a JSON string literal, without quotes
	last    *frame // end frame
}

func (a *bufferedWriter) add(f *frame) *result.Error {
	if f.end {
		a.last = f
		return nil
	}
	t := f.token()
	if int64(len(a.text)+len(t)) > a.max {
		return result.New(result.AnswerTooLarge, "the answer exceeds %d bytes; ask for a stream", a.max)
	}
	a.text = append(a.text, t[1:len(t)-1]...)
	return nil
}

func (a *bufferedWriter) flush() error {
	if a.last == nil {
		return nil
	}
	finish, _ := json.Marshal(a.last.finishReason)
	b := make([]byte, 0, len(a.text)+512)
	b = append(b, '{')
	b = append(b, answerFields(a.c, a.created, false)...)
	b = append(b, `,"choices":[{"index":0,`...)
	if a.c.chat {
		b = append(b, `"message":{"role":"assistant","content":"`...)
		b = append(b, a.text...)
		b = append(b, `"},"finish_reason":`...)
	} else {
		b = append(b, `"text":"`...)
		b = append(b, a.text...)
		b = append(b, `","finish_reason":`...)
	}
	b = append(b, finish...)
	b = append(b, `}],"usage":`...)
	b = appendUsage(b, a.last)
	b = append(b, '}')
	h := a.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(b)))
	_ = http.NewResponseController(a.w).SetWriteDeadline(time.Now().Add(a.timeout))
	a.x.started = true
	_, err := a.w.Write(b)
	return err
}
