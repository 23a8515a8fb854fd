package quarantine

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// runs are the runs in hand at upstreams, and those that broke off lately. A ledger's lock guards them.
type runs struct {
	at    map[string]map[Fingerprint]*openRun // by upstream
	ended map[string]time.Time                // upstreams whose process has ended lately
	swept time.Time
}

func newRuns() runs {
	return runs{at: map[string]map[Fingerprint]*openRun{}, ended: map[string]time.Time{}}
}

// openRun is what is in hand of one fingerprint at one upstream.
type openRun struct {
	crash  uint32 // names the crash that would end it
	open   int
	broken time.Time // when one broke off; zero: none has
}

const (
	// brokenLife is how long a run that broke off waits for word that its upstream's process has ended: a dark upstream's entry lapses after
	// three heartbeats.
	brokenLife = 5 * time.Second
	// endedLife is how long an ended process explains runs that break off: all connections of a process end within it.
	endedLife  = 500 * time.Millisecond
	sweepEvery = time.Second
)

// Sent notes that a run is sent to an upstream. Each Sent is followed by one Broken or Ended.
func (l *Ledger) Sent(fp Fingerprint, upstream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep()
	m := l.runs.at[upstream]
	if m == nil {
		m = map[Fingerprint]*openRun{}
		l.runs.at[upstream] = m
	}
	r := m[fp]
	if r == nil || r.open <= 0 && r.broken.IsZero() {
		r = &openRun{crash: l.nextCrash(fp, upstream)}
		m[fp] = r
	}
	r.open++
}

// nextCrash names the next crash of an upstream under a fingerprint. Runs of all entry VMs that one crash ends were sent before it was known,
// and name it alike; one that is sent later names another crash, also if the upstream has come back under its name. The lock is held.
func (l *Ledger) nextCrash(fp Fingerprint, upstream string) uint32 {
	var known map[uint32]struct{}
	if l.count(fp) > 0 {
		known = l.entries[fp].crashes
	}
	for n := 0; ; n++ {
		id := max(uint32(xxhash.Sum64String(upstream+"#"+strconv.Itoa(n))), firstCrash)
		if _, ok := known[id]; !ok {
			return id
		}
	}
}

// Ended notes that a run has ended otherwise than by its upstream's breaking off.
func (l *Ledger) Ended(fp Fingerprint, upstream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.runs.at[upstream][fp]
	if r == nil {
		return
	}
	if r.open--; r.open <= 0 && r.broken.IsZero() {
		l.forget(fp, upstream)
	}
}

// Broken notes that an upstream broke a run off, or fell silent. It returns the crashes of the fingerprint, and whether this was one. It may
// still become one when the process is found to have ended.
func (l *Ledger) Broken(fp Fingerprint, upstream string) (crashes int, crashed bool) {
	now := l.opts.Now()
	l.mu.Lock()
	r := l.runs.at[upstream][fp]
	if r == nil {
		defer l.mu.Unlock()
		return l.count(fp), false
	}
	r.open--
	r.broken = now
	ended, ok := l.runs.ended[upstream]
	if !ok || now.Sub(ended) > endedLife {
		defer l.mu.Unlock()
		return l.count(fp), false
	}
	n := l.crashed(fp, upstream, r)
	l.mu.Unlock()
	l.opts.Tell(fp, r.crash)
	return n, true
}

// ProcessEnded notes that an upstream's process has ended: it accepts no connections, or another start has taken its place. Runs that broke off
// there lately were in hand at a crash. It returns their fingerprints, each with its crashes so far.
func (l *Ledger) ProcessEnded(upstream string) map[Fingerprint]int {
	now := l.opts.Now()
	crashes := map[Fingerprint]int{}
	ids := map[Fingerprint]uint32{}
	l.mu.Lock()
	l.sweep()
	l.runs.ended[upstream] = now
	for fp, r := range l.runs.at[upstream] {
		if r.broken.IsZero() || now.Sub(r.broken) > brokenLife {
			continue
		}
		ids[fp] = r.crash
		crashes[fp] = l.crashed(fp, upstream, r)
	}
	l.mu.Unlock()
	for fp, id := range ids {
		l.opts.Tell(fp, id)
	}
	return crashes
}

// crashed counts the crash of a run that broke off. The lock is held.
func (l *Ledger) crashed(fp Fingerprint, upstream string, r *openRun) int {
	r.broken = time.Time{}
	if r.open <= 0 {
		l.forget(fp, upstream)
	}
	return l.note(fp, r.crash, fromSelf)
}

func (l *Ledger) forget(fp Fingerprint, upstream string) {
	m := l.runs.at[upstream]
	delete(m, fp)
	if len(m) == 0 {
		delete(l.runs.at, upstream)
	}
}

// sweep forgets broken runs and ended processes that are too old to count. The lock is held.
func (l *Ledger) sweep() {
	now := l.opts.Now()
	if now.Sub(l.runs.swept) < sweepEvery {
		return
	}
	l.runs.swept = now
	for upstream, at := range l.runs.ended {
		if now.Sub(at) > endedLife {
			delete(l.runs.ended, upstream)
		}
	}
	for upstream, m := range l.runs.at {
		for fp, r := range m {
			if r.open <= 0 && now.Sub(r.broken) > brokenLife {
				l.forget(fp, upstream)
			}
		}
	}
}

// refused returns the fingerprints that are refused, in order. The lock is held.
func (l *Ledger) refused() []Fingerprint {
	var out []Fingerprint
	for fp := range l.entries {
		if l.count(fp) >= l.opts.Limit {
			out = append(out, fp)
		}
	}
	slices.Sort(out)
	return out
}
