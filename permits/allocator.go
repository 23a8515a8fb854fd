package permits

import (
	"math"
	"slices"
	"time"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/scheduler"
)

// levels is the number of levels of demand: the share levels of waiting requests, and permits for expected requests, which are
// granted last.
const (
	levels   = policy.ShareLevels + 1
	expected = levels - 1
)

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
// token bucket. The levels of waiting requests share them by weight (start-time fair queueing), and the VMs with demand of a level
// get them in turn.
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
	byLevel    [levels]levelState
	now        float64 // virtual time of the levels
}

// levelState is the state of one level of a budget.
type levelState struct {
	turns  []string // VMs in the order of their turns; may hold VMs without demand
	vms    int      // VMs with demand
	finish float64  // virtual finish time
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
	for level, n := range d {
		b.setDemand(vm, r, level, n)
	}
}

// setDemand sets the demand of a VM at one level.
func (b *budget) setDemand(vm string, r *request, level, n int) {
	l := &b.byLevel[level]
	switch before := r.demand[level]; {
	case before == 0 && n > 0:
		l.vms++
	case before > 0 && n == 0:
		l.vms--
	}
	r.demand[level] = n
	if n > 0 && !r.inTurns[level] {
		r.inTurns[level] = true
		l.turns = append(l.turns, vm)
	}
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
	for b.tokens >= 1 && len(out) < grantsPerRound {
		level := b.nextLevel()
		if level < 0 {
			break
		}
		vm, r := b.nextTurn(level)
		n := min(chunk, r.demand[level], int(b.tokens))
		b.tokens -= float64(n)
		if level != expected {
			l := &b.byLevel[level]
			b.now = max(b.now, l.finish)
			l.finish = b.now + float64(n)/policy.ShareWeight(level)
		}
		b.setDemand(vm, r, level, r.demand[level]-n)
		out = append(out, grant{vm, n})
	}
	return out
}

// nextLevel returns the level that gets the next permit, or -1 if no VM has demand.
func (b *budget) nextLevel() int {
	best := -1
	for level := range expected {
		if b.byLevel[level].vms > 0 && (best < 0 || b.byLevel[level].finish < b.byLevel[best].finish) {
			best = level
		}
	}
	if best < 0 && b.byLevel[expected].vms > 0 {
		return expected
	}
	return best
}

func (b *budget) refill(now time.Time, perSecond float64) {
	slowUntil := b.beganAt.Add(takeoverTime)
	slow := max(min(now.Sub(b.refilledAt), slowUntil.Sub(b.refilledAt)), 0)
	full := now.Sub(b.refilledAt) - slow
	accrued := perSecond * (takeoverShare*slow.Seconds() + full.Seconds())
	b.tokens = max(min(b.tokens+accrued, max(perSecond*burstTime.Seconds(), 1)), b.tokens)
	b.refilledAt = now
}

// nextTurn removes and returns the VM whose turn it is at a level at which some VM has demand.
func (b *budget) nextTurn(level int) (string, *request) {
	for l := &b.byLevel[level]; ; {
		vm := l.turns[0]
		l.turns = l.turns[1:]
		r := b.asking[vm]
		r.inTurns[level] = false
		if r.demand[level] > 0 {
			return vm, r
		}
	}
}

// expire removes the VMs that have not asked again in time.
func (b *budget) expire(now time.Time) {
	for vm, r := range b.asking {
		if now.After(r.until) {
			for level := range levels {
				b.setDemand(vm, r, level, 0)
				if r.inTurns[level] {
					l := &b.byLevel[level]
					l.turns = slices.DeleteFunc(l.turns, func(other string) bool { return other == vm })
				}
			}
			delete(b.asking, vm)
		}
	}
}

// backlog returns the requests that wait for permits as a VM sees them.
func (b *budget) backlog(vm string) scheduler.LimitBacklog {
	var out scheduler.LimitBacklog
	for level := range policy.ShareLevels {
		l := &b.byLevel[level]
		out.VMs[level], out.Turn[level] = l.vms, l.vms
		if r := b.asking[vm]; l.vms > 0 && r != nil && r.demand[level] > 0 {
			out.Turn[level] = b.turnOf(vm, level)
		}
	}
	return out
}

// turnOf returns the number of VMs with demand that get a permit before a VM with demand does.
func (b *budget) turnOf(vm string, level int) (n int) {
	for _, other := range b.byLevel[level].turns {
		if other == vm {
			break
		}
		if b.asking[other].demand[level] > 0 {
			n++
		}
	}
	return n
}
