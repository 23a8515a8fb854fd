package quarantine

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// runTable holds the runs in flight at upstreams and those that broke off recently. The ledger's lock guards it.
type runTable struct {
	byUpstream     map[string]map[Fingerprint]*openRun
	endedProcesses map[string]time.Time // upstreams whose process has ended recently
	lastAnswers    map[string]time.Time // by upstream: when it last answered, whatever the request
	lastSweep      time.Time
}

func newRunTable() runTable {
	return runTable{byUpstream: map[string]map[Fingerprint]*openRun{}, endedProcesses: map[string]time.Time{}, lastAnswers: map[string]time.Time{}}
}

// openRun holds the runs of one fingerprint at one upstream.
type openRun struct {
	crash    uint32 // identifier of the crash if the upstream ends during these runs
	inFlight int
	sentAt   time.Time // when the first run was sent
	brokenAt time.Time // when the last run broke off or was abandoned; zero: none was, or its crash has been counted
	// abandoned is set if the upstream gave no sign at brokenAt. The end is a crash only if the upstream has answered nothing since.
	abandoned bool
	// processEndedAt is when the upstream's process was known to have ended while runs were in flight, as on connections that have gone
	// silent; zero: it is not.
	processEndedAt time.Time

	parts      []PartID  // shared parts of the prompt
	partCrash  uint32    // identifier of the crash in the part ledger
	answeredAt time.Time // when the first event arrived; zero: none has
}

const (
	// brokenRunTTL is how long after a break the end of the upstream's process still makes it a crash: the registration
	// of an unreachable upstream expires after three heartbeats.
	brokenRunTTL = 5 * time.Second
	// endedProcessTTL is how long after the end of a process a break counts as its crash: all connections of a process
	// end within that time.
	endedProcessTTL = 500 * time.Millisecond
	sweepEvery      = time.Second
)

// RunSent records that a run is sent to an upstream, with the shared parts of its prompt. Each RunSent is followed by one
// RunBroken or RunEnded.
func (l *Ledger) RunSent(fp Fingerprint, upstream string, parts ...PartID) {
	var partCrash uint32
	if len(parts) > 0 {
		partCrash = l.opts.Parts.nextCrash(upstream)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep()
	m := l.runs.byUpstream[upstream]
	if m == nil {
		m = map[Fingerprint]*openRun{}
		l.runs.byUpstream[upstream] = m
	}
	r := m[fp]
	if r == nil || r.inFlight <= 0 && r.brokenAt.IsZero() {
		r = &openRun{crash: l.nextCrash(fp, upstream), parts: parts, partCrash: partCrash, sentAt: l.opts.Now()}
		m[fp] = r
	}
	r.inFlight++
}

// RunAnswered records that the first event of a run has arrived.
func (l *Ledger) RunAnswered(fp Fingerprint, upstream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.runs.byUpstream[upstream][fp]; r != nil && r.answeredAt.IsZero() {
		r.answeredAt = l.opts.Now()
	}
}

// nextCrash returns the identifier of an upstream's next crash under a fingerprint. All runs that one crash ends, at
// any entry VM, were sent before the crash was known and compute the same identifier. Runs sent later get another
// identifier, even if the upstream has restarted under the same name. The lock is held.
func (l *Ledger) nextCrash(fp Fingerprint, upstream string) uint32 {
	var known map[uint32]struct{}
	if l.count(fp) > 0 {
		known = l.entries[fp].crashes
	}
	return crashID(upstream, func(id uint32) bool { _, ok := known[id]; return ok })
}

// crashID returns the identifier of the first crash of an upstream that is not known.
func crashID(upstream string, known func(uint32) bool) uint32 {
	for n := 0; ; n++ {
		id := max(uint32(xxhash.Sum64String(upstream+"#"+strconv.Itoa(n))), firstCrash)
		if !known(id) {
			return id
		}
	}
}

// RunEnded records that a run has ended for a reason other than a break by its upstream.
func (l *Ledger) RunEnded(fp Fingerprint, upstream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.runs.byUpstream[upstream][fp]
	if r == nil {
		return
	}
	if r.inFlight--; r.inFlight <= 0 && r.brokenAt.IsZero() {
		l.forget(fp, upstream)
	}
}

// RunBroken records that an upstream broke a run off. It returns the number of crashes of the
// fingerprint and whether this break counts as one. A break may still become a crash when ProcessEnded is called.
func (l *Ledger) RunBroken(fp Fingerprint, upstream string) (crashes int, crashed bool) {
	now := l.opts.Now()
	l.mu.Lock()
	r := l.runs.byUpstream[upstream][fp]
	if r == nil {
		defer l.mu.Unlock()
		return l.count(fp), false
	}
	r.inFlight--
	r.brokenAt, r.abandoned = now, false
	ended, ok := l.runs.endedProcesses[upstream]
	if !ok || now.Sub(ended) > endedProcessTTL {
		defer l.mu.Unlock()
		return l.count(fp), false
	}
	n, publish := l.countBroken(fp, upstream, r)
	l.mu.Unlock()
	publish()
	return n, true
}

// RunAbandoned records that a run has ended without a sign of its upstream, as when the caller's time is over. It returns the number of
// crashes of the fingerprint, whether this end counts as one because the upstream's process had ended before, and whether the upstream
// has answered no request since the run was sent. The run may still become a crash when ProcessEnded is called.
func (l *Ledger) RunAbandoned(fp Fingerprint, upstream string) (crashes int, crashed, silent bool) {
	l.mu.Lock()
	r := l.runs.byUpstream[upstream][fp]
	if r == nil {
		defer l.mu.Unlock()
		return l.count(fp), false, false
	}
	r.inFlight--
	if r.brokenAt.IsZero() || r.abandoned {
		r.brokenAt, r.abandoned = l.opts.Now(), true
	}
	if !l.endedBefore(r, upstream) {
		defer l.mu.Unlock()
		return l.count(fp), false, !l.runs.lastAnswers[upstream].After(r.sentAt)
	}
	n, publish := l.countBroken(fp, upstream, r)
	l.mu.Unlock()
	publish()
	return n, true, true
}

// endedBefore reports whether the upstream's process had ended before a run did, with no answer since. The lock is held.
func (l *Ledger) endedBefore(r *openRun, upstream string) bool {
	return !r.processEndedAt.IsZero() && !l.runs.lastAnswers[upstream].After(r.processEndedAt)
}

// UpstreamAnswered records that an upstream has answered a request.
func (l *Ledger) UpstreamAnswered(upstream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs.lastAnswers[upstream] = l.opts.Now()
}

// ProcessEnded records that an upstream's process has ended: it accepts no connections, or another process has taken
// its place. Runs that broke off there recently count as crashes. It returns their fingerprints with the number of
// crashes of each.
func (l *Ledger) ProcessEnded(upstream string) map[Fingerprint]int {
	now := l.opts.Now()
	crashes := map[Fingerprint]int{}
	var publish []func()
	l.mu.Lock()
	l.sweep()
	l.runs.endedProcesses[upstream] = now
	for fp, r := range l.runs.byUpstream[upstream] {
		if r.inFlight > 0 && r.processEndedAt.IsZero() {
			r.processEndedAt = now
		}
		if r.brokenAt.IsZero() || now.Sub(r.brokenAt) > brokenRunTTL || r.abandoned && l.runs.lastAnswers[upstream].After(r.brokenAt) {
			continue
		}
		n, publishOne := l.countBroken(fp, upstream, r)
		crashes[fp], publish = n, append(publish, publishOne)
	}
	l.mu.Unlock()
	for _, publishOne := range publish {
		publishOne()
	}
	return crashes
}

// countBroken counts a run that broke off as a crash and returns the number of crashes. publish, which is called without the lock, tells
// the part ledger and the other entry VMs. The lock is held.
func (l *Ledger) countBroken(fp Fingerprint, upstream string, r *openRun) (n int, publish func()) {
	crash, partCrash, parts, answered := r.crash, r.partCrash, r.parts, time.Duration(0)
	if !r.answeredAt.IsZero() {
		answered = r.brokenAt.Sub(r.answeredAt)
	}
	unknown := r.abandoned && !r.answeredAt.IsZero() // how long the run had been answered when the upstream ended
	r.brokenAt = time.Time{}
	if r.inFlight <= 0 {
		l.forget(fp, upstream)
	}
	return l.countCrash(fp, crash, fromSelf), func() {
		if !unknown {
			l.opts.Parts.runCrashed(partCrash, parts, answered)
		}
		l.opts.Broadcast(fp, crash)
	}
}

func (l *Ledger) forget(fp Fingerprint, upstream string) {
	m := l.runs.byUpstream[upstream]
	delete(m, fp)
	if len(m) == 0 {
		delete(l.runs.byUpstream, upstream)
	}
}

// sweep removes broken runs and ended processes that are too old to count. The lock is held.
func (l *Ledger) sweep() {
	now := l.opts.Now()
	if now.Sub(l.runs.lastSweep) < sweepEvery {
		return
	}
	l.runs.lastSweep = now
	for upstream, at := range l.runs.endedProcesses {
		if now.Sub(at) > endedProcessTTL {
			delete(l.runs.endedProcesses, upstream)
		}
	}
	for upstream, at := range l.runs.lastAnswers {
		if len(l.runs.byUpstream[upstream]) == 0 && now.Sub(at) > brokenRunTTL {
			delete(l.runs.lastAnswers, upstream)
		}
	}
	for upstream, m := range l.runs.byUpstream {
		for fp, r := range m {
			if r.inFlight <= 0 && now.Sub(r.brokenAt) > brokenRunTTL {
				l.forget(fp, upstream)
			}
		}
	}
}

// refusedFingerprints returns the refused fingerprints in ascending order. The lock is held.
func (l *Ledger) refusedFingerprints() []Fingerprint {
	var out []Fingerprint
	for fp := range l.entries {
		if l.count(fp) >= l.opts.Limit {
			out = append(out, fp)
		}
	}
	slices.Sort(out)
	return out
}
