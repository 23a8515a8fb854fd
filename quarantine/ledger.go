package quarantine

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/result"
)

// A Ledger is the lenient counterpart of Quarantine, for callers that bound a crashing request at a number of upstreams and whose
// requests have short deadlines. After a crash a request waits a moment for reports of others, and is refused once all its last runs,
// at any entry VM, have crashed their upstreams.
//
// Load it answers: a request that crashes each upstream that begins to run it and is sent again through other entry VMs, and
// upstreams that crash for other reasons with a hundred innocent requests in hand.
type Ledger struct {
	opts LedgerOptions

	mu      sync.Mutex
	entries map[Fingerprint]*entry
	settled map[Fingerprint]bool // last runs in hand here
}

// LedgerOptions configures a Ledger. Zero values take the defaults.
type LedgerOptions struct {
	// Limit is the number of crashes in a row after which a fingerprint is refused; default 3, the users' bound.
	Limit int
	// Settle is how long a run waits after a crash, so that one at another entry VM is known before it; default 60 ms. Reports reach all
	// entry VMs in about 30 ms, and the shortest target time in use is 120 ms.
	Settle time.Duration
	// Expiry is how long crashes count; default 10 min.
	Expiry time.Duration
	Max    int // fingerprints kept; default 16384
	// Tell passes a crash, or Cleared, to the other entry VMs. nil: there are none.
	Tell func(fp Fingerprint, crash uint32)
	Now  func() time.Time
	// Log gets a line for each crash that is noted and each suspicion that ends; nil: none.
	Log *zap.Logger
}

// Cleared in place of a crash says that the fingerprint has completed.
const Cleared uint32 = 0

// refusalRetry is the advice to the caller of a refused request. It may not come back within any deadline in use.
const refusalRetry = 10 * time.Second

type entry struct {
	crashes map[uint32]struct{}
	until   time.Time
}

// NewLedger returns a Ledger.
func NewLedger(o LedgerOptions) *Ledger {
	if o.Limit <= 0 {
		o.Limit = 3
	}
	if o.Settle <= 0 {
		o.Settle = 60 * time.Millisecond
	}
	if o.Expiry <= 0 {
		o.Expiry = 10 * time.Minute
	}
	if o.Max <= 0 {
		o.Max = 16384
	}
	if o.Tell == nil {
		o.Tell = func(Fingerprint, uint32) {}
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	return &Ledger{opts: o, entries: map[Fingerprint]*entry{}, settled: map[Fingerprint]bool{}}
}

// Check refuses a fingerprint that has had its crashes. wait is above 0 after a crash: the caller waits for so long, and then calls Begin.
func (l *Ledger) Check(fp Fingerprint) (wait time.Duration, err *result.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch n := l.count(fp); {
	case n >= l.opts.Limit:
		return 0, l.refusal(n)
	case n > 0:
		return l.opts.Settle, nil
	}
	return 0, nil
}

// Begin begins a run after a crash; done ends it. The last allowed one runs alone at this entry VM.
func (l *Ledger) Begin(fp Fingerprint) (done func(), err *result.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.count(fp)
	if n >= l.opts.Limit || n == l.opts.Limit-1 && l.settled[fp] {
		return nil, l.refusal(n)
	}
	if n < l.opts.Limit-1 {
		return func() {}, nil
	}
	l.settled[fp] = true
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.settled, fp)
	}, nil
}

func (l *Ledger) refusal(crashes int) *result.Error {
	return result.New(result.Quarantined, "this request crashed %d upstreams", crashes).WithRetryAfter(refusalRetry)
}

// count returns the crashes of a fingerprint that count. The lock is held.
func (l *Ledger) count(fp Fingerprint) int {
	e := l.entries[fp]
	if e == nil {
		return 0
	}
	if l.opts.Now().After(e.until) {
		delete(l.entries, fp)
		return 0
	}
	return len(e.crashes)
}

// Crashed notes that a run here crashed its upstream, and tells the other entry VMs. crash is the same for all runs that one crash ended.
// It returns the crashes so far.
func (l *Ledger) Crashed(fp Fingerprint, crash uint32) int {
	if crash == Cleared {
		crash++
	}
	n := l.note(fp, crash, fromSelf)
	l.opts.Tell(fp, crash)
	return n
}

// Heard notes what another entry VM has told.
func (l *Ledger) Heard(fp Fingerprint, crash uint32) int { return l.note(fp, crash, fromPeer) }

// Where the ledger knows something from, in log lines.
const (
	fromSelf = "self"
	fromPeer = "peer"
)

func (l *Ledger) note(fp Fingerprint, crash uint32, from string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if crash == Cleared {
		l.clear(fp, from)
		return 0
	}
	n := l.count(fp)
	e := l.entries[fp]
	if n == 0 {
		l.makeRoom()
		e = &entry{crashes: map[uint32]struct{}{}}
		l.entries[fp] = e
	}
	e.until = l.opts.Now().Add(l.opts.Expiry)
	if _, known := e.crashes[crash]; !known && len(e.crashes) < l.opts.Limit {
		e.crashes[crash] = struct{}{}
		l.opts.Log.Info("crash noted", zap.Uint64("fingerprint", uint64(fp)), zap.Uint32("crash", crash), zap.String("from", from),
			zap.Int("crashes", len(e.crashes)))
	}
	return len(e.crashes)
}

// clear ends the suspicion against fp and reports whether there was one. The lock is held.
func (l *Ledger) clear(fp Fingerprint, from string) bool {
	n := l.count(fp)
	delete(l.entries, fp)
	if n > 0 {
		l.opts.Log.Info("suspicion ended", zap.Uint64("fingerprint", uint64(fp)), zap.String("from", from), zap.Int("crashes", n))
	}
	return n > 0
}

// makeRoom drops a fingerprint with the fewest crashes among some when the table is full, which takes thousands of crashes within the expiry.
// The lock is held.
func (l *Ledger) makeRoom() {
	if len(l.entries) < l.opts.Max {
		return
	}
	const looked = 8 // Go's order of a map is random
	n, least := 0, Fingerprint(0)
	fewest := l.opts.Limit + 1
	for fp, e := range l.entries {
		if len(e.crashes) < fewest {
			fewest, least = len(e.crashes), fp
		}
		if n++; n == looked {
			break
		}
	}
	delete(l.entries, least)
}

// Completed ends the suspicion against a fingerprint, here and at the other entry VMs.
func (l *Ledger) Completed(fp Fingerprint) {
	l.mu.Lock()
	suspect := l.clear(fp, fromSelf)
	l.mu.Unlock()
	if suspect {
		l.opts.Tell(fp, Cleared)
	}
}
