package permits

import (
	"maps"
	"slices"

	"bergamotcroft.example/bergamot/membership"
)

// outbox holds the messages of a round by address.
type outbox map[string]*message

func (o outbox) message(to string) *message {
	m := o[to]
	if m == nil {
		m = &message{}
		o[to] = m
	}
	return m
}

func (o outbox) ask(to string, a ask) {
	m := o.message(to)
	m.asks = append(m.asks, a)
}

// answer returns the answer about an upstream to a VM, which is added if there is none.
func (o outbox) answer(to string, s statement) *answer {
	m := o.message(to)
	for i := range m.answers {
		if m.answers[i].upstream == s.upstream {
			return &m.answers[i]
		}
	}
	m.answers = append(m.answers, answer{statement: s})
	return &m.answers[len(m.answers)-1]
}

// send sends the messages of a round, in several datagrams where one does not hold all entries.
func (x *Exchange) send(out outbox) {
	for _, to := range slices.Sorted(maps.Keys(out)) {
		m := out[to]
		for len(m.asks)+len(m.answers) > 0 {
			x.seq++
			asks, answers := min(len(m.asks), maxEntries), min(len(m.answers), maxEntries)
			part := message{boot: x.opts.Boot, seq: x.seq, asks: m.asks[:asks], answers: m.answers[:answers]}
			m.asks, m.answers = m.asks[asks:], m.answers[answers:]
			messagesSent.Inc()
			x.opts.Transport.Send(to, membership.Seal(x.opts.Secret, part.encode()))
		}
	}
}
