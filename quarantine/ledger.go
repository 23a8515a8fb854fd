package quarantine

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/result"
)

// Ledger is the lenient counterpart of Quarantine, for requests with short deadlines and a bound on the number of
// upstreams that one request may crash. After a crash, a request waits a moment for the reports of other entry VMs. The
// last allowed run is the only one across all entry VMs, and the request is refused once Limit of its runs in a row
// have crashed their upstreams. A refused request that had come to a good end before is tried again, by one run at a time.
//
// A crash is a run that broke off at an upstream whose process has ended. The break and the end of the process are
// reported separately, in either order.
//
// A Ledger is designed for two cases: a request that crashes every upstream that begins to run it and is retried
// through other entry VMs, and upstreams that crash for other reasons with a hundred innocent requests in flight.
type Ledger struct {
	opts LedgerOptions

	mu              sync.Mutex
	entries         map[Fingerprint]*entry
	runs            runTable
	completed       fingerprintSet // requests that came to a good end here
	lastRebroadcast Fingerprint    // last fingerprint that RebroadcastRefused sent
}

// LedgerOptions configures a Ledger. Zero values take the defaults.
type LedgerOptions struct {
	// Limit is the number of crashes in a row after which a fingerprint is refused; default 3, the bound that users
	// require.
	Limit int
	// Settle is how long a run waits after a crash is known, and the last allowed run after its announcement, so that newer
	// crashes and runs at other entry VMs are known before the run begins; default 60 ms. Messages reach all entry
	// VMs in about 30 ms, and the shortest target time in use is 120 ms.
	Settle time.Duration
	// ClaimTTL is how long another entry VM's announcement of the last allowed run counts; default 6 s, the longest
	// time limit of a route in use.
	ClaimTTL time.Duration
	// Expiry is how long crashes count; default 10 min.
	Expiry     time.Duration
	MaxEntries int // fingerprints kept; default 16384
	// Broadcast sends a crash identifier, Cleared, Claimed or Released to the other entry VMs. nil: there are none.
	Broadcast func(fp Fingerprint, crash uint32)
	// Parts receives the parts of prompts that were in flight at a crash; default a ledger of its own.
	Parts *PartLedger
	// OnRefused is called when a crash detected at this entry VM makes a fingerprint refused, with its crashes. It must
	// not block. Optional.
	OnRefused func(fp Fingerprint, crashes []uint32)
	// OnAdmitted is called when a good end at this entry VM ends the refusal of a fingerprint. It must not block. Optional.
	OnAdmitted func(fp Fingerprint)
	// OnEvidence is called when the result of Ledger.Evidence may have changed. It must not block. Optional.
	OnEvidence func()
	Now        func() time.Time
	// Log receives a line for each crash that is counted and each suspicion that ends; nil: none.
	Log *zap.Logger
}

// Values that Broadcast sends in place of a crash identifier.
const (
	Cleared  uint32 = iota // the fingerprint has completed
	Claimed                // the sender is about to make the last allowed run
	Released               // the last allowed run has ended, or was not made
	firstCrash
)

// Values of Retry-After for refused requests.
const (
	refusedRetryAfter = 10 * time.Second       // longer than any deadline in use, so that callers do not retry
	claimedRetryAfter = 500 * time.Millisecond // the run in flight decides within this time; answers in use take less
)

type entry struct {
	crashes          map[uint32]struct{}
	own              map[uint32]struct{} // crashes that were detected at this entry VM
	lastCrash        time.Time           // when the last crash was counted
	running          int                 // runs at this entry VM that began under suspicion
	claimedElsewhere time.Time           // when another entry VM announced the last allowed run; zero: none is announced
	trialAt          time.Time           // when a refused request is tried; zero: never
	trials           int                 // trials that are known here, of all entry VMs
	onTrial          bool                // a trial runs at this entry VM
}

// NewLedger returns a Ledger.
func NewLedger(o LedgerOptions) *Ledger {
	if o.Limit <= 0 {
		o.Limit = 3
	}
	setDefault(&o.Settle, 60*time.Millisecond)
	setDefault(&o.ClaimTTL, 6*time.Second)
	setDefault(&o.Expiry, defaultExpiry)
	if o.MaxEntries <= 0 {
		o.MaxEntries = 16384
	}
	if o.Broadcast == nil {
		o.Broadcast = func(Fingerprint, uint32) {}
	}
	if o.Parts == nil {
		o.Parts = NewPartLedger(PartLedgerOptions{})
	}
	if o.OnRefused == nil {
		o.OnRefused = func(Fingerprint, []uint32) {}
	}
	if o.OnAdmitted == nil {
		o.OnAdmitted = func(Fingerprint) {}
	}
	if o.OnEvidence == nil {
		o.OnEvidence = func() {}
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	return &Ledger{opts: o, entries: map[Fingerprint]*entry{}, runs: newRunTable(), completed: newFingerprintSet(completedCapacity, o.Expiry)}
}

// defaultExpiry is longer than callers keep retrying a request.
const defaultExpiry = 10 * time.Minute

// completedCapacity bounds the memory for completed requests to about half a megabyte.
const completedCapacity = 8192

func setDefault(v *time.Duration, d time.Duration) {
	if *v <= 0 {
		*v = d
	}
}

// Parts returns the ledger of parts that crash upstreams.
func (l *Ledger) Parts() *PartLedger { return l.opts.Parts }

// Check returns an error if the fingerprint has reached the limit of crashes.
func (l *Ledger) Check(fp Fingerprint) *result.Error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := l.count(fp); n >= l.opts.Limit {
		return l.allowed(l.entries[fp], n)
	}
	return nil
}

// Begin begins a run; done ends it. If wait is above 0, the request may be sent only after that time and a successful
// Confirm.
func (l *Ledger) Begin(fp Fingerprint) (done func(), wait time.Duration, err *result.Error) {
	l.mu.Lock()
	n := l.count(fp)
	if n == 0 {
		l.mu.Unlock()
		return func() {}, 0, nil
	}
	e := l.entries[fp]
	if err := l.allowed(e, n); err != nil {
		l.mu.Unlock()
		return nil, 0, err
	}
	e.running++
	trial := n >= l.opts.Limit
	if trial {
		e.onTrial = true
		e.trials++
		l.planTrial(e)
		l.opts.Log.Info("trial of a refused request", zap.Uint64("fingerprint", uint64(fp)), zap.Int("trials", e.trials))
	}
	l.mu.Unlock()
	alone := n >= l.opts.Limit-1
	if alone {
		l.opts.Broadcast(fp, Claimed)
	}
	return func() {
		l.mu.Lock()
		e.running--
		if trial {
			e.onTrial = false
		}
		l.mu.Unlock()
		if alone {
			l.opts.Broadcast(fp, Released)
		}
	}, l.opts.Settle, nil
}

// Confirm returns an error if messages received during the wait show that the run could exceed the limit of crashes.
func (l *Ledger) Confirm(fp Fingerprint) *result.Error {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.count(fp)
	if n == 0 {
		return nil
	}
	e := l.entries[fp]
	e.running-- // the run to be confirmed
	defer func() { e.running++ }()
	return l.allowed(e, n)
}

// allowed returns an error if another run after n crashes could exceed the limit, assuming that every run in flight
// here crashes its upstream, and if it would be a trial that is not due. The lock is held.
func (l *Ledger) allowed(e *entry, n int) *result.Error {
	now := l.opts.Now()
	switch {
	case n >= l.opts.Limit && !e.onTrial && (e.trialAt.IsZero() || now.Before(e.trialAt)):
		return l.refusal(n)
	case e.running > 0 && n+e.running >= l.opts.Limit, n >= l.opts.Limit-1 && now.Sub(e.claimedElsewhere) < l.opts.ClaimTTL:
		return result.New(result.Quarantined, "this request crashed %d upstreams, and another run of it is in hand", n).WithRetryAfter(claimedRetryAfter)
	}
	return nil
}

// requestTrialDelays are the first of those of parts. Users allow three runs after the third crash.
var requestTrialDelays = trialDelays[:2]

// trialJitter spreads the trials of the entry VMs, as trials that begin together are both refused.
const trialJitter = 15 * time.Second

// planTrial plans the next trial of a refused request, after its refusal or after a trial has begun at any entry VM. The lock is held.
func (l *Ledger) planTrial(e *entry) {
	e.trialAt = time.Time{}
	if e.trials < len(requestTrialDelays) {
		e.trialAt = l.opts.Now().Add(requestTrialDelays[e.trials] + rand.N(trialJitter))
	}
}

func (l *Ledger) refusal(crashes int) *result.Error {
	return result.New(result.Quarantined, "this request crashed %d upstreams", crashes).WithRetryAfter(refusedRetryAfter)
}

// count returns the number of unexpired crashes of a fingerprint. The lock is held.
func (l *Ledger) count(fp Fingerprint) int {
	e := l.entries[fp]
	if e == nil {
		return 0
	}
	if l.opts.Now().Sub(e.lastCrash) > l.opts.Expiry {
		delete(l.entries, fp)
		return 0
	}
	return len(e.crashes)
}

// Sources of a crash or a clearance, as logged.
const (
	fromSelf  = "self"
	fromPeer  = "peer"
	fromStore = "store"
)

// Receive applies a message that another entry VM's Broadcast sent.
func (l *Ledger) Receive(fp Fingerprint, crash uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch crash {
	case Cleared:
		l.clear(fp, fromPeer)
	case Claimed, Released:
		n := l.count(fp)
		if n == 0 {
			return
		}
		e := l.entries[fp]
		if e.claimedElsewhere = (time.Time{}); crash == Claimed {
			e.claimedElsewhere = l.opts.Now()
			if n >= l.opts.Limit && !e.trialAt.IsZero() {
				e.trials++
				l.planTrial(e)
			}
		}
	default:
		l.countCrash(fp, crash, fromPeer)
	}
}

// countCrash counts a crash unless it is already counted, and returns the number of crashes. The lock is held.
func (l *Ledger) countCrash(fp Fingerprint, crash uint32, from string) int {
	before := l.count(fp)
	n := l.addCrash(fp, crash, l.opts.Now(), from)
	if from != fromSelf || n == before {
		return n
	}
	e := l.entries[fp]
	e.own[crash] = struct{}{}
	l.opts.OnEvidence()
	if n == l.opts.Limit {
		l.opts.OnRefused(fp, slices.Sorted(maps.Keys(e.crashes)))
	}
	return n
}

// addCrash adds a crash to the entry of a fingerprint unless it is already there, and returns the number of crashes. The lock is
// held.
func (l *Ledger) addCrash(fp Fingerprint, crash uint32, at time.Time, from string) int {
	n := l.count(fp)
	e := l.entries[fp]
	if n == 0 {
		l.evictOne()
		e = &entry{crashes: map[uint32]struct{}{}, own: map[uint32]struct{}{}}
		l.entries[fp] = e
	}
	if _, known := e.crashes[crash]; known || n >= l.opts.Limit {
		return n
	}
	e.crashes[crash] = struct{}{}
	if at.After(e.lastCrash) {
		e.lastCrash = at
	}
	l.opts.Log.Info("crash noted", zap.Uint64("fingerprint", uint64(fp)), zap.Uint32("crash", crash), zap.String("from", from),
		zap.Int("crashes", n+1))
	if n+1 == l.opts.Limit && l.completed.contains(fp, l.opts.Now()) {
		l.planTrial(e)
	}
	return n + 1
}

// Refused returns the refused fingerprints with their crashes.
func (l *Ledger) Refused() map[Fingerprint][]uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[Fingerprint][]uint32{}
	for _, fp := range l.refusedFingerprints() {
		out[fp] = slices.Sorted(maps.Keys(l.entries[fp].crashes))
	}
	return out
}

// evictOne evicts the fingerprint with the fewest crashes of a small sample if the table is full, which takes thousands
// of crashes within Expiry. The lock is held.
func (l *Ledger) evictOne() {
	if len(l.entries) < l.opts.MaxEntries {
		return
	}
	const sampleSize = 8 // map iteration order is random
	n, victim := 0, Fingerprint(0)
	fewest := l.opts.Limit + 1
	for fp, e := range l.entries {
		if len(e.crashes) < fewest {
			fewest, victim = len(e.crashes), fp
		}
		if n++; n == sampleSize {
			break
		}
	}
	delete(l.entries, victim)
}

// Completed ends the suspicion against a fingerprint, here and at the other entry VMs, after a run with a successful
// answer. An error answer does not clear a fingerprint: it may have come before the point of the crash.
func (l *Ledger) Completed(fp Fingerprint) {
	l.mu.Lock()
	l.completed.add(fp, l.opts.Now())
	crashes := l.clear(fp, fromSelf)
	l.mu.Unlock()
	if crashes > 0 {
		l.opts.Broadcast(fp, Cleared)
	}
	if crashes >= l.opts.Limit {
		l.opts.OnAdmitted(fp)
	}
}

// clear ends the suspicion against fp and returns the number of its crashes. The lock is held.
func (l *Ledger) clear(fp Fingerprint, from string) int {
	n := l.count(fp)
	if n > 0 && len(l.entries[fp].own) > 0 {
		l.opts.OnEvidence()
	}
	delete(l.entries, fp)
	if n > 0 {
		l.opts.Log.Info("suspicion ended", zap.Uint64("fingerprint", uint64(fp)), zap.String("from", from), zap.Int("crashes", n))
	}
	return n
}

// RebroadcastRefused sends the refused fingerprints to the other entry VMs again, at most limit of them per call and
// the next ones at later calls. This informs entry VMs that have restarted or were cut off.
func (l *Ledger) RebroadcastRefused(limit int) {
	type crash struct {
		fp Fingerprint
		id uint32
	}
	var outgoing []crash
	l.mu.Lock()
	refused := l.refusedFingerprints()
	from := 0
	for from < len(refused) && refused[from] <= l.lastRebroadcast {
		from++
	}
	for i := range min(limit, len(refused)) {
		fp := refused[(from+i)%len(refused)]
		l.lastRebroadcast = fp
		for id := range l.entries[fp].crashes {
			outgoing = append(outgoing, crash{fp, id})
		}
	}
	l.mu.Unlock()
	for _, c := range outgoing {
		l.opts.Broadcast(c.fp, c.id)
	}
}
