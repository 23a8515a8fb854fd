// Package quarantine bounds how many upstreams a request that crashes them can crash: two with a Quarantine, three by
// default with a Ledger, whose refusals an Archive stores.
//
// A request is identified by its fingerprint. In a Quarantine, a fingerprint is suspect after one crash: across all
// entry VMs it runs on one upstream at a time. After two crashes it is refused until the entry expires. Suspicion ends
// when the request completes. A run that gets past the point of the previous crash clears that crash, once: otherwise
// an innocent request that was part of two crashed batches would be refused.
//
// Invariant of a Quarantine: once a crash is known to the members, at most one run of the fingerprint is in flight,
// and none after the second crash. An entry VM that wants to run a suspect broadcasts a claim and waits for Settle,
// which is twice the time in which a broadcast reaches all members: members that run or claim the suspect answer
// within that time.
package quarantine

import (
	"context"
	"sync"
	"time"

	"bergamotcroft.example/bergamot/membership"
	"bergamotcroft.example/bergamot/result"
)

// Fingerprint is a hash of caller, model or route, and body.
type Fingerprint uint64

// maxCrashes is the number of upstream crashes after which a fingerprint is refused.
const maxCrashes = 2

// Options configures a Quarantine. The zero value suits an entry VM without peers.
type Options struct {
	List       membership.List
	Settle     time.Duration // how long a claim waits for objections; default 3 s
	Expiry     time.Duration // lifetime of crashes and of claims of other entry VMs; default 10 min
	MaxEntries int           // bound on suspect fingerprints; default 16384
	BatchDelay time.Duration // time for which messages are batched into one broadcast; default 10 ms, negative: none

	Now   func() time.Time
	After func(time.Duration) <-chan time.Time
}

func (o *Options) defaults() {
	if o.Settle <= 0 {
		o.Settle = 3 * time.Second
	}
	if o.Expiry <= 0 {
		o.Expiry = 10 * time.Minute
	}
	if o.MaxEntries <= 0 {
		o.MaxEntries = 16384
	}
	if o.BatchDelay == 0 {
		o.BatchDelay = 10 * time.Millisecond
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.After == nil {
		o.After = time.After
	}
}

// Quarantine holds one entry VM's view of the suspect fingerprints.
type Quarantine struct {
	opts Options
	self string

	mu       sync.Mutex
	running  map[Fingerprint]int // runs in flight at this entry VM, suspect or not
	suspects map[Fingerprint]*suspect
	outbox   []message
	flushing bool
}

type suspect struct {
	crashes       map[uint64]struct{}
	expires       time.Time
	claims        map[string]claim // of other entry VMs, by name
	claimed       bool             // by this entry VM
	tokensAtCrash int              // output tokens at the last crash here; -1 if the last crash was at another entry VM
	crashCleared  bool             // a run that got past the point of a crash has cleared it
	changed       chan struct{}    // closed and replaced at each change
}

// claim records that another entry VM runs a suspect or wants to.
type claim struct {
	received time.Time
	running  bool
}

// New returns a Quarantine and subscribes it to broadcasts of the membership list.
func New(o Options) *Quarantine {
	o.defaults()
	q := &Quarantine{opts: o, running: map[Fingerprint]int{}, suspects: map[Fingerprint]*suspect{}}
	if o.List != nil {
		q.self = o.List.Self().Name
		o.List.Handle(eventKind, q.handleEvent)
	}
	return q
}

// Permit allows one run of a fingerprint. End must be called.
type Permit struct {
	q  *Quarantine
	fp Fingerprint
}

// Check returns an error if the fingerprint has crashed two upstreams.
func (q *Quarantine) Check(fp Fingerprint) *result.Error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if s := q.suspect(fp); s != nil {
		return q.refusal(s)
	}
	return nil
}

// TryBegin returns a permit if the fingerprint is not suspect.
func (q *Quarantine) TryBegin(fp Fingerprint) (*Permit, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.suspect(fp) != nil {
		return nil, false
	}
	q.running[fp]++
	return &Permit{q, fp}, true
}

// Begin returns a permit at once for a fingerprint that is not suspect. For a suspect, it waits until no other run is
// in flight. Errors are *result.Error or the cause of ctx.
func (q *Quarantine) Begin(ctx context.Context, fp Fingerprint) (*Permit, error) {
	for {
		if p, ok := q.TryBegin(fp); ok {
			return p, nil
		}
		p, err := q.beginSuspect(ctx, fp)
		if p != nil || err != nil {
			return p, err
		}
	}
}

// beginSuspect claims a suspect fingerprint. It returns neither a permit nor an error when Begin must retry.
func (q *Quarantine) beginSuspect(ctx context.Context, fp Fingerprint) (*Permit, error) {
	changed, free, err := q.claim(fp)
	if err != nil {
		return nil, err
	}
	if !free {
		select {
		case <-changed:
		case <-q.opts.After(q.opts.Settle): // claims of members that are gone lapse without a message
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
		return nil, nil
	}
	settled := q.opts.After(q.settleTime())
	for {
		select {
		case <-settled:
			return q.beginClaimed(fp)
		case <-ctx.Done():
			q.unclaim(fp)
			return nil, context.Cause(ctx)
		case <-changed:
			if !q.claimHolds(fp) {
				q.unclaim(fp)
				return nil, nil
			}
			changed = q.changedChannel(fp)
		}
	}
}

// settleTime is how long a claim waits for objections.
func (q *Quarantine) settleTime() time.Duration {
	if q.opts.List == nil || len(q.opts.List.Members()) <= 1 {
		return 0
	}
	return q.opts.Settle
}

// claim claims fp unless another run or claim of it exists; free reports whether fp is now claimed. changed is closed
// at the next change.
func (q *Quarantine) claim(fp Fingerprint) (changed <-chan struct{}, free bool, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.suspect(fp)
	if s == nil {
		return closedChannel, false, nil
	}
	if e := q.refusal(s); e != nil {
		return nil, false, e
	}
	if s.claimed || q.running[fp] > 0 || q.claimedElsewhere(s) {
		return s.changed, false, nil
	}
	s.claimed = true
	q.enqueue(msgClaim, fp, 0)
	return s.changed, true, nil
}

// claimHolds reports whether this entry VM's claim holds: there is no second crash, no run elsewhere and no claim of
// another entry VM with a lower name. Both sides see both claims within the settle time and reach the same decision.
func (q *Quarantine) claimHolds(fp Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.suspect(fp)
	if s == nil || len(s.crashes) >= maxCrashes {
		return false
	}
	for vm, c := range s.claims {
		if c.running || vm < q.self {
			return false
		}
	}
	return true
}

func (q *Quarantine) changedChannel(fp Fingerprint) <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	if s := q.suspect(fp); s != nil {
		return s.changed
	}
	return closedChannel
}

func (q *Quarantine) unclaim(fp Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if s := q.suspects[fp]; s != nil && s.claimed {
		s.claimed = false
		q.enqueue(msgRelease, fp, 0)
		s.notifyChanged()
	}
}

// beginClaimed turns a settled claim into a permit.
func (q *Quarantine) beginClaimed(fp Fingerprint) (*Permit, error) {
	if !q.claimHolds(fp) {
		q.unclaim(fp)
		return nil, nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running[fp]++
	q.enqueue(msgRunning, fp, 0)
	return &Permit{q, fp}, nil
}

// Result describes how a run ended.
type Result struct {
	Completed bool   // the request ran to completion
	Crash     uint64 // identifies the crash of an upstream; 0: none
	Tokens    int    // output tokens of the answer up to the crash, over all runs
}

// clearingTokens is how many output tokens beyond the point of a crash clear it: more than the first token, which the
// prompt phase yields.
const clearingTokens = 4

// End records the end of the run.
func (p *Permit) End(r Result) {
	q := p.q
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.running[p.fp]--; q.running[p.fp] <= 0 {
		delete(q.running, p.fp)
	}
	if r.Crash != 0 {
		q.clearPassedCrash(p.fp, r.Tokens)
		q.recordCrash(p.fp, r.Crash).tokensAtCrash = r.Tokens
		q.enqueue(msgCrash, p.fp, r.Crash)
	}
	s := q.suspects[p.fp]
	if s == nil {
		return
	}
	switch {
	case r.Completed && len(s.crashes) < maxCrashes:
		q.enqueue(msgClear, p.fp, 0)
		delete(q.suspects, p.fp)
	case q.running[p.fp] == 0:
		s.claimed = false
		q.enqueue(msgRelease, p.fp, 0)
	}
	s.notifyChanged()
}

// clearPassedCrash clears the previous crash if the run got past its point. It does so once, so that a request that
// gets further each time is refused after its third crash.
func (q *Quarantine) clearPassedCrash(fp Fingerprint, tokens int) {
	s := q.suspect(fp)
	if s == nil || s.crashCleared || s.tokensAtCrash < 0 || len(s.crashes) >= maxCrashes || tokens < s.tokensAtCrash+clearingTokens {
		return
	}
	clear(s.crashes)
	s.crashCleared = true
	q.enqueue(msgClear, fp, 0)
}

// recordCrash adds a crash to the entry of a fingerprint, which it creates if needed, and returns the entry.
func (q *Quarantine) recordCrash(fp Fingerprint, id uint64) *suspect {
	s := q.suspect(fp)
	if s == nil {
		q.evictOne()
		s = &suspect{crashes: map[uint64]struct{}{}, claims: map[string]claim{}, changed: make(chan struct{})}
		q.suspects[fp] = s
	}
	s.crashes[id] = struct{}{}
	s.tokensAtCrash = -1
	s.expires = q.opts.Now().Add(q.opts.Expiry)
	s.notifyChanged()
	return s
}

// evictOne evicts an arbitrary suspect if the table is full. Refused and claimed ones are kept. The bound limits memory
// when whole batches crash.
func (q *Quarantine) evictOne() {
	if len(q.suspects) < q.opts.MaxEntries {
		return
	}
	for fp, s := range q.suspects {
		if len(s.crashes) < maxCrashes && !s.claimed {
			delete(q.suspects, fp)
			s.notifyChanged()
			return
		}
	}
}

// suspect returns the unexpired entry of a fingerprint, or nil.
func (q *Quarantine) suspect(fp Fingerprint) *suspect {
	s, ok := q.suspects[fp]
	if !ok {
		return nil
	}
	if q.opts.Now().After(s.expires) {
		delete(q.suspects, fp)
		s.notifyChanged()
		return nil
	}
	return s
}

func (q *Quarantine) refusal(s *suspect) *result.Error {
	if len(s.crashes) < maxCrashes {
		return nil
	}
	return result.New(result.Quarantined, "this request crashed %d upstreams", len(s.crashes)).
		WithRetryAfter(s.expires.Sub(q.opts.Now()))
}

// claimedElsewhere reports whether another live entry VM runs the suspect or claims it. It drops claims that no longer
// count.
func (q *Quarantine) claimedElsewhere(s *suspect) bool {
	if len(s.claims) == 0 {
		return false
	}
	now := q.opts.Now()
	live := map[string]bool{}
	for _, m := range q.opts.List.Members() {
		live[m.Name] = true
	}
	for vm, c := range s.claims {
		if live[vm] && now.Sub(c.received) < q.opts.Expiry {
			return true
		}
		delete(s.claims, vm)
	}
	return false
}

func (s *suspect) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()
