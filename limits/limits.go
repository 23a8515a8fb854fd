// Package limits enforces each account's limits on request rate, token rate and concurrency across entry VMs without a
// store call per request.
//
// Each VM has a share of an account's limits that follows its recent demand. The account's home group, a few VMs chosen by
// rendezvous hashing, exchanges demands; other VMs exchange theirs with the group.
//
// Invariant: a VM without reports of others uses a fixed share, so that the sum over all VMs stays within twice the limit
// in any partition. A VM that was paused uses the fixed share until the others have reported again.
package limits

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"bergamotcroft.example/bergamot/addresses"
	"bergamotcroft.example/bergamot/membership"
	"bergamotcroft.example/bergamot/peer/peerv1"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/topo"
)

// Times and bounds.
const (
	Interval            = time.Second        // between steps; accounts above exchangeThreshold exchange in every other step
	minExchangeInterval = 19 * Interval / 10 // per VM, in either direction; exchanges in each step would cost twice the bytes
	silentAfter         = 7 * Interval       // tolerates two lost exchanges in a row
	exchangeThreshold   = 0.5                // fraction of the fixed share or of the current one, whichever is less
	pauseThreshold      = 3 * Interval       // a longer time between steps means that this VM was paused
	idleExpiry          = 10 * time.Minute
	maxAccounts         = 32768
	maxOthers           = 24 // other VMs for each account
	shardCount          = 64
	// maxExchanges bounds the calls of one step, about 600 bytes each; further exchanges wait for the next step.
	maxExchanges = 8
)

// Exchanger exchanges demands with other entry VMs. *peer.Client implements it.
type Exchanger interface {
	ExchangeShares(ctx context.Context, address string, r *peerv1.ExchangeSharesRequest) (*peerv1.ExchangeSharesResponse, error)
}

// Options configure a Limiter.
type Options struct {
	Members   membership.List
	Exchanger Exchanger
	GroupSize int              // size of the home group; 0: addresses.DefaultGroup
	Now       func() time.Time // nil: time.Now
}

// Limiter admits requests of accounts.
type Limiter struct {
	o            Options
	shards       [shardCount]shard
	accountCount atomic.Int64
	version      atomic.Uint64 // of members; changes with their names and cores
	steppedAt    atomic.Int64  // time of the last step, in nanoseconds since start
	start        time.Time

	mu      sync.Mutex
	members []membership.Member
	byName  map[string]membership.Member

	exchanges, failures *metrics.Counter
}

type shard struct {
	mu       sync.Mutex
	accounts map[uint64]*account
}

// New returns a limiter.
func New(o Options) (*Limiter, error) {
	if o.Members == nil {
		return nil, trace.BadParameter("limits: the member list is required")
	}
	if o.GroupSize <= 0 {
		o.GroupSize = addresses.DefaultGroup
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	l := &Limiter{o: o, start: o.Now(),
		exchanges: metrics.GetOrCreateCounter("bergamot_limits_exchanges_total"),
		failures:  metrics.GetOrCreateCounter("bergamot_limits_exchange_failures_total")}
	for i := range l.shards {
		l.shards[i].accounts = map[uint64]*account{}
	}
	l.refreshMembers()
	return l, nil
}

func accountHash(caller string) uint64 { return xxhash.Sum64String(caller) }

// Permit is the admission of one request.
type Permit struct {
	l        *Limiter
	hash     uint64
	expected float32
}

// Admit admits a request that is expected to use a number of tokens, or returns a *result.Error, AccountRateLimit or
// AccountConcurrency, with the delay for a retry.
func (l *Limiter) Admit(caller string, limits topo.Limits, expected float64) (Permit, error) {
	now := l.o.Now()
	hash := accountHash(caller)
	s := &l.shards[hash%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	a := l.account(s, hash, now)
	if a == nil {
		return Permit{}, result.New(result.Overloaded, "this entry VM serves too many accounts").WithRetryAfter(Interval)
	}
	a.caller, a.lastUse = caller, now
	if a.limits != limits || a.groupVersion == 0 {
		l.configure(a, limits, now)
	}
	a.requested[requests]++
	a.requested[tokens] += float32(expected)
	a.peakInFlight = max(a.peakInFlight, a.inFlight+1)
	a.refill(now)
	if l.isPaused(now) {
		a.fallBack()
	}
	if err := a.refusal(); err != nil {
		return Permit{}, err
	}
	if limits.RequestsPerSecond > 0 {
		a.level[requests]--
	}
	if limits.TokensPerSecond > 0 {
		a.level[tokens] -= float32(expected)
	}
	a.inFlight++
	return Permit{l, hash, float32(expected)}, nil
}

// Done ends the request and charges the difference between the tokens used and those expected.
func (p Permit) Done(used float64) {
	if p.l == nil {
		return
	}
	s := &p.l.shards[p.hash%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.accounts[p.hash]
	if a == nil {
		return
	}
	a.inFlight = max(a.inFlight-1, 0)
	more := float32(used) - p.expected
	a.requested[tokens] = max(a.requested[tokens]+more, 0)
	if a.limits.TokensPerSecond > 0 {
		a.level[tokens] -= more
	}
}

// minRetry is the shortest delay for a retry. It keeps callers from retrying more often than the shares change.
const minRetry = 50 * time.Millisecond

func (a *account) refusal() error {
	if a.limits.Concurrent > 0 && a.inFlight >= a.maxInFlight() {
		return result.New(result.AccountConcurrency, "the account has %d requests in flight on this entry VM", a.inFlight).
			WithRetryAfter(Interval)
	}
	for k := range a.level {
		limit := limitOf(a.limits, kind(k))
		need := float32(1) // tokens only need a positive level, so that a request larger than the burst is admitted
		if limit <= 0 || a.level[k] >= need || kind(k) == tokens && a.level[k] > 0 {
			continue
		}
		wait := time.Duration(float64((need-a.level[k])/max(limit*a.share[k], 1e-6)) * float64(time.Second))
		return result.New(result.AccountRateLimit, "the account's rate is used up").
			WithRetryAfter(min(max(wait, minRetry), time.Minute))
	}
	return nil
}

// account returns the state of an account and creates it if needed, or nil if there are already maxAccounts.
func (l *Limiter) account(s *shard, hash uint64, now time.Time) *account {
	a := s.accounts[hash]
	if a == nil {
		if l.accountCount.Add(1) > maxAccounts {
			l.accountCount.Add(-1)
			return nil
		}
		a = &account{hash: hash, levelAt: now, lastUse: now}
		s.accounts[hash] = a
	}
	return a
}

// configure sets the limits and, on first use, the home group, the fixed share and full buckets.
func (l *Limiter) configure(a *account, limits topo.Limits, now time.Time) {
	a.limits = limits
	if a.groupVersion != 0 {
		return
	}
	l.regroup(a, now)
	for k := range kindCount {
		a.share[k] = a.fixedShare()
	}
	a.level = [2]float32{a.burst(requests), a.burst(tokens)}
}

// regroup recomputes the home group if the members have changed. It uses the limiter's copy of the member list, so that the
// groups of all accounts come from the same list.
func (l *Limiter) regroup(a *account, now time.Time) {
	v := l.version.Load()
	if a.groupVersion == v || a.caller == "" {
		return
	}
	a.groupVersion = v
	l.mu.Lock()
	members := l.members
	l.mu.Unlock()
	a.setGroup(l.o.Members.Self().Name, addresses.HomeGroup(members, a.caller, l.o.GroupSize), len(members), now)
}

func (l *Limiter) isPaused(now time.Time) bool {
	return now.Sub(l.start)-time.Duration(l.steppedAt.Load()) > pauseThreshold
}
