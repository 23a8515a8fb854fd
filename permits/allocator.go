package permits

import (
	"math"
	"time"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/scheduler"
)

// levels is the number of levels of urgency: the priorities of waiting requests, then permits for requests that are only
// expected.
const levels = policy.Priorities + 1

// demand is the number of permits that an entry VM asks for, by level.
type demand [levels]int

func (d demand) isZero() bool { return d == demand{} }

const (
	// takeoverTime is how long an allocator grants at takeoverShare of a limit at first. Another VM may still grant too,
	// while the VMs disagree on the members.
	takeoverTime  = time.Second
	takeoverShare = 0.5
	// burstTime bounds the permits that accumulate while nobody asks for them: to those of this time, and to one at least.
	burstTime = 250 * time.Millisecond
	// returnTime bounds them with those that are given back, which were granted during a permit's lifetime before.
	returnTime = time.Second
	// grantsPerRound bounds the entry VMs that get permits in one round, so that the messages don't grow with the limit.
	grantsPerRound = 8
)

// allocator distributes the permits of upstreams among the entry VMs that ask for them. Permits accrue at the limit, as in a
// token bucket, and go to the most urgent demand first, and to the VMs with demand of that urgency in turn.
//
// It reads no clock and sends nothing.
type allocator struct {
	budgets map[uint64]*budget // by the hash of the upstream's name
}

// budget is the state of one upstream.
type budget struct {
	limit      statement // newest known
	tokens     float64
	refilledAt time.Time
	beganAt    time.Time
	asking     map[string]*request // by VM
	turns      [levels][]string    // VMs in the order of their turns; may hold VMs without demand
	waiting    [levels]int         // sums over asking
}

// request is the newest demand of an entry VM.
type request struct {
	demand  demand
	until   time.Time
	inTurns [levels]bool
}

// grant is a number of permits for an entry VM.
type grant struct {
	vm string
	n  int
}

func newAllocator() *allocator { return &allocator{map[uint64]*budget{}} }

// begin starts a budget with a part of a permit, unless there is one.
func (a *allocator) begin(now time.Time, upstream uint64, tokens float64) *budget {
	b := a.budgets[upstream]
	if b == nil {
		b = &budget{tokens: tokens, refilledAt: now, beganAt: now, asking: map[string]*request{}}
		a.budgets[upstream] = b
	}
	return b
}

// end forgets a budget.
func (a *allocator) end(upstream uint64) { delete(a.budgets, upstream) }

// ask replaces the demand of an entry VM. It holds until the given time.
func (b *budget) ask(vm string, d demand, until time.Time) {
	r := b.asking[vm]
	if r == nil {
		if d.isZero() {
			return
		}
		r = &request{}
		b.asking[vm] = r
	}
	r.until = until
	for i, n := range d {
		b.waiting[i] += n - r.demand[i]
		if n > 0 && !r.inTurns[i] {
			r.inTurns[i] = true
			b.turns[i] = append(b.turns[i], vm)
		}
	}
	r.demand = d
}

// giveBack returns unused permits. Those of another allocator, before this budget began, are dropped.
func (b *budget) giveBack(now time.Time, n int) {
	if now.Sub(b.beganAt) < returnTime {
		return
	}
	b.tokens = max(min(b.tokens+float64(n), 1+b.limit.perSecond*returnTime.Seconds()), b.tokens)
}

// allocate grants the permits that have accrued at a rate per second.
func (b *budget) allocate(now time.Time, perSecond float64) []grant {
	b.refill(now, perSecond)
	b.expire(now)
	var out []grant
	chunk := max(int(math.Ceil(b.tokens/grantsPerRound)), 1)
	for level := 0; level < levels && b.tokens >= 1 && len(out) < grantsPerRound; {
		vm, r := b.nextTurn(level)
		if r == nil {
			level++
			continue
		}
		n := min(chunk, r.demand[level], int(b.tokens))
		b.tokens -= float64(n)
		r.demand[level] -= n
		b.waiting[level] -= n
		if r.demand[level] > 0 {
			r.inTurns[level] = true
			b.turns[level] = append(b.turns[level], vm)
		}
		out = append(out, grant{vm, n})
	}
	return out
}

func (b *budget) refill(now time.Time, perSecond float64) {
	slowUntil := b.beganAt.Add(takeoverTime)
	slow := max(min(now.Sub(b.refilledAt), slowUntil.Sub(b.refilledAt)), 0)
	full := now.Sub(b.refilledAt) - slow
	accrued := perSecond * (takeoverShare*slow.Seconds() + full.Seconds())
	b.tokens = max(min(b.tokens+accrued, max(perSecond*burstTime.Seconds(), 1)), b.tokens)
	b.refilledAt = now
}

// nextTurn removes and returns the VM whose turn it is at a level, or nil if no VM has demand there.
func (b *budget) nextTurn(level int) (string, *request) {
	for len(b.turns[level]) > 0 {
		vm := b.turns[level][0]
		b.turns[level] = b.turns[level][1:]
		r := b.asking[vm]
		if r == nil {
			continue
		}
		r.inTurns[level] = false
		if r.demand[level] > 0 {
			return vm, r
		}
	}
	return "", nil
}

// expire removes the VMs that have not asked again in time.
func (b *budget) expire(now time.Time) {
	for vm, r := range b.asking {
		if now.After(r.until) {
			for i, n := range r.demand {
				b.waiting[i] -= n
			}
			delete(b.asking, vm)
		}
	}
}

// backlog returns the requests that wait for permits.
func (b *budget) backlog() scheduler.LimitBacklog {
	var out scheduler.LimitBacklog
	copy(out.Waiting[:], b.waiting[:policy.Priorities])
	for _, r := range b.asking {
		for _, n := range r.demand[:policy.Priorities] {
			if n > 0 {
				out.VMs++
				break
			}
		}
	}
	return out
}
