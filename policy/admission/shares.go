package admission

import (
	"math"
	"time"

	"bergamotcroft.example/bergamot/policy"
)

// maxShareAccounts bounds the accounts of one group; a configuration has fewer. Beyond it, further ones share one counter.
const maxShareAccounts = 4096

// shares holds what accounts have used, for each service or model and priority separately.
type shares struct {
	groups  map[shareKey]*shareGroup
	changes uint64 // counts the charges to accounts with waiting requests
}

type shareKey struct {
	service  string // or model
	priority int
}

// shareGroup holds the accounts whose requests of one priority compete for the same upstreams.
type shareGroup struct {
	accounts map[string]*shareAccount
	floor    float64 // highest counter of an account at a dispatch; an account that was idle starts from there
	meanCost float64 // smoothed, of requests that have ended
	waiting  int
	late     int // part of waiting, as of the last ranks
	active   int // accounts with waiting requests
}

// shareAccount is the virtual token counter of one account.
type shareAccount struct {
	used    float64
	waiting int
	running int // charged and not settled
}

func accountName(r *policy.Request) string {
	if r.Caller != "" {
		return "a:" + r.Caller
	}
	return "c:" + r.Class
}

func (s *shares) group(r *policy.Request) *shareGroup {
	key := shareKey{r.BudgetKey(), priorityLevel(r)}
	g, ok := s.groups[key]
	if !ok {
		g = &shareGroup{accounts: map[string]*shareAccount{}}
		s.groups[key] = g
	}
	return g
}

// find returns the group of r, an empty one if none of its requests has been admitted yet, and its account, or nil if the account
// has no counter. It changes nothing.
func (s *shares) find(r *policy.Request) (*shareGroup, *shareAccount) {
	g, ok := s.groups[shareKey{r.BudgetKey(), priorityLevel(r)}]
	if !ok {
		return &shareGroup{}, nil
	}
	return g, g.accounts[accountName(r)]
}

// account returns r's account. A new one that exceeds maxShareAccounts shares the account "".
func (g *shareGroup) account(r *policy.Request) *shareAccount {
	name := accountName(r)
	if a, ok := g.accounts[name]; ok {
		return a
	}
	if len(g.accounts) >= maxShareAccounts {
		g.sweep()
	}
	if len(g.accounts) >= maxShareAccounts {
		name = ""
		if a, ok := g.accounts[name]; ok {
			return a
		}
	}
	a := &shareAccount{}
	g.accounts[name] = a
	return a
}

// sweep removes the accounts that do not differ from new ones.
func (g *shareGroup) sweep() {
	for name, a := range g.accounts {
		if a.waiting == 0 && a.running == 0 && a.used <= g.start() {
			delete(g.accounts, name)
		}
	}
}

// start returns the counter from which an account without waiting requests starts: the least of those that wait. Time without
// requests is no credit.
func (g *shareGroup) start() float64 {
	if g.active == 0 {
		return g.floor
	}
	least := math.Inf(1)
	for _, a := range g.accounts {
		if a.waiting > 0 {
			least = min(least, a.used)
		}
	}
	return least
}

// join records that r waits.
func (s *shares) join(r *policy.Request) {
	g := s.group(r)
	a := g.account(r)
	if a.waiting == 0 {
		a.used = g.usedAfterJoin(a)
		g.active++
	}
	a.waiting++
	g.waiting++
}

// usedAfterJoin returns the counter of an account when one more of its requests waits.
func (g *shareGroup) usedAfterJoin(a *shareAccount) float64 {
	if a.waiting > 0 {
		return a.used
	}
	return max(a.used, g.start())
}

// usedAfterJoin returns the counter that r's account would have after join.
func (s *shares) usedAfterJoin(r *policy.Request) float64 {
	g, a := s.find(r)
	if a == nil {
		a = &shareAccount{}
	}
	return g.usedAfterJoin(a)
}

// leave records that r no longer waits.
func (s *shares) leave(r *policy.Request) {
	g := s.group(r)
	a := g.account(r)
	g.waiting--
	if r.Late {
		g.late--
	}
	if a.waiting--; a.waiting == 0 {
		g.active--
	}
}

func weightOf(r *policy.Request) float64 {
	if r.Weight > 0 {
		return r.Weight
	}
	return 1
}

// charge adds the cost of r, at most maxCharge times the mean, to its account and returns what was charged.
func (s *shares) charge(r *policy.Request, cost, maxCharge float64) float64 {
	g := s.group(r)
	a := g.account(r)
	g.floor = max(g.floor, a.used)
	cost = g.limit(cost, maxCharge)
	s.add(a, cost/weightOf(r))
	a.running++
	return cost
}

// settle replaces what was charged for r by cost.
func (s *shares) settle(r *policy.Request, cost, maxCharge float64) {
	g := s.group(r)
	a := g.account(r)
	a.running--
	if cost > 0 {
		const smoothing = 0.02
		if g.meanCost == 0 {
			g.meanCost = cost
		}
		g.meanCost += smoothing * (cost - g.meanCost)
	}
	s.add(a, (g.limit(cost, maxCharge)-r.Charged)/weightOf(r))
}

func (s *shares) add(a *shareAccount, cost float64) {
	a.used += cost
	if a.waiting > 0 && cost != 0 {
		s.changes++
	}
}

func (g *shareGroup) limit(cost, maxCharge float64) float64 {
	if g.meanCost == 0 {
		return cost
	}
	return min(cost, maxCharge*g.meanCost)
}

// wait estimates how long a new request of account a waits, from the time until all that wait would have left. Accounts take turns, so
// that as many requests of each other account come before it as of its own, and late ones come after those in time.
func (g *shareGroup) wait(a *shareAccount, late bool, all time.Duration) time.Duration {
	ahead := g.waiting
	if !late {
		ahead -= g.late
	}
	own, active := 0, g.active
	if a != nil {
		own = a.waiting
	}
	if own == 0 {
		active++
	}
	if ahead = min(ahead, active*(own+1)); g.waiting == 0 {
		return all // what waits has another priority
	}
	return time.Duration(float64(all) * float64(ahead) / float64(g.waiting))
}

// holdsTooMuch reports whether account a has more than its part of the first half of the queue, and that half is full. A burst of one
// account would otherwise leave no room for the others.
func (g *shareGroup) holdsTooMuch(a *shareAccount, q policy.QueueView) bool {
	return a != nil && 2*q.Len >= q.Capacity && 2*a.waiting*max(g.active, 1) >= q.Capacity
}
