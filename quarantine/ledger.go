package quarantine

import (
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/result"
)

// A Ledger is the lenient counterpart of Quarantine, for callers that bound a crashing request at a number of upstreams and whose
// requests have short deadlines. After a crash a request waits a moment for the reports of other entry VMs. The last allowed run is alone over
// all of them, and the request is refused once Limit of its runs in a row have crashed their upstreams.
//
// A crash is a run that broke off at an upstream whose process has ended. Runs tells the ledger of runs and of ended processes; both may come
// first.
//
// Load it answers: a request that crashes each upstream that begins to run it and is sent again through other entry VMs, and
// upstreams that crash for other reasons with a hundred innocent requests in hand.
type Ledger struct {
	opts LedgerOptions

	mu      sync.Mutex
	entries map[Fingerprint]*entry
	runs    runs
	retold  Fingerprint // last one that Retell told
}

// LedgerOptions configures a Ledger. Zero values take the defaults.
type LedgerOptions struct {
	// Limit is the number of crashes in a row after which a fingerprint is refused; default 3, the users' bound.
	Limit int
	// Settle is how long a run waits after the last crash that is known, and the last allowed one after it was announced, so that crashes and
	// runs at other entry VMs are known before it; default 60 ms. Messages reach all entry VMs in about 30 ms, and the shortest target time
	// in use is 120 ms.
	Settle time.Duration
	// ClaimLife is how long an announced last run of another entry VM counts; default 6 s, the longest time limit of a route in use.
	ClaimLife time.Duration
	// Expiry is how long crashes count; default 10 min.
	Expiry time.Duration
	Max    int // fingerprints kept; default 16384
	// Tell passes a crash, Cleared, Claimed or Released to the other entry VMs. nil: there are none.
	Tell func(fp Fingerprint, crash uint32)
	// Refused is told of each fingerprint that a crash seen here has got refused, with its crashes. It must not block. nil: not wanted.
	Refused func(fp Fingerprint, crashes []uint32)
	Now     func() time.Time
	// Log gets a line for each crash that is noted and each suspicion that ends; nil: none.
	Log *zap.Logger
}

// Values that Tell passes in place of a crash.
const (
	Cleared  uint32 = iota // the fingerprint has completed
	Claimed                // the entry VM is about to make the last allowed run
	Released               // that run has ended, or was not made
	firstCrash
)

// Advice to the callers of refused requests.
const (
	refusalRetry = 10 * time.Second       // it may not come back within any deadline in use
	claimedRetry = 500 * time.Millisecond // another run of the request decides; answers in use take less
)

type entry struct {
	crashes map[uint32]struct{}
	noted   time.Time // when the last of them was
	inHand  int       // runs here that began under suspicion
	claimed time.Time // when another entry VM announced the last allowed run
}

// NewLedger returns a Ledger.
func NewLedger(o LedgerOptions) *Ledger {
	if o.Limit <= 0 {
		o.Limit = 3
	}
	positive(&o.Settle, 60*time.Millisecond)
	positive(&o.ClaimLife, 6*time.Second)
	positive(&o.Expiry, defaultExpiry)
	if o.Max <= 0 {
		o.Max = 16384
	}
	if o.Tell == nil {
		o.Tell = func(Fingerprint, uint32) {}
	}
	if o.Refused == nil {
		o.Refused = func(Fingerprint, []uint32) {}
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	return &Ledger{opts: o, entries: map[Fingerprint]*entry{}, runs: newRuns()}
}

// defaultExpiry is above the time after which callers in use have given a request up.
const defaultExpiry = 10 * time.Minute

func positive(v *time.Duration, d time.Duration) {
	if *v <= 0 {
		*v = d
	}
}

// Check refuses a fingerprint that has had its crashes.
func (l *Ledger) Check(fp Fingerprint) *result.Error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := l.count(fp); n >= l.opts.Limit {
		return l.refusal(n)
	}
	return nil
}

// Begin begins a run; done ends it. With wait above 0 the caller waits for so long and asks Confirm before it sends anything.
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
	e.inHand++
	wait = max(l.opts.Settle-l.opts.Now().Sub(e.noted), 0)
	l.mu.Unlock()
	last := n == l.opts.Limit-1
	if last {
		l.opts.Tell(fp, Claimed)
		wait = l.opts.Settle
	}
	return func() {
		l.mu.Lock()
		e.inHand--
		l.mu.Unlock()
		if last {
			l.opts.Tell(fp, Released)
		}
	}, wait, nil
}

// Confirm refuses a run that has waited if that would be one too many by what was heard meanwhile.
func (l *Ledger) Confirm(fp Fingerprint) *result.Error {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.count(fp)
	if n == 0 {
		return nil
	}
	e := l.entries[fp]
	e.inHand-- // the run that asks
	defer func() { e.inHand++ }()
	return l.allowed(e, n)
}

// allowed refuses a run that could be one too many after n crashes: all runs in hand here may crash their upstreams. The lock is held.
func (l *Ledger) allowed(e *entry, n int) *result.Error {
	switch {
	case n >= l.opts.Limit:
		return l.refusal(n)
	case n+e.inHand >= l.opts.Limit, n == l.opts.Limit-1 && l.opts.Now().Sub(e.claimed) < l.opts.ClaimLife:
		return result.New(result.Quarantined, "this request crashed %d upstreams, and another run of it is in hand", n).WithRetryAfter(claimedRetry)
	}
	return nil
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
	if l.opts.Now().Sub(e.noted) > l.opts.Expiry {
		delete(l.entries, fp)
		return 0
	}
	return len(e.crashes)
}

// Where the ledger knows something from, in log lines.
const (
	fromSelf = "self"
	fromPeer = "peer"
)

// Heard notes what another entry VM has told.
func (l *Ledger) Heard(fp Fingerprint, crash uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch crash {
	case Cleared:
		l.clear(fp, fromPeer)
	case Claimed, Released:
		if l.count(fp) == 0 {
			return
		}
		e := l.entries[fp]
		if e.claimed = (time.Time{}); crash == Claimed {
			e.claimed = l.opts.Now()
		}
	default:
		l.note(fp, crash, fromPeer)
	}
}

// note counts a crash, once. The lock is held.
func (l *Ledger) note(fp Fingerprint, crash uint32, from string) int {
	n := l.count(fp)
	e := l.entries[fp]
	if n == 0 {
		l.makeRoom()
		e = &entry{crashes: map[uint32]struct{}{}}
		l.entries[fp] = e
	}
	if _, known := e.crashes[crash]; known || n >= l.opts.Limit {
		return n
	}
	e.crashes[crash] = struct{}{}
	e.noted = l.opts.Now()
	l.opts.Log.Info("crash noted", zap.Uint64("fingerprint", uint64(fp)), zap.Uint32("crash", crash), zap.String("from", from),
		zap.Int("crashes", n+1))
	if from == fromSelf && n+1 == l.opts.Limit {
		l.opts.Refused(fp, slices.Sorted(maps.Keys(e.crashes)))
	}
	return n + 1
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

// Completed ends the suspicion against a fingerprint whose run an upstream has brought to a good end, here and at the other entry VMs. A
// failure that an upstream answers with says nothing: it may come before the point of the crash.
func (l *Ledger) Completed(fp Fingerprint) {
	l.mu.Lock()
	suspect := l.clear(fp, fromSelf)
	l.mu.Unlock()
	if suspect {
		l.opts.Tell(fp, Cleared)
	}
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

// Retell tells the other entry VMs again which fingerprints are refused, at most so many at a time and the others at the next calls. An entry
// VM that has started anew or was cut off hears of them that way.
func (l *Ledger) Retell(most int) {
	type crash struct {
		fp Fingerprint
		id uint32
	}
	var tell []crash
	l.mu.Lock()
	refused := l.refused()
	from := 0
	for from < len(refused) && refused[from] <= l.retold {
		from++
	}
	for i := range min(most, len(refused)) {
		fp := refused[(from+i)%len(refused)]
		l.retold = fp
		for id := range l.entries[fp].crashes {
			tell = append(tell, crash{fp, id})
		}
	}
	l.mu.Unlock()
	for _, c := range tell {
		l.opts.Tell(c.fp, c.id)
	}
}
