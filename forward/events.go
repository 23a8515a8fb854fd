package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"bergamotcroft.example/bergamot/internal/bounded"
)

// event is one event of a stream, with its bytes as the upstream sent them.
type event struct {
	raw []byte // valid until the next read
	id  []byte // nil: none
	// data is set unless the event has comments and retry times only.
	data bool
}

const (
	// maxEventBytes bounds one event. Typical events have a few hundred bytes.
	maxEventBytes = 64 << 10
	// maxWithoutProgress bounds the bytes, such as comments, between two events with an identifier.
	maxWithoutProgress = 64 << 10
)

// eventReader reads a stream event by event, so that no part of a truncated event is relayed.
type eventReader struct {
	r   *bufio.Reader
	buf []byte
}

var idField, retryField = []byte("id:"), []byte("retry:")

// next returns the next event. It returns io.EOF when the stream ends between two events and io.ErrUnexpectedEOF when
// it ends inside an event.
func (e *eventReader) next() (event, error) {
	e.buf = e.buf[:0]
	var ev event
	idStart, idEnd := 0, 0
	lineStart := 0
	for {
		line, err := e.r.ReadSlice('\n')
		if len(e.buf)+len(line) > maxEventBytes {
			return event{}, &bounded.Error{Input: "event of a stream", Limit: maxEventBytes}
		}
		e.buf = append(e.buf, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(bytes.TrimSpace(e.buf)) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return event{}, err
		}
		line = e.buf[lineStart:]
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			break
		}
		if bytes.HasPrefix(line, idField) {
			idStart, idEnd = lineStart+len(idField), len(e.buf)
		}
		ev.data = ev.data || line[0] != ':' && !bytes.HasPrefix(line, retryField)
		lineStart = len(e.buf)
	}
	ev.raw = e.buf
	if idEnd > idStart {
		ev.id = bytes.TrimSpace(e.buf[idStart:idEnd])
	}
	return ev, nil
}
