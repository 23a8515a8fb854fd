package permits

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against messages that decode differently from how they were encoded, and against a panic on arbitrary bytes.
func TestMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := message{boot: rapid.Uint64().Draw(t, "boot"), seq: rapid.Uint64().Draw(t, "seq")}
		draw := func() statement {
			return statement{
				rapid.Uint64().Draw(t, "upstream"), rapid.Bool().Draw(t, "named"), rapid.Bool().Draw(t, "firsthand"),
				float64(rapid.Float32Range(0, 1e6).Draw(t, "rate")), time.Duration(rapid.IntRange(0, 5000).Draw(t, "age")) * time.Millisecond,
			}
		}
		for range rapid.IntRange(0, 3).Draw(t, "asks") {
			a := ask{statement: draw(), returned: rapid.IntRange(0, 9).Draw(t, "returned")}
			for i := range a.demand {
				a.demand[i] = rapid.IntRange(0, 500).Draw(t, "demand")
			}
			m.asks = append(m.asks, a)
		}
		for range rapid.IntRange(0, 3).Draw(t, "answers") {
			a := answer{statement: draw(), granted: rapid.IntRange(0, 9).Draw(t, "granted")}
			for i := range a.backlog.VMs {
				if a.backlog.VMs[i] = rapid.IntRange(0, 75).Draw(t, "VMs"); a.backlog.VMs[i] > 0 {
					a.backlog.Turn[i] = rapid.IntRange(0, 75).Draw(t, "turn")
				}
			}
			m.answers = append(m.answers, a)
		}
		is := is.New(t)
		b := m.encode()
		got, err := decode(b)
		is.NoErr(err)
		is.Equal(got, m)
		_, _ = decode(b[:rapid.IntRange(0, len(b)).Draw(t, "cut")])
		_, _ = decode(rapid.SliceOf(rapid.Byte()).Draw(t, "noise"))
	})
}

// Guards against a datagram that is larger than what a receiver reads, or than a network carries in one packet.
func TestTheLargestMessageFits(t *testing.T) {
	is := is.New(t)
	m := message{boot: 1 << 62, seq: 1 << 62}
	for range maxEntries {
		a := ask{statement: statement{perSecond: maxCount, age: maxAge}}
		for i := range a.demand {
			a.demand[i] = 500 // the queue's capacity
		}
		m.asks = append(m.asks, a)
		r := answer{statement: a.statement, granted: 500}
		for i := range r.backlog.VMs {
			r.backlog.VMs[i], r.backlog.Turn[i] = 2200, 2200
		}
		m.answers = append(m.answers, r)
	}
	is.True(len(m.encode()) <= maxDatagram)
}
