package lease

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/membership"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"
)

// Defaults.
const (
	// DefaultGroups must be the same on all VMs, and may change only while no VM holds a lease: another number moves
	// upstreams to other groups. 64 groups cost 20 renewals a second and give 2,200 VMs about 160 upstreams a group.
	DefaultGroups = 64
	// DefaultTerm is the longest time that a group is without an authority, next to the margin and the candidate's poll.
	DefaultTerm = 10 * time.Second
	// defaultMarginShare of the term lets the clocks of holder and candidate run up to 9 % fast or slow.
	defaultMarginShare = 0.2
	// defaultCandidates watch a group beside its holder. More cost reads; with fewer, the loss of a rack could take all.
	defaultCandidates = 3
	defaultHandBack   = 10 * time.Minute
	// renewShare of the term passes between renewals, so that two may fail before the lease lapses.
	renewShare = 3
	// rankDelayShare of the term lies between the tries of two candidates, long enough for the first to succeed.
	rankDelayShare = 10
	minTick        = 20 * time.Millisecond
	maxTick        = time.Second
)

// Options configure a Manager.
type Options struct {
	Store       store.Store     // with the share for leases and orders
	Members     membership.List // nil: this VM alone
	Name        string          // of this entry VM
	Incarnation uint64          // differs for each start of the process
	Groups      int
	Term        time.Duration
	Margin      time.Duration
	Candidates  int
	// HandBackAfter is how long the preferred holder must have been alive before a group is handed back to it.
	HandBackAfter time.Duration
	// Busy says whether an order of the group is under way; such a group is not handed back. nil: never.
	Busy   func(group int) bool
	Clock  store.Clock
	Logger *zap.Logger
	Seed   uint64 // of the jitter; 0: random
}

// Manager takes, renews and gives up the leases of one entry VM. Step and Run belong to one goroutine; the methods of Authority
// are safe for concurrent use.
type Manager struct {
	opt      Options
	rng      *rand.Rand
	names    []string // live members that ranks were computed from
	ranks    []rank
	failures int
	resume   time.Time // no store call before this time
	handBack time.Time // no group is handed back before this time

	mu     sync.Mutex
	groups []group
}

// rank is this VM's place among the live members for one group.
type rank struct {
	place     int
	preferred string
	since     time.Time // when preferred became so
}

// group is what this VM knows of one lease.
type group struct {
	next time.Time // next store call
	// As seen in the store.
	version uint64
	lease   topo.Lease
	first   time.Time // when version was first seen without a break; zero: not seen
	// As held. mine means that version is the result of this process's own write.
	mine  bool
	since time.Time
	until time.Time
	sent  time.Time
}

var _ Authority = (*Manager)(nil)

// New returns a Manager with defaults for what opt leaves out.
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
		opt.HandBackAfter = defaultHandBack
	}
	if opt.Busy == nil {
		opt.Busy = func(int) bool { return false }
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
		opt: opt, rng: rand.New(rand.NewPCG(opt.Seed, 2)), ranks: make([]rank, opt.Groups), groups: make([]group, opt.Groups),
	}
}

var (
	takeovers = metrics.NewCounter("bergamot_lease_takeovers_total")
	lost      = metrics.NewCounter("bergamot_lease_lost_total")
	renewals  = metrics.NewCounter("bergamot_lease_renewals_total")
)

// GroupOf returns the group of an upstream.
func (m *Manager) GroupOf(upstream string) int {
	return int(xxhash.Sum64String(upstream) % uint64(m.opt.Groups))
}

// Check returns the token if the lease is held for at least margin from now.
func (m *Manager) Check(g int, margin time.Duration) (Token, error) {
	now := m.opt.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if g < 0 || g >= len(m.groups) {
		return Token{}, result.New(result.LeaseLost, "group %d does not exist", g)
	}
	s := &m.groups[g]
	// The monotonic clock of a suspended VM may stand still, so the lease must be valid by the wall clock too.
	if !now.Add(margin).Before(s.until) || !now.Round(0).Add(margin).Before(s.until.Round(0)) {
		return Token{}, result.New(result.LeaseLost, "no lease for group %d for the next %s", g, margin)
	}
	return Token{Group: g, Fencing: s.lease.Fencing, Until: s.until, Since: s.since}, nil
}

// Groups returns the groups held now.
func (m *Manager) Groups() []int {
	var held []int
	for g := range m.opt.Groups {
		if _, err := m.Check(g, 0); err == nil {
			held = append(held, g)
		}
	}
	return held
}

// Run keeps this VM's leases until ctx ends, and then gives them up.
func (m *Manager) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		_ = m.opt.Clock.Sleep(ctx, m.Step(ctx))
	}
	release, cancel := context.WithTimeout(context.WithoutCancel(ctx), m.opt.Term/renewShare)
	defer cancel()
	m.Release(release)
	return nil
}

// Step makes the store calls that are due and returns the time until the next ones.
func (m *Manager) Step(ctx context.Context) time.Duration {
	m.rank()
	if now := m.opt.Clock.Now(); now.Before(m.resume) {
		return m.resume.Sub(now)
	}
	// Held groups first: in a slow store a renewal must not wait for the reads of a candidate.
	for g, ok := m.nextDue(); ok; g, ok = m.nextDue() {
		if !m.act(ctx, g) {
			return m.resume.Sub(m.opt.Clock.Now())
		}
	}
	return m.untilNext()
}

// nextDue returns a group whose call is due, one that is held if there is any.
func (m *Manager) nextDue() (int, bool) {
	for _, mine := range []bool{true, false} {
		for g := range m.groups {
			if m.due(g, mine) {
				return g, true
			}
		}
	}
	return 0, false
}

func (m *Manager) due(g int, mine bool) bool {
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

// act makes one group's call. It reports false when the store is down, and then all groups wait for a jittered time.
func (m *Manager) act(ctx context.Context, g int) bool {
	ctx, cancel := context.WithTimeout(ctx, m.opt.Term/renewShare)
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
		m.outage()
		return false
	}
	m.failures = 0
	return true
}

// outage delays the next call by a jittered time and restarts the wait for each lease that others hold. When the store returns,
// the former holders renew before anyone else may take over.
func (m *Manager) outage() {
	m.failures++
	m.resume = m.opt.Clock.Now().Add(store.BackoffFrom(m.rng, m.failures))
	for g := range m.groups {
		if s := &m.groups[g]; !s.mine {
			s.first = time.Time{}
		}
	}
}

// jitter returns d shortened by up to a quarter.
func (m *Manager) jitter(d time.Duration) time.Duration {
	return d - time.Duration(m.rng.Int64N(int64(d/4)+1))
}

func (m *Manager) interval() time.Duration { return m.jitter(m.opt.Term / renewShare) }

// write puts a lease and settles a lost answer.
func (m *Manager) write(ctx context.Context, version uint64, l topo.Lease) (uint64, error) {
	value, err := topo.Encode(l)
	if err != nil {
		return 0, err
	}
	o := store.Object{
		Kind: topo.KindLease, Name: m.object(l.Group), Version: version, Value: value,
		Writer: store.NewMark(m.opt.Name),
	}
	return store.PutSettled(ctx, m.opt.Store, o, nil)
}

// object names a lease. The number of groups is part of the name, so that VMs with different numbers don't share leases.
func (m *Manager) object(g int) string { return fmt.Sprintf("g%d-%d", m.opt.Groups, g) }

// set records a successful write.
func (m *Manager) set(g int, version uint64, l topo.Lease, sent time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &m.groups[g]
	if !s.mine || s.lease.Fencing != l.Fencing {
		s.since = m.opt.Clock.Now()
	}
	s.version, s.lease, s.mine, s.sent = version, l, true, sent
	s.until = sent.Add(m.opt.Term)
	s.next = sent.Add(m.interval())
}

// drop forgets the lease. keep leaves the authority as it is, for a write whose outcome is unknown.
func (m *Manager) drop(g int, keep bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &m.groups[g]
	s.mine, s.first, s.next = false, time.Time{}, time.Time{}
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
		m.set(g, version, l, sent)
	case errors.Is(err, store.ErrConflict):
		lost.Inc()
		m.opt.Logger.Warn("lease lost", zap.Int("group", g), zap.Uint64("fencing", l.Fencing))
		m.drop(g, false)
	case errors.Is(err, store.ErrOutcomeUnknown):
		m.drop(g, true) // the next read tells whether it is still ours
	default:
		m.groups[g].next = m.opt.Clock.Now().Add(m.interval() / 2)
	}
	return err
}

// observe reads a lease that this VM does not hold and takes it when it may.
func (m *Manager) observe(ctx context.Context, g int) error {
	asked := m.opt.Clock.Now()
	s := &m.groups[g]
	s.next = asked.Add(m.interval())
	o, l, err := m.read(ctx, g)
	if err != nil {
		return err
	}
	now := m.opt.Clock.Now()
	switch {
	case o.Version < s.version: // an answer from the past
		return nil
	case o.Version > s.version || s.first.IsZero():
		m.mu.Lock()
		s.version, s.first = o.Version, now
		if now.After(s.until) || l.Holder != m.opt.Name || l.Incarnation != m.opt.Incarnation {
			s.lease, s.until = l, time.Time{}
		}
		m.mu.Unlock()
	}
	ready := s.first.Add(m.wait(g, l, o.Version))
	if asked.Before(ready) {
		s.next = earlier(s.next, ready)
		return nil
	}
	return m.take(ctx, g, o.Version, l)
}

func (m *Manager) read(ctx context.Context, g int) (store.Object, topo.Lease, error) {
	o, err := m.opt.Store.Get(ctx, topo.KindLease, m.object(g))
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

func (m *Manager) own(l topo.Lease) bool {
	return l.Holder == m.opt.Name && l.Incarnation == m.opt.Incarnation && !l.Released
}

// wait is how long this VM must have seen a lease unchanged before it may take it. Each place in the ranking adds a delay, so
// that the candidates don't try together.
func (m *Manager) wait(g int, l topo.Lease, version uint64) time.Duration {
	byRank := time.Duration(m.ranks[g].place) * m.opt.Term / rankDelayShare
	switch {
	case m.own(l): // written by this process, with a lost answer
		return 0
	case version == 0 || l.Released:
		return byRank
	default:
		return time.Duration(l.TermMS)*time.Millisecond + m.opt.Margin + byRank
	}
}

// take writes the lease in this VM's name. The write fails if anyone has written since the version was first seen.
func (m *Manager) take(ctx context.Context, g int, version uint64, l topo.Lease) error {
	next := topo.Lease{
		Group: g, Holder: m.opt.Name, Incarnation: m.opt.Incarnation, Fencing: l.Fencing + 1,
		TermMS: m.opt.Term.Milliseconds(),
	}
	if m.own(l) {
		next.Fencing, next.Renewals = l.Fencing, l.Renewals+1
	}
	sent := m.opt.Clock.Now()
	written, err := m.write(ctx, version, next)
	if err != nil {
		m.drop(g, true)
		return err
	}
	takeovers.Inc()
	m.opt.Logger.Info("lease taken", zap.Int("group", g), zap.Uint64("fencing", next.Fencing), zap.String("from", l.Holder))
	m.set(g, written, next, sent)
	return nil
}

// shouldHandBack reports whether the preferred holder has been alive long enough. At most one group is handed back in a tenth
// of that time, so that a VM that returns does not move all its groups at once.
func (m *Manager) shouldHandBack(g int) bool {
	now := m.opt.Clock.Now()
	r := m.ranks[g]
	if r.place == 0 || now.Before(m.handBack) || now.Sub(r.since) < m.opt.HandBackAfter || m.opt.Busy(g) {
		return false
	}
	m.handBack = now.Add(m.jitter(m.opt.HandBackAfter / 10))
	return true
}

// release gives a lease up. The authority ends before the write is sent.
func (m *Manager) release(ctx context.Context, g int) error {
	s := m.groups[g]
	m.drop(g, false)
	l := s.lease
	l.Released = true
	_, err := m.write(ctx, s.version, l)
	m.groups[g].next = m.opt.Clock.Now().Add(m.interval())
	return err
}

// Release gives up all leases. A lease that can't be released lapses after its term.
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

// rank computes this VM's place for each group when the live members have changed.
func (m *Manager) rank() {
	names := m.live()
	if slices.Equal(names, m.names) {
		return
	}
	m.names = names
	now := m.opt.Clock.Now()
	for g := range m.ranks {
		place, best, bestName := 0, uint64(0), ""
		own := score(m.opt.Name, g)
		for _, name := range names {
			sc := score(name, g)
			if sc > own || (sc == own && name < m.opt.Name) {
				place++
			}
			if bestName == "" || sc > best {
				best, bestName = sc, name
			}
		}
		if r := &m.ranks[g]; r.preferred != bestName {
			r.preferred, r.since = bestName, now
		}
		if !slices.Contains(names, m.opt.Name) {
			place = m.opt.Candidates // a VM that is leaving takes no more groups
		}
		m.ranks[g].place = place
	}
}

func score(name string, g int) uint64 {
	// The group is mixed in after the name, so that each group ranks the members anew.
	return xxhash.Sum64String(fmt.Sprintf("%s/%d", name, g))
}

// live returns the names of the members that may hold leases.
func (m *Manager) live() []string {
	if m.opt.Members == nil {
		return []string{m.opt.Name}
	}
	var names []string
	for _, x := range m.opt.Members.Members() {
		if x.State == membership.Alive {
			names = append(names, x.Name)
		}
	}
	return names
}
