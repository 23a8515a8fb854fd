package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
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

// Guards against an id that is read from the middle of a data line, where the line exceeds the read buffer.
func TestAnIDBeginsItsLine(t *testing.T) {
	line := "data: " + strings.Repeat("x", eventBufferBytes-len("data: ")) + "id: 9\n"
	events := eventReader{r: bufio.NewReaderSize(strings.NewReader("id: 1\n"+"data: a\n\n"+line+"id: 2\n\n"+line+"\n"), eventBufferBytes)}
	for i, want := range []string{"1", "2", ""} {
		ev, err := events.next()
		if err != nil || string(ev.id) != want {
			t.Fatalf("event %d has the id %q (%v), want %q", i, ev.id, err, want)
		}
	}
}
