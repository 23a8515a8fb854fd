package quarantine

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/result"
)

// PartID identifies a part of a prompt that several requests may share. 0 is no part.
type PartID uint64

// PartLedger finds parts of prompts that crash each upstream that begins an answer to a prompt with them, and refuses
// requests with such a part. The evidence comes from all entry VMs: each reports the parts of its runs that a crash broke
// off before they had begun an answer. A part counts as sound in a crash if another run with it was well into its answer
// then, or if an answer that began after the crash was known came to a good end.
//
// A part is refused after MinCrashes crashes without proof that it is sound, or after MinCrashesProven crashes if answers
// with it had been completed shortly before. A part that has always been accompanied by the same unproven parts is
// refused in their company only. A refused part is tried again a few times, by one run over all entry VMs at a time.
//
// A PartLedger answers loads in which requests with one part come at every entry VM, no two alike, beside sound requests
// that share their other parts, while each crash breaks off up to a hundred requests.
//
// Soundness is recorded for each pair of part and crash and never taken back, so that the order in which reports arrive
// does not matter.
type PartLedger struct {
	opts PartLedgerOptions

	active    atomic.Bool // some crash is on record; while there is none, requests take no lock
	mu        sync.Mutex
	crashes   map[uint32]*crashRecord
	parts     map[PartID]*partRecord
	completed map[PartID]time.Time // last good end of an answer
	watches   map[*partWatch]struct{}
	lastSweep time.Time
}

// PartLedgerOptions configures a PartLedger. Zero values take the defaults.
type PartLedgerOptions struct {
	MinCrashes       int // crashes after which a part without completed answers is refused; default 3
	MinCrashesProven int // crashes after which a part with completed answers is refused; default 5, the bound that users require
	// Settle is how long a trial waits after its announcement, so that concurrent trials at other entry VMs are known;
	// default 60 ms, twice the time in which messages reach all entry VMs.
	Settle time.Duration
	// Expiry is how long crashes and completed answers count; default 10 min.
	Expiry time.Duration
	// Broadcast sends a notice to the other entry VMs. nil: there are none.
	Broadcast func(PartNotice)
	// OnRefused is called when the refusal of a part begins or one of its trials does, and OnAdmitted when the refusal ends.
	// They must not block, and may be nil.
	OnRefused  func(RefusedPart)
	OnAdmitted func(PartID)
	// OnEvidence is called when the ledger's evidence may have changed. It must not block, and may be nil.
	OnEvidence func()
	Now        func() time.Time
	// Log receives a line for each part that becomes refused, is tried, or is admitted again; nil: none.
	Log *zap.Logger
}

// RefusedPart is the lasting state of a refused part.
type RefusedPart struct {
	Part      PartID
	Mates     []PartID // the part is refused in the company of all of these only
	Crashes   []uint32
	Trials    int
	NextTrial time.Time
}

const (
	// answerBegun is the age of a run's first event from which a crash is not blamed on the run: a crashing part ends its
	// upstream when the answer begins.
	answerBegun = 250 * time.Millisecond
	// partRefusedRetryAfter is longer than any deadline in use, so that callers do not retry.
	partRefusedRetryAfter = 10 * time.Second
	partSweepInterval     = time.Second
	// maxCrashesTogether is how many crashes within crashesTogether count against a part.
	maxCrashesTogether = 2
	crashesTogether    = 250 * time.Millisecond

	maxCrashRecords   = 256
	maxRunsPerCrash   = 128
	maxPartRecords    = 4096
	maxCompletedParts = 8192
)

// trialDelays are the times between the refusal of a part, its first trial and each further one; the last repeats. Users
// allow three further sends of a part that keeps crashing upstreams.
var trialDelays = []time.Duration{15 * time.Second, 2 * time.Minute, 16 * time.Minute, 24 * time.Hour}

// crashRecord holds the runs that may have caused a crash, each as the shared parts of its prompt.
type crashRecord struct {
	at   time.Time
	runs [][]PartID
	own  [][]PartID // those of this entry VM
}

type partRecord struct {
	blamed map[uint32]struct{}  // crashes that broke off a run of the part before its answer had begun
	sound  map[uint32]soundness // crashes that the part did not cause
	proven bool                 // answers with the part were completed shortly before a crash
	// provenHere is set if this entry VM has completed such answers.
	provenHere bool
	refused    bool
	crashes    int // in force when the part was refused

	trials     int
	nextTrial  time.Time
	trialToken PartID // of this entry VM's trial that has not been confirmed; 0: none
}

type soundness struct {
	at       time.Time
	observed bool // at this entry VM
}

// partWatch is a request that waits for its refusal.
type partWatch struct {
	parts     []PartID
	onRefused func(*result.Error)
	notified  bool
}

// suspectCrashes returns the number of crashes that the part is blamed for and may have caused.
func (r *partRecord) suspectCrashes() (n int) {
	for c := range r.blamed {
		if _, ok := r.sound[c]; !ok {
			n++
		}
	}
	return n
}

// NewPartLedger returns a PartLedger.
func NewPartLedger(o PartLedgerOptions) *PartLedger {
	if o.MinCrashes <= 0 {
		o.MinCrashes = 3
	}
	if o.MinCrashesProven <= 0 {
		o.MinCrashesProven = 5
	}
	setDefault(&o.Settle, 60*time.Millisecond)
	setDefault(&o.Expiry, defaultExpiry)
	if o.Broadcast == nil {
		o.Broadcast = func(PartNotice) {}
	}
	if o.OnRefused == nil {
		o.OnRefused = func(RefusedPart) {}
	}
	if o.OnAdmitted == nil {
		o.OnAdmitted = func(PartID) {}
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
	return &PartLedger{
		opts: o, crashes: map[uint32]*crashRecord{}, parts: map[PartID]*partRecord{}, completed: map[PartID]time.Time{},
		watches: map[*partWatch]struct{}{},
	}
}

// nextCrash returns the identifier of an upstream's next crash. All runs that one crash ends, at any entry VM, were sent
// before the crash was known and compute the same identifier.
func (p *PartLedger) nextCrash(upstream string) uint32 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return crashID(upstream, func(id uint32) bool { return p.crashes[id] != nil })
}

// runCrashed records a run that a crash broke off. answered is how long before that its first event came; 0: none came.
func (p *PartLedger) runCrashed(crash uint32, parts []PartID, answered time.Duration) {
	if len(parts) == 0 {
		return
	}
	p.update(func(u *partUpdate) {
		if answered >= answerBegun {
			for _, part := range parts {
				p.markSound(u, part, crash, true)
			}
			return
		}
		p.blame(u, crash, u.now, parts)
		p.addOwnRun(crash, parts)
		u.evidence = true
		u.sendBlame(crash, u.now, parts)
	})
}

// Known returns the crashes that the parts are blamed for at present. An answer that begins after the call and comes to a
// good end proves that they did not cause them.
func (p *PartLedger) Known(parts []PartID) (crashes []uint32) {
	if !p.active.Load() {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, part := range parts {
		if r := p.parts[part]; r != nil {
			for c := range r.blamed {
				crashes = append(crashes, c)
			}
		}
	}
	return crashes
}

// Completed records the good end of an answer. known are the crashes that Known returned before the answer began.
func (p *PartLedger) Completed(parts []PartID, known []uint32) {
	if len(parts) == 0 {
		return
	}
	p.update(func(u *partUpdate) {
		for _, part := range parts {
			if _, ok := p.completed[part]; ok || len(p.completed) < maxCompletedParts {
				p.completed[part] = u.now
			}
			r := p.parts[part]
			if r == nil {
				continue
			}
			for _, c := range known {
				if _, blamed := r.blamed[c]; !blamed {
					continue
				}
				if _, ok := r.sound[c]; !ok {
					p.markSound(u, part, c, true)
					u.send(PartNotice{Kind: PartSound, Crash: c}, part)
				}
			}
		}
	})
}

// Check returns an error if requests with these parts are refused. It returns nil if the part may be tried now.
func (p *PartLedger) Check(parts []PartID) *result.Error {
	refused, err := p.check(parts)
	if err != nil && p.trialDue(refused) {
		return nil
	}
	return err
}

// CheckSend is like Check, for a request that is not a trial.
func (p *PartLedger) CheckSend(parts []PartID) *result.Error {
	_, err := p.check(parts)
	return err
}

// check returns those of the parts for which requests with all of them are refused, and the error if there are some.
func (p *PartLedger) check(parts []PartID) (refused []PartID, err *result.Error) {
	if !p.active.Load() || len(parts) == 0 {
		return nil, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.checkLocked(parts)
}

func (p *PartLedger) checkLocked(parts []PartID) (refused []PartID, err *result.Error) {
	for _, part := range parts {
		if p.blocks(part, parts) {
			refused = append(refused, part)
		}
	}
	if len(refused) > 0 {
		err = p.refusal(refused[0])
	}
	return refused, err
}

func (p *PartLedger) refusal(part PartID) *result.Error {
	return result.New(result.CrashingPart, "part %x of the prompt crashed %d upstreams", uint64(part), p.parts[part].crashes).
		WithRetryAfter(partRefusedRetryAfter)
}

// trialDue reports whether all of these refused parts may be tried now.
func (p *PartLedger) trialDue(refused []PartID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.trialDueLocked(refused)
}

func (p *PartLedger) trialDueLocked(refused []PartID) bool {
	now := p.opts.Now()
	return !slices.ContainsFunc(refused, func(part PartID) bool {
		r := p.parts[part]
		return r != nil && now.Before(r.nextTrial)
	})
}

// BeginTrial returns an error if requests with these parts are refused. If the request is to try a refused part, wait is
// above 0, and the request may be sent, once, after that time and a successful ConfirmTrial.
func (p *PartLedger) BeginTrial(parts []PartID) (wait time.Duration, err *result.Error) {
	if !p.active.Load() {
		return 0, nil
	}
	p.update(func(u *partUpdate) {
		var refused []PartID
		if refused, err = p.checkLocked(parts); err == nil || !p.trialDueLocked(refused) {
			return
		}
		token := PartID(max(rand.Uint64(), 1))
		for _, part := range refused {
			p.announceTrial(u, part, token)
		}
		wait, err = p.opts.Settle, nil
	})
	return wait, err
}

// announceTrial records the begin of a trial and tells the other entry VMs. The lock is held.
func (p *PartLedger) announceTrial(u *partUpdate, part, token PartID) {
	r := p.parts[part]
	r.trialToken = token
	r.trials++
	r.nextTrial = u.now.Add(trialDelay(r.trials))
	p.opts.Log.Info("trial of a refused part", zap.Uint64("part", uint64(part)), zap.Int("trials", r.trials))
	u.send(PartNotice{Kind: PartTrial, Crash: uint32(r.trials)}, part, token)
	s := p.refusedState(part)
	u.after = append(u.after, func() { p.opts.OnRefused(s) })
}

// ConfirmTrial returns an error if another entry VM has begun a trial of the part at the same time and takes precedence.
func (p *PartLedger) ConfirmTrial(parts []PartID) *result.Error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, part := range parts {
		if !p.blocks(part, parts) {
			continue
		}
		r := p.parts[part]
		if r.trialToken == 0 {
			return p.refusal(part)
		}
		r.trialToken = 0
	}
	return nil
}

func trialDelay(trials int) time.Duration { return trialDelays[min(trials, len(trialDelays)-1)] }

// Watch calls onRefused, once and in a goroutine of the ledger's caller, when requests with these parts become refused. It
// must not block. stop ends the watch.
func (p *PartLedger) Watch(parts []PartID, onRefused func(*result.Error)) (stop func()) {
	if len(parts) == 0 {
		return func() {}
	}
	w := &partWatch{parts: parts, onRefused: onRefused}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.watches[w] = struct{}{}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.watches, w)
	}
}

// partUpdate collects what is done after the lock has been released.
type partUpdate struct {
	now     time.Time
	notices []PartNotice
	touched []PartID
	after   []func()
	// restored is set if the refusals that follow are stored already.
	restored bool
	evidence bool // the ledger's evidence may have changed
}

func (u *partUpdate) touch(part PartID) { u.touched = append(u.touched, part) }

func (u *partUpdate) send(n PartNotice, parts ...PartID) {
	copy(n.Parts[:], parts)
	u.notices = append(u.notices, n)
}

// sendBlame sends a run that a crash broke off.
func (u *partUpdate) sendBlame(crash uint32, at time.Time, run []PartID) {
	for chunk := range slices.Chunk(run, MaxNoticeParts) {
		u.send(PartNotice{Kind: PartBlamed, Crash: crash, Age: u.now.Sub(at).Truncate(time.Millisecond)}, chunk...)
	}
}

// update runs f with the lock held, applies changes of refusals that follow from it, and then sends the notices.
func (p *PartLedger) update(f func(*partUpdate)) {
	p.mu.Lock()
	u := &partUpdate{now: p.opts.Now()}
	p.sweep(u.now)
	f(u)
	for _, part := range u.touched {
		p.applyRefusal(u, part)
	}
	p.mu.Unlock()
	for _, n := range u.notices {
		p.opts.Broadcast(n)
	}
	if u.evidence {
		p.opts.OnEvidence()
	}
	for _, do := range u.after {
		do()
	}
}

// applyRefusal logs, stores and announces a change of a part's refusal. The lock is held.
func (p *PartLedger) applyRefusal(u *partUpdate, part PartID) {
	r := p.parts[part]
	if r == nil {
		return
	}
	was := r.refused
	r.refused = p.isRefused(part)
	switch {
	case r.refused && !was:
		if r.nextTrial.IsZero() {
			r.nextTrial = u.now.Add(trialDelay(0))
		}
		s := p.refusedState(part)
		p.opts.Log.Warn("part refused", zap.Uint64("part", uint64(part)), zap.Int("crashes", len(s.Crashes)), zap.Bool("proven", r.proven),
			zap.Int("mates", len(s.Mates)), zap.Duration("next_trial", r.nextTrial.Sub(u.now)))
		if !u.restored {
			u.after = append(u.after, func() { p.opts.OnRefused(s) })
		}
		p.endWatches(u, part)
	case was && !r.refused:
		r.nextTrial, r.trials = time.Time{}, 0
		p.opts.Log.Warn("part admitted again", zap.Uint64("part", uint64(part)), zap.Int("crashes", r.crashes))
		u.after = append(u.after, func() { p.opts.OnAdmitted(part) })
	}
}

func (p *PartLedger) endWatches(u *partUpdate, part PartID) {
	for w := range p.watches {
		if w.notified || !slices.Contains(w.parts, part) {
			continue
		}
		if _, err := p.checkLocked(w.parts); err != nil {
			w.notified = true
			u.after = append(u.after, func() { w.onRefused(err) })
		}
	}
}

// sweep drops what is too old to count. The lock is held.
func (p *PartLedger) sweep(now time.Time) {
	if now.Sub(p.lastSweep) < partSweepInterval {
		return
	}
	p.lastSweep = now
	for part, at := range p.completed {
		if now.Sub(at) > p.opts.Expiry {
			delete(p.completed, part)
		}
	}
	for id, c := range p.crashes {
		if now.Sub(c.at) > p.opts.Expiry && !p.supportsRefusal(id) {
			p.dropCrash(id)
		}
	}
	for part, r := range p.parts {
		for c, s := range r.sound {
			if _, ok := r.blamed[c]; !ok && now.Sub(s.at) > p.opts.Expiry {
				delete(r.sound, c)
			}
		}
		if len(r.blamed)+len(r.sound) == 0 {
			delete(p.parts, part)
		}
	}
	p.active.Store(len(p.crashes) > 0)
}
