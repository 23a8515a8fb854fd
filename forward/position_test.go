package forward

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"

	_ "bergamotcroft.example/bergamot/internal/fixedseed"
)

// Guards against an id that is taken as the next one although it is not, and the reverse.
func TestPositionFit(t *testing.T) {
	for _, tc := range []struct {
		ids  string // of the stream so far
		id   string
		want fit
	}{
		{"", "1", follows},
		{"", "x", follows},
		{"1", "2", follows},
		{"4", "8", follows}, // the step is not known yet
		{"1 2", "3", follows},
		{"1 2", "2", repeats},
		{"1 2", "02", repeats},
		{"1 2", "1", decreases},
		{"1 2", "0", decreases},
		{"1 2", "4", skips},
		{"1 2", "x", mixedKinds},
		{"1 2", "-3", mixedKinds},
		{"1 2", "1000000000000000000", mixedKinds}, // more digits than a number has
		{"9 10", "11", follows},
		{"4 8", "12", follows},
		{"4 8", "9", follows},
		{"4 8", "8", repeats},
		{"4 8", "7", decreases},
		{"4 8 9", "11", follows},
		{"999999999999999998 999999999999999999", "999999999999999998", decreases},
		{"a b", "b", repeats},
		{"a b", "a", follows}, // an order of texts is not known
		{"a b", "3", mixedKinds},
	} {
		var p position
		for _, id := range strings.Fields(tc.ids) {
			p.advance([]byte(id))
		}
		if got := p.fit([]byte(tc.id)); got != tc.want {
			t.Errorf("%q after %q: %d, want %d", tc.id, tc.ids, got, tc.want)
		}
	}
}

// Guards against attempts of any kind whose relayed events leave a piece out, repeat one or are of no attempt.
func TestAttemptsJoinToOneStream(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var pos position
		var relayed []int
		for attempt := range rapid.IntRange(1, 5).Draw(rt, "attempts") {
			next := max(int(pos.number)+rapid.IntRange(-2, 3).Draw(rt, "from"), 1)
			var sent strings.Builder
			for range rapid.IntRange(0, 8).Draw(rt, "events") {
				switch rapid.IntRange(0, 12).Draw(rt, "fault") {
				case 0:
					next++
				case 1:
					next = max(next-1, 1)
				case 2:
					sent.WriteString(": comment\n\n")
				}
				fmt.Fprintf(&sent, "id: %d\ndata: x\n\n", next)
				next++
			}
			seq := &sequence{position: pos.clone(), continues: attempt > 0}
			events := eventReader{r: bufio.NewReader(strings.NewReader(sent.String()))}
			for {
				ev, err := events.next()
				if errors.Is(err, io.EOF) {
					break
				}
				relay, reason := seq.next(&ev)
				if reason != "" {
					break
				}
				if relay && len(ev.id) > 0 {
					n, _ := strconv.Atoi(string(ev.id))
					relayed, pos = append(relayed, n), seq.position
				}
			}
		}
		for i := 1; i < len(relayed); i++ {
			if relayed[i] <= relayed[i-1] || relayed[1] == relayed[0]+1 && relayed[i] != relayed[i-1]+1 {
				rt.Fatalf("events %v are relayed", relayed)
			}
		}
	})
}

// Guards against memory allocated for each event of a stream.
func TestPositionsAllocateNothing(t *testing.T) {
	var s sequence
	var id [20]byte
	n := int64(1e6)
	s.next(&event{id: strconv.AppendInt(id[:0], n, 10), data: true})
	if a := testing.AllocsPerRun(1000, func() {
		n++
		ev := event{id: strconv.AppendInt(id[:0], n, 10), data: true}
		if relay, _ := s.next(&ev); !relay {
			t.Fatal("not relayed")
		}
	}); a != 0 {
		t.Fatalf("%v allocations per event", a)
	}
}
