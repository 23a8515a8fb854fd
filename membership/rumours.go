package membership

// rumours is a bounded set of updates to send to other members. Those sent least often go first, and each is dropped
// after a number of sends that grows with the logarithm of the fleet.
type rumours[T any] struct {
	bySends  [][]*rumour[T] // index: times sent
	byKey    map[string]*rumour[T]
	capacity int
}

type rumour[T any] struct {
	key      string
	value    T
	obsolete bool // replaced or dropped; skipped in bySends
}

func newRumours[T any](limit int) *rumours[T] {
	return &rumours[T]{byKey: map[string]*rumour[T]{}, capacity: limit}
}

func (r *rumours[T]) len() int { return len(r.byKey) }

// put adds or replaces the rumour of a key and restarts its sends. It returns false when the set is full.
func (r *rumours[T]) put(key string, v T) bool {
	if old, ok := r.byKey[key]; ok {
		old.obsolete = true
	} else if len(r.byKey) >= r.capacity {
		return false
	}
	n := &rumour[T]{key: key, value: v}
	r.byKey[key] = n
	r.add(0, n)
	return true
}

func (r *rumours[T]) add(sends int, n *rumour[T]) {
	for len(r.bySends) <= sends {
		r.bySends = append(r.bySends, nil)
	}
	r.bySends[sends] = append(r.bySends[sends], n)
}

func (r *rumours[T]) drop(n *rumour[T]) {
	n.obsolete = true
	if r.byKey[n.key] == n {
		delete(r.byKey, n.key)
	}
}

// take offers rumours to f, least sent first, until f returns false because no more fit or none are left. A rumour
// that f accepted counts as sent, and is dropped after limit sends.
func (r *rumours[T]) take(limit int, f func(T) (fits bool)) {
	var sent []*rumour[T]
	var sendCounts []int
	full := false
	for i := 0; i < len(r.bySends) && !full; i++ {
		n := 0
		for ; n < len(r.bySends[i]) && !full; n++ {
			item := r.bySends[i][n]
			if item.obsolete {
				continue
			}
			if i >= limit {
				r.drop(item)
				continue
			}
			if !f(item.value) {
				full = true
				break
			}
			sent, sendCounts = append(sent, item), append(sendCounts, i+1)
		}
		rest := r.bySends[i][n:]
		copy(r.bySends[i], rest)
		clear(r.bySends[i][len(rest):])
		r.bySends[i] = r.bySends[i][:len(rest)]
	}
	for i, item := range sent {
		if sendCounts[i] >= limit {
			r.drop(item)
			continue
		}
		r.add(sendCounts[i], item)
	}
}
