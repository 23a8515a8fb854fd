package replay

import (
	"container/heap"
	"time"
)

// clock holds the virtual time and the pending events. Events at the same time run in the order in which they were
// added.
type clock struct {
	now  time.Duration
	seq  uint64
	heap eventHeap
}

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	n := len(*h) - 1
	e := (*h)[n]
	(*h)[n] = event{}
	*h = (*h)[:n]
	return e
}

// after schedules f to run after d.
func (c *clock) after(d time.Duration, f func()) {
	c.seq++
	heap.Push(&c.heap, event{c.now + d, c.seq, f})
}

// step runs the next event if it is not later than end, and reports whether it ran one.
func (c *clock) step(end time.Duration) bool {
	if len(c.heap) == 0 || c.heap[0].at > end {
		return false
	}
	e := heap.Pop(&c.heap).(event)
	c.now = e.at
	e.run()
	return true
}
