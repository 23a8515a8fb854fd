package lease

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/membership"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"
)

const (
	// DefaultGroups must be the same on all VMs, and may change only while no VM holds a lease: another number moves
	// upstreams to other groups. 64 groups cost 20 renewals per second and give 2,200 VMs about 160 upstreams per group.
	DefaultGroups = 64
	// DefaultTerm plus the margin and the candidate's poll interval bounds the time for which a group has no holder.
	DefaultTerm = 10 * time.Second
	// defaultMarginShare is the margin as a share of the term. It allows the clocks of holder and candidate to run up to 9 %
	// fast or slow.
	defaultMarginShare = 0.2
	// defaultCandidates is the number of VMs that may take a group. More candidates cost store reads; with fewer, the loss of
	// a rack could take all of them.
	defaultCandidates    = 3
	defaultHandBackAfter = 10 * time.Minute
	// renewDivisor is the term divided by the renewal interval. With 3, two renewals may fail before the lease lapses.
	renewDivisor = 3
	// rankDelayDivisor is the term divided by the delay between the attempts of two candidates. The delay is long enough for
	// the first attempt to succeed.
	rankDelayDivisor = 10
	minTick          = 20 * time.Millisecond
	maxTick          = time.Second
)

// Options configures a Manager.
type Options struct {
	Store       store.Store     // uses the rate share for leases and orders
	Members     membership.List // nil: this VM is the only member
	Name        string          // of this entry VM
	Incarnation uint64          // differs for each start of the process
	Groups      int
	Term        time.Duration
	Margin      time.Duration
	Candidates  int
	// HandBackAfter is how long the preferred holder must have been alive before a group is handed back to it.
	HandBackAfter time.Duration
	// Busy reports whether an order of the group is in progress; such a group is not handed back. nil: never busy.
	Busy func(group int) bool
	// Era returns the store's era and when, by Clock, this VM learned of it; nil: the store is never set back to a copy.
	Era    func() (era uint64, since time.Time)
	Clock  store.Clock
	Logger *zap.Logger
	Seed   uint64 // of the jitter; 0: random
}

// Manager takes, renews and releases the leases of one entry VM. Only one goroutine may call Step, Run and Release; the methods
// of Authority are safe for concurrent use.
type Manager struct {
	opt         Options
	rng         *rand.Rand
	rankedNames []string // live members from which ranks were computed
	ranks       []rank
	failures    int
	// storeFailures is failures for other goroutines.
	storeFailures atomic.Int64
	nextCall      time.Time // no store call before this time
	nextHandBack  time.Time // no group is handed back before this time

	mu     sync.Mutex
	groups []groupState
}

// rank is this VM's place among the live members for one group.
type rank struct {
	place     int
	preferred string    // member with the first place
	since     time.Time // when preferred took the first place
}

// groupState is this VM's state of one group's lease.
type groupState struct {
	next time.Time // next store call
	era  uint64    // of the store when version was read
	// The lease as last read from or written to the store.
	version   uint64
	lease     topo.Lease
	firstSeen time.Time // start of the uninterrupted observation of version; zero: none
	// The lease as held by this process. mine means that version is the result of this process's own write.
	mine  bool
	since time.Time
	until time.Time
	sent  time.Time
}

var _ Authority = (*Manager)(nil)

// New returns a Manager with defaults for the options that are not set.
func New(opt Options) *Manager {
	if opt.Groups <= 0 {
		opt.Groups = DefaultGroups
	}
	if opt.Term <= 0 {
		opt.Term = DefaultTerm
	}
	if opt.Margin <= 0 {
		opt.Margin = time.Duration(float64(opt.Term) * defaultMarginShare)
	}
	if opt.Candidates <= 0 {
		opt.Candidates = defaultCandidates
	}
	if opt.HandBackAfter <= 0 {
		opt.HandBackAfter = defaultHandBackAfter
	}
	if opt.Busy == nil {
		opt.Busy = func(int) bool { return false }
	}
	if opt.Era == nil {
		opt.Era = func() (uint64, time.Time) { return 0, time.Time{} }
	}
	if opt.Clock == nil {
		opt.Clock = store.SystemClock{}
	}
	if opt.Logger == nil {
		opt.Logger = zap.NewNop()
	}
	if opt.Seed == 0 {
		opt.Seed = rand.Uint64()
	}
	return &Manager{
		opt: opt, rng: rand.New(rand.NewPCG(opt.Seed, 2)), ranks: make([]rank, opt.Groups), groups: make([]groupState, opt.Groups),
	}
}

var (
	takeovers  = metrics.NewCounter("bergamot_lease_takeovers_total")
	leasesLost = metrics.NewCounter("bergamot_lease_lost_total")
	renewals   = metrics.NewCounter("bergamot_lease_renewals_total")
)

// GroupOf returns the group of an upstream.
func (m *Manager) GroupOf(upstream string) int {
	return int(xxhash.Sum64String(upstream) % uint64(m.opt.Groups))
}

// Check returns the token if the lease remains held for at least margin, and a *result.Error LeaseLost otherwise.
func (m *Manager) Check(g int, margin time.Duration) (Token, error) {
	now := m.opt.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if g < 0 || g >= len(m.groups) {
		return Token{}, result.New(result.LeaseLost, "group %d does not exist", g)
	}
	s := &m.groups[g]
	// The monotonic clock may stop while a VM is suspended, so the lease must also be valid by the wall clock.
	if !now.Add(margin).Before(s.until) || !now.Round(0).Add(margin).Before(s.until.Round(0)) {
		return Token{}, result.New(result.LeaseLost, "no lease for group %d for the next %s", g, margin)
	}
	return Token{Group: g, Fencing: s.lease.Fencing, Until: s.until, Since: s.since}, nil
}

// Groups returns the groups whose lease is held now.
func (m *Manager) Groups() []int {
	var held []int
	for g := range m.opt.Groups {
		if _, err := m.Check(g, 0); err == nil {
			held = append(held, g)
		}
	}
	return held
}

// Run takes and renews this VM's leases until ctx ends, and then releases them.
func (m *Manager) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		_ = m.opt.Clock.Sleep(ctx, m.Step(ctx))
	}
	release, cancel := context.WithTimeout(context.WithoutCancel(ctx), m.opt.Term/renewDivisor)
	defer cancel()
	m.Release(release)
	return nil
}

// Step makes the store calls that are due and returns the time until the next ones.
func (m *Manager) Step(ctx context.Context) time.Duration {
	m.updateRanks()
	if now := m.opt.Clock.Now(); now.Before(m.nextCall) {
		return m.nextCall.Sub(now)
	}
	// Held groups come first: if the store is slow, a renewal must not wait for a candidate's reads.
	for g, ok := m.nextDue(); ok; g, ok = m.nextDue() {
		if !m.callStore(ctx, g) {
			return m.nextCall.Sub(m.opt.Clock.Now())
		}
	}
	return m.untilNext()
}

// nextDue returns a group whose store call is due, with preference for held groups.
func (m *Manager) nextDue() (int, bool) {
	for _, mine := range []bool{true, false} {
		for g := range m.groups {
			if m.isDue(g, mine) {
				return g, true
			}
		}
	}
	return 0, false
}

func (m *Manager) isDue(g int, mine bool) bool {
	s := &m.groups[g]
	return s.mine == mine && (mine || m.ranks[g].place < m.opt.Candidates) && !m.opt.Clock.Now().Before(s.next)
}

func (m *Manager) untilNext() time.Duration {
	now := m.opt.Clock.Now()
	d := maxTick
	for g, s := range m.groups {
		if s.mine || m.ranks[g].place < m.opt.Candidates {
			d = min(d, s.next.Sub(now))
		}
	}
	return max(d, minTick)
}

// callStore makes the store call of one group. It returns false if the store is unavailable; all groups then back off.
func (m *Manager) callStore(ctx context.Context, g int) bool {
	ctx, cancel := context.WithTimeout(ctx, m.opt.Term/renewDivisor)
	defer cancel()
	var err error
	switch s := &m.groups[g]; {
	case s.mine && m.shouldHandBack(g):
		err = m.release(ctx, g)
	case s.mine:
		err = m.renew(ctx, g)
	default:
		err = m.observe(ctx, g)
	}
	if errors.Is(err, store.ErrUnavailable) || (err != nil && ctx.Err() != nil) {
		m.backOff()
		return false
	}
	m.failures = 0
	m.storeFailures.Store(0)
	return true
}

// backOff delays the next store call by a jittered time and restarts the observation of each lease that this VM does not
// hold. After the outage, the former holders can therefore renew before another VM may take over.
func (m *Manager) backOff() {
	m.failures++
	m.storeFailures.Store(int64(m.failures))
	m.nextCall = m.opt.Clock.Now().Add(store.BackoffFrom(m.rng, m.failures))
	for g := range m.groups {
		if s := &m.groups[g]; !s.mine {
			s.firstSeen = time.Time{}
		}
	}
}

// jitter returns d shortened by up to a quarter.
func (m *Manager) jitter(d time.Duration) time.Duration {
	return d - time.Duration(m.rng.Int64N(int64(d/4)+1))
}

func (m *Manager) renewInterval() time.Duration { return m.jitter(m.opt.Term / renewDivisor) }

// write writes a lease. A read-back settles a lost answer.
func (m *Manager) write(ctx context.Context, version uint64, l topo.Lease) (uint64, error) {
	value, err := topo.Encode(l)
	if err != nil {
		return 0, err
	}
	o := store.Object{
		Kind: topo.KindLease, Name: m.objectName(l.Group), Version: version, Value: value,
		Writer: store.NewWriterMark(m.opt.Name),
	}
	return store.PutSettled(ctx, m.opt.Store, o, nil)
}

// objectName returns the name of a lease's object. It contains the number of groups, so that VMs with different numbers don't
// share leases.
func (m *Manager) objectName(g int) string { return fmt.Sprintf("g%d-%d", m.opt.Groups, g) }

// recordWrite records a lease that this process has written.
func (m *Manager) recordWrite(g int, version uint64, l topo.Lease, sent time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &m.groups[g]
	if !s.mine || s.lease.Fencing != l.Fencing {
		s.since = m.opt.Clock.Now()
	}
	s.version, s.lease, s.mine, s.sent = version, l, true, sent
	s.until = sent.Add(m.opt.Term)
	s.next = sent.Add(m.renewInterval())
}

// dropLease ends the renewal of a lease. With keep, the lease stays valid until the end of its term, for a write whose
// outcome is unknown.
func (m *Manager) dropLease(g int, keep bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &m.groups[g]
	s.mine, s.firstSeen, s.next = false, time.Time{}, time.Time{}
	if !keep {
		s.until = time.Time{}
	}
}

func (m *Manager) renew(ctx context.Context, g int) error {
	s := m.groups[g]
	l := s.lease
	l.Renewals++
	l.TermMS = m.opt.Term.Milliseconds()
	sent := m.opt.Clock.Now()
	version, err := m.write(ctx, s.version, l)
	switch {
	case err == nil:
		renewals.Inc()
		m.recordWrite(g, version, l, sent)
	case errors.Is(err, store.ErrConflict) && m.retake(ctx, g):
		return nil
	case errors.Is(err, store.ErrConflict):
		leasesLost.Inc()
		m.opt.Logger.Warn("lease lost", zap.Int("group", g), zap.Uint64("fencing", l.Fencing))
		m.dropLease(g, false)
	case errors.Is(err, store.ErrOutcomeUnknown):
		m.dropLease(g, true) // the next read shows whether this process still holds the lease
	default:
		m.groups[g].next = m.opt.Clock.Now().Add(m.renewInterval() / 2)
	}
	return err
}

// retake writes a held lease again that the store has lost because it was set back to a copy, with a fencing number of its new
// era, and reports whether it has. Until the end of the term no other VM takes the lease: see restoredLeaseEnd.
func (m *Manager) retake(ctx context.Context, g int) bool {
	s := m.groups[g]
	if era, _ := m.opt.Era(); store.EraOf(s.version) == era {
		return false
	}
	o, l, err := m.read(ctx, g)
	sent := m.opt.Clock.Now()
	if err != nil || !sent.Before(s.until) {
		return false
	}
	next := topo.Lease{
		Group: g, Holder: m.opt.Name, Incarnation: m.opt.Incarnation, TermMS: m.opt.Term.Milliseconds(),
		Fencing: max(l.Fencing, s.lease.Fencing, m.minFencing()) + 1,
	}
	version, err := m.write(ctx, o.Version, next)
	if err != nil {
		return false
	}
	m.opt.Logger.Warn("lease written again to the restored store", zap.Int("group", g), zap.Uint64("fencing", next.Fencing))
	m.recordWrite(g, version, next, sent)
	return true
}

// observe reads a lease that this VM does not hold, and takes it once the take-over delay has passed.
func (m *Manager) observe(ctx context.Context, g int) error {
	asked := m.opt.Clock.Now()
	s := &m.groups[g]
	s.next = asked.Add(m.renewInterval())
	o, l, err := m.read(ctx, g)
	if err != nil {
		return err
	}
	now := m.opt.Clock.Now()
	if era, _ := m.opt.Era(); era != s.era {
		m.mu.Lock()
		s.era, s.version, s.firstSeen = era, 0, time.Time{} // the store may have lost what was read before
		m.mu.Unlock()
	}
	switch {
	case o.Version < s.version: // a stale read
		return nil
	case o.Version > s.version || s.firstSeen.IsZero():
		m.mu.Lock()
		s.version, s.firstSeen = o.Version, now
		if now.After(s.until) || l.Holder != m.opt.Name || l.Incarnation != m.opt.Incarnation {
			s.lease, s.until = l, time.Time{}
		}
		m.mu.Unlock()
	}
	ready := s.firstSeen.Add(m.takeoverDelay(g, l, o.Version))
	if restored := m.restoredLeaseEnd(g); restored.After(ready) {
		ready = restored
	}
	if asked.Before(ready) {
		s.next = earlier(s.next, ready)
		return nil
	}
	return m.takeOver(ctx, g, o.Version, l)
}

func (m *Manager) read(ctx context.Context, g int) (store.Object, topo.Lease, error) {
	o, err := m.opt.Store.Get(ctx, topo.KindLease, m.objectName(g))
	if errors.Is(err, store.ErrNotFound) {
		return store.Object{}, topo.Lease{Group: g}, nil
	}
	if err != nil {
		return o, topo.Lease{}, err
	}
	l, err := topo.Decode[topo.Lease](o.Value)
	return o, l, err
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func (m *Manager) isOwn(l topo.Lease) bool {
	return l.Holder == m.opt.Name && l.Incarnation == m.opt.Incarnation && !l.Released
}

// shouldHandBack reports whether to hand a group back to its preferred holder, which must have been alive for HandBackAfter. At
// most one group is handed back in a tenth of that time, so that a VM that returns does not get all its groups at once.
func (m *Manager) shouldHandBack(g int) bool {
	now := m.opt.Clock.Now()
	r := m.ranks[g]
	if r.place == 0 || now.Before(m.nextHandBack) || now.Sub(r.since) < m.opt.HandBackAfter || m.opt.Busy(g) {
		return false
	}
	m.nextHandBack = now.Add(m.jitter(m.opt.HandBackAfter / 10))
	return true
}

// release releases a lease. The authority ends before the write is sent.
func (m *Manager) release(ctx context.Context, g int) error {
	s := m.groups[g]
	m.dropLease(g, false)
	l := s.lease
	l.Released = true
	_, err := m.write(ctx, s.version, l)
	m.groups[g].next = m.opt.Clock.Now().Add(m.renewInterval())
	return err
}

// Release releases all leases. A lease whose release fails lapses after its term.
func (m *Manager) Release(ctx context.Context) {
	for g := range m.groups {
		if !m.groups[g].mine {
			continue
		}
		if err := m.release(ctx, g); err != nil {
			m.opt.Logger.Warn("lease not released", zap.Int("group", g), zap.Error(err))
		}
	}
}
