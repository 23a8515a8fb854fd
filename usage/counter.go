// Package usage counts the requests that upstreams began to run for each account, and reports them to the platform in
// windows of true time.
//
// Invariants: a request counts once; two different reports are never sent for one window; a report is in the store before
// it is sent.
package usage

import (
	"maps"
	"slices"
	"sync"
	"time"

	"bergamotcroft.example/bergamot/store"
)

const (
	// windowsKept is the number of windows that VMs and the record keep, the present one included.
	windowsKept = 8
	// bucketTime is the precision of a count's time. It shifts at most 1/200 of the counts of a window of 5 s to a
	// neighbour.
	bucketTime = 25 * time.Millisecond
	// maxSources bounds the stopped VMs whose counts are kept. The holder gets those of all VMs that stop within the windows
	// kept.
	maxSources = 128
)

// Counts holds requests by account.
type Counts map[string]int

// Source identifies one start of an entry VM.
type Source struct {
	VM   string
	Boot uint64
}

// WindowCounts holds counts by window.
type WindowCounts map[int64]Counts

// CounterOptions configures a Counter. Self and Window are required.
type CounterOptions struct {
	Self   Source
	Window time.Duration
	Clock  store.Clock      // steady; nil: store.BootClock
	Wall   func() time.Time // time of day, near true time; nil: that of the system
}

// Counter counts the requests that began to run for this entry VM, by its steady clock. All methods are safe for concurrent
// use.
type Counter struct {
	o CounterOptions

	mu      sync.Mutex
	buckets []bucket      // ring, by the number of the bucket
	offset  time.Duration // from the steady clock to true time, as last stated by a holder
	stated  bool
	holder  string                  // that stated it
	taken   map[Source]WindowCounts // of VMs that have stopped
}

// bucket holds the requests that began in one bucketTime.
type bucket struct {
	number  int64
	entries []entry
}

type entry struct {
	account string
	n       int
}

// NewCounter returns a counter. Its memory is bounded by the accounts that are served within a bucket, and by the windows
// kept.
func NewCounter(o CounterOptions) *Counter {
	if o.Clock == nil {
		o.Clock = store.BootClock{}
	}
	if o.Wall == nil {
		o.Wall = time.Now
	}
	n := int(windowsKept*o.Window/bucketTime) + 1
	return &Counter{o: o, buckets: make([]bucket, n), taken: map[Source]WindowCounts{}}
}

// Began counts a request that begins to run now.
func (c *Counter) Began(account string) { c.BeganAt(account, c.o.Clock.Now()) }

// BeganAt counts a request that began to run at a time of the steady clock. A time that is so long past that its window may have been
// collected counts as the earliest one that has not: the request would be in no report otherwise.
func (c *Counter) BeganAt(account string, at time.Time) {
	began.Inc()
	if earliest := c.o.Clock.Now().Add(-settleTime); at.Before(earliest) {
		at = earliest
	}
	number := at.UnixNano() / int64(bucketTime)
	c.mu.Lock()
	defer c.mu.Unlock()
	b := &c.buckets[number%int64(len(c.buckets))]
	switch {
	case b.number > number: // the request began before all windows kept
		tooLate.Inc()
		return
	case b.number < number:
		b.number = number
		clear(b.entries) // frees the names
		b.entries = b.entries[:0]
	}
	for i := range b.entries {
		if b.entries[i].account == account {
			b.entries[i].n++
			return
		}
	}
	b.entries = append(b.entries, entry{account, 1})
}

// WindowOf returns the window that contains a time.
func WindowOf(t time.Time, window time.Duration) int64 {
	n, w := t.UnixNano(), int64(window)
	if n < 0 {
		return (n+1)/w - 1
	}
	return n / w
}

// EndOf returns the end of a window.
func EndOf(k int64, window time.Duration) time.Time { return time.Unix(0, (k+1)*int64(window)) }

// Wall returns the time of day.
func (c *Counter) Wall() time.Time { return c.o.Wall().Round(0) }

// Collect returns the counts in the windows from first to last, of this VM and of those whose counts it has taken over. now
// is the true time as holder states it.
func (c *Counter) Collect(holder string, now time.Time, first, last int64) map[Source]WindowCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offset, c.stated, c.holder = now.Sub(c.o.Clock.Now()), true, holder
	out := map[Source]WindowCounts{c.o.Self: c.own(first, last)}
	c.evict()
	for s, windows := range c.taken {
		kept := WindowCounts{}
		for k, counts := range windows {
			if k >= first && k <= last {
				kept[k] = counts
			}
		}
		out[s] = kept
	}
	return out
}

// own returns this VM's counts in true time. The lock must be held.
func (c *Counter) own(first, last int64) WindowCounts {
	out := WindowCounts{}
	for k := max(first, last-windowsKept+1); k <= last; k++ {
		out[k] = Counts{}
	}
	oldest := c.o.Clock.Now().Add(-windowsKept*c.o.Window).UnixNano() / int64(bucketTime)
	for i := range c.buckets {
		b := &c.buckets[i]
		if b.number < oldest || len(b.entries) == 0 {
			continue
		}
		middle := time.Unix(0, b.number*int64(bucketTime)+int64(bucketTime)/2).Add(c.offset)
		counts, ok := out[WindowOf(middle, c.o.Window)]
		if !ok {
			continue
		}
		for _, e := range b.entries {
			counts[e.account] += e.n
		}
	}
	return out
}

// now returns the true time as far as this VM knows it. The lock must be held.
func (c *Counter) now() time.Time {
	if !c.stated {
		c.offset = c.Wall().Sub(c.o.Clock.Now())
	}
	return c.o.Clock.Now().Add(c.offset)
}

// HandOver returns all counts of this VM, and those that it has taken over, for a VM that goes on, and the name of the last
// holder that has collected here.
func (c *Counter) HandOver() (holder string, sources map[Source]WindowCounts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := WindowOf(c.now(), c.o.Window)
	c.evict()
	sources = map[Source]WindowCounts{}
	for s, windows := range c.taken {
		sources[s] = maps.Clone(windows)
	}
	sources[c.o.Self] = c.own(last-windowsKept+1, last)
	return c.holder, sources
}

// Holder returns the name of the last holder that has collected here, or "".
func (c *Counter) Holder() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder
}

// TakeOver keeps the counts of VMs that stop.
func (c *Counter) TakeOver(sources map[Source]WindowCounts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evict()
	for s, windows := range sources {
		if _, known := c.taken[s]; s == c.o.Self || !known && len(c.taken) >= maxSources {
			continue
		}
		c.taken[s] = windows
		takenOver.Inc()
	}
}

// evict drops what is older than the windows kept. The lock must be held.
func (c *Counter) evict() {
	oldest := WindowOf(c.now(), c.o.Window) - windowsKept + 1
	for s, windows := range c.taken {
		maps.DeleteFunc(windows, func(k int64, _ Counts) bool { return k < oldest })
		if len(windows) == 0 {
			delete(c.taken, s)
		}
	}
}

// sum adds up the counts of all sources in a window.
func sum(sources map[Source]WindowCounts, k int64) Counts {
	out := Counts{}
	for _, windows := range sources {
		for account, n := range windows[k] {
			out[account] += n
		}
	}
	return out
}

// median returns the middle one of the values, the lower one of two.
func median(values []time.Duration) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
