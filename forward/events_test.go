package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"testing"

	"bergamotcroft.example/bergamot/internal/bounded"
)

// Guards against an event reader that loses, adds or changes bytes of any input, or returns an event above its bound.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
	f.Add([]byte(": comment\r\n\r\nid:3\r\n\r\n"))
	f.Add([]byte("id: 1\ndata: cut"))
	f.Add(bytes.Repeat([]byte("x"), maxEventBytes+1))
	f.Fuzz(func(t *testing.T, b []byte) {
		events := eventReader{r: bufio.NewReaderSize(bytes.NewReader(b), eventBufferBytes)}
		var out []byte
		for {
			ev, err := events.next()
			if err != nil {
				_, over := bounded.LimitExceeded(err)
				if !over && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
					t.Fatal(err)
				}
				if errors.Is(err, io.EOF) && len(bytes.TrimSpace(b[len(out):])) > 0 {
					t.Fatalf("%q is left out of a stream that looks complete", b[len(out):])
				}
				break
			}
			if len(ev.raw) > maxEventBytes {
				t.Fatalf("an event of %d bytes", len(ev.raw))
			}
			out = append(out, ev.raw...)
		}
		if !bytes.HasPrefix(b, out) {
			t.Fatal("the events differ from the input")
		}
	})
}
