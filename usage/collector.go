package usage

import (
	"cmp"
	"context"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// maxCollections bounds the calls at once: the holder may be a VM with 0.144 core.
	maxCollections = 8
	// collectTimeout bounds one call, and stepCollectTimeout those of one step. A VM that answers later is asked again.
	collectTimeout     = 500 * time.Millisecond
	stepCollectTimeout = time.Second
)

// collector gathers the counts of all VMs, and learns the true time from their clocks. Its times are those of the steady
// clock unless stated otherwise.
type collector struct {
	o        *ReporterOptions
	lastStep time.Time
	tried    map[string]time.Time // of the last call, by VM
	answered map[string]time.Time // when counts were asked for that have arrived, by VM
	clocks   map[string]clockSample
	offset   time.Duration // from the steady clock to true time
	sources  map[Source]WindowCounts
}

// clockSample is how far a VM's clock is ahead of this VM's steady clock.
type clockSample struct {
	offset time.Duration
	at     time.Time
}

func newCollector(o *ReporterOptions) collector {
	return collector{o: o, tried: map[string]time.Time{}, answered: map[string]time.Time{}, clocks: map[string]clockSample{}, sources: map[Source]WindowCounts{}}
}

// begin makes all VMs be asked at once, as a new holder has to.
func (c *collector) begin(now time.Time) {
	c.lastStep = now.Add(-c.o.Window)
	clear(c.tried)
}

func (c *collector) steadyNow() time.Time             { return c.o.Counter.o.Clock.Now() }
func (c *collector) trueTime(t time.Time) time.Time   { return t.Add(c.offset) }
func (c *collector) steadyTime(t time.Time) time.Time { return t.Add(-c.offset) }
func (c *collector) now() time.Time                   { return c.trueTime(c.steadyNow()) }

// round is the time in which each VM is asked once.
func (c *collector) round() time.Duration { return c.o.Window / collectionsPerWindow }

// collect asks the VMs that are due for the counts from a window on. 0: from the oldest.
func (c *collector) collect(ctx context.Context, from int64) {
	ctx, cancel := context.WithTimeout(ctx, stepCollectTimeout)
	defer cancel()
	members := c.o.Members()
	c.forget(members)
	now := c.steadyNow()
	own := c.o.Counter
	c.clocks[own.o.Self.VM] = clockSample{own.Wall().Sub(now), now}
	due := c.due(members, now)
	if c.unknownClocks(members) {
		c.ask(ctx, due, func() Query { return Query{} })
	}
	c.updateOffset()
	c.ask(ctx, due, func() Query { return c.query(from) })
	c.updateOffset()
	q := c.query(from)
	c.merge(own.o.Self.VM, own.Collect(own.o.Self.VM, q.Now, q.First, q.Last))
}

func (c *collector) query(from int64) Query {
	now := c.now()
	last := WindowOf(now, c.o.Window)
	return Query{Now: now, First: max(from, last-windowsKept+1), Last: last}
}

// unknownClocks reports whether too few clocks are known to state the time.
func (c *collector) unknownClocks(members []Member) bool { return 2*len(c.clocks) <= len(members)+1 }

// due returns the VMs to ask in this step. Calls are spread evenly over a round.
func (c *collector) due(members []Member, now time.Time) []Member {
	elapsed := now.Sub(c.lastStep)
	c.lastStep = now
	n := int(math.Ceil(catchUp * float64(len(members)) * float64(elapsed) / float64(c.round())))
	list := slices.Clone(members)
	list = slices.DeleteFunc(list, func(m Member) bool { return now.Sub(c.tried[m.Name]) < c.round()*3/4 })
	slices.SortStableFunc(list, func(a, b Member) int {
		return cmp.Or(c.tried[a.Name].Compare(c.tried[b.Name]), cmp.Compare(a.Name, b.Name))
	})
	return list[:min(n, len(list))]
}

// catchUp is above 1, so that a round that was late, for example by a slow report, does not stay so.
const catchUp = 1.1

// ask asks VMs, maxCollections at once, and merges their answers.
func (c *collector) ask(ctx context.Context, members []Member, query func() Query) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxCollections)
	for _, m := range members {
		slots <- struct{}{}
		mu.Lock()
		q := query()
		asked := c.steadyNow()
		c.tried[m.Name] = asked
		mu.Unlock()
		wg.Go(func() {
			defer func() { <-slots }()
			callCtx, cancel := context.WithTimeout(ctx, collectTimeout)
			defer cancel()
			a, err := c.o.Collect(callCtx, m, q)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				notCollected.Inc()
				c.o.Log.Debug("usage not collected", zap.String("vm", m.Name), zap.Error(err))
				return
			}
			collected.Inc()
			got := c.steadyNow()
			c.clocks[m.Name] = clockSample{a.Wall.Sub(asked.Add(got.Sub(asked) / 2)), got}
			if !q.Now.IsZero() {
				c.answered[m.Name] = asked
				c.merge(m.Name, a.Sources)
			}
		})
	}
	wg.Wait()
}

// merge adds counts. A VM's own answer replaces an earlier one. What others have taken over from it counts if it is not less:
// a VM that has stopped may have counted more after its last answer.
func (c *collector) merge(from string, sources map[Source]WindowCounts) {
	for s, windows := range sources {
		if c.sources[s] == nil {
			c.sources[s] = WindowCounts{}
		}
		for k, counts := range windows {
			if old, ok := c.sources[s][k]; !ok || s.VM == from || total(counts) >= total(old) {
				c.sources[s][k] = counts
			}
		}
	}
}

func total(counts Counts) (n int) {
	for _, x := range counts {
		n += x
	}
	return n
}

// updateOffset sets the true time to the median of the clocks.
func (c *collector) updateOffset() {
	offsets := make([]time.Duration, 0, len(c.clocks))
	for _, s := range c.clocks {
		offsets = append(offsets, s.offset)
	}
	c.offset = median(offsets)
}

// forget drops the clocks of VMs that have ended or have not answered for a window, so that a VM that was cut off does not
// distort the time. Counts stay.
func (c *collector) forget(members []Member) {
	names := map[string]bool{c.o.Counter.o.Self.VM: true}
	for _, m := range members {
		names[m.Name] = true
	}
	oldest := c.steadyNow().Add(-2 * c.o.Window)
	maps.DeleteFunc(c.clocks, func(name string, s clockSample) bool { return !names[name] || s.at.Before(oldest) })
	gone := func(name string, _ time.Time) bool { return !names[name] }
	maps.DeleteFunc(c.tried, gone)
	maps.DeleteFunc(c.answered, gone)
}

// timeKnown reports whether the clocks of most VMs are known, or have been waited for since a time.
func (c *collector) timeKnown(since time.Time) bool {
	return !c.unknownClocks(c.o.Members()) || !c.steadyNow().Before(since.Add(c.o.Window))
}

// answeredSince returns how many VMs were asked at a time or later and have answered, how many of these and of the
// reachable ones there are, and how many VMs are known. This VM is one of them.
func (c *collector) answeredSince(t time.Time) (answered, expected, known int) {
	answered, expected, known = 1, 1, 1
	for _, m := range c.o.Members() {
		if m.Ending {
			continue
		}
		known++
		at, ok := c.answered[m.Name]
		ok = ok && !at.Before(t)
		if ok {
			answered++
		}
		if ok || m.Expected {
			expected++
		}
	}
	return answered, expected, known
}

// earliest returns the first window with a count, or the present one.
func (c *collector) earliest(present int64) int64 {
	first := present
	for _, windows := range c.sources {
		for k, counts := range windows {
			if len(counts) > 0 {
				first = min(first, k)
			}
		}
	}
	return first
}

// drop frees the counts of the windows before one.
func (c *collector) drop(before int64) {
	for s, windows := range c.sources {
		maps.DeleteFunc(windows, func(k int64, _ Counts) bool { return k < before })
		if len(windows) == 0 {
			delete(c.sources, s)
		}
	}
}
