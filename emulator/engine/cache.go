package engine

import (
	"container/list"
	"time"

	"bergamotcroft.example/bergamot/upstream"
)

// cache is a prefix cache with least-recently-used eviction and a bounded log of its insertions and removals.
type cache struct {
	capacity      int
	order         *list.List // of hashes, most recent first
	pieces        map[uint64]*list.Element
	events        []timedEvent
	firstSequence uint64 // sequence number of events[0]
	maxEvents     int    // maximum number of events
}

type timedEvent struct {
	at    time.Time
	event upstream.CacheEvent
}

func newCache(capacity, keep int) *cache {
	return &cache{capacity: max(capacity, 1), order: list.New(), pieces: map[uint64]*list.Element{}, firstSequence: 1, maxEvents: keep}
}

func (c *cache) match(prefix []uint64) int {
	n := 0
	for _, h := range prefix {
		e, ok := c.pieces[h]
		if !ok {
			break
		}
		c.order.MoveToFront(e)
		n++
	}
	return n
}

func (c *cache) insert(now time.Time, prefix []uint64) {
	var ev upstream.CacheEvent
	for _, h := range prefix {
		if _, ok := c.pieces[h]; !ok {
			c.pieces[h] = c.order.PushFront(h)
			ev.Inserted = append(ev.Inserted, h)
		}
	}
	for c.order.Len() > c.capacity {
		h := c.order.Remove(c.order.Back()).(uint64)
		delete(c.pieces, h)
		ev.Removed = append(ev.Removed, h)
	}
	if len(ev.Inserted)+len(ev.Removed) == 0 {
		return
	}
	c.events = append(c.events, timedEvent{now, ev})
	if over := len(c.events) - c.maxEvents; over > 0 {
		c.events = append([]timedEvent(nil), c.events[over:]...)
		c.firstSequence += uint64(over)
	}
}

// since returns the events from sequence number from on that are at least as old as lag.
func (c *cache) since(now time.Time, from uint64, lag time.Duration) upstream.CacheEvents {
	out := upstream.CacheEvents{Next: max(from, c.firstSequence), Gap: from < c.firstSequence || from > c.firstSequence+uint64(len(c.events))}
	if out.Gap {
		out.Next = c.firstSequence
	}
	for _, e := range c.events[out.Next-c.firstSequence:] {
		if now.Sub(e.at) < lag {
			break
		}
		out.Events = append(out.Events, e.event)
		out.Next++
	}
	return out
}
