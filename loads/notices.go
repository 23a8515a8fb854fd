package loads

import "slices"

// queued is a value that is sent in several messages, to make up for lost datagrams.
type queued[T any] struct {
	value     T
	sendsLeft int
}

// takeQueued returns at most limit values for the next message, and the entries that are left for later ones.
func takeQueued[T any](list []queued[T], limit int) (taken []T, rest []queued[T]) {
	rest = list[:0]
	for _, r := range list {
		if len(taken) < limit {
			taken = append(taken, r.value)
			r.sendsLeft--
		}
		if r.sendsLeft > 0 {
			rest = append(rest, r)
		}
	}
	return taken, rest
}

// notices is a bounded queue of distinct values to send to peers.
type notices[T comparable] []queued[T]

func (n *notices[T]) add(values ...T) {
	for _, v := range values {
		if len(*n) < maxPending && !slices.ContainsFunc(*n, func(r queued[T]) bool { return r.value == v }) {
			*n = append(*n, queued[T]{v, noticeSends})
		}
	}
}

// queueNotice queues a notice for the peers, and for other data centres if this VM is a relay.
func queueNotice[T comparable](x *Exchange, own, relayed *notices[T], value T) {
	x.mu.Lock()
	defer x.mu.Unlock()
	own.add(value)
	relayed.add(value)
	x.TriggerRound()
}

// take returns at most limit notices for the next message.
func (n *notices[T]) take(limit int) (taken []T) {
	taken, *n = takeQueued(*n, limit)
	return taken
}
