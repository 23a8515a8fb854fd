package limits

import (
	"math"
	"time"

	"bergamotcroft.example/bergamot/peer/peerv1"
	"bergamotcroft.example/bergamot/topo"
)

// kind is a limited quantity.
type kind int

const (
	requests kind = iota
	tokens
	concurrent
	kindCount
)

// demand is the demand of an account on one VM: requests and tokens a second, and requests in flight. It includes refused
// requests, so that a share grows where it is needed.
type demand [kindCount]float32

// otherVM is the state that another VM has reported for an account.
type otherVM struct {
	name        string
	inHomeGroup bool // member of the home group
	demand      demand
	total       demand    // sum over the VMs known to it; reported by members of the home group
	reportedAt  time.Time // last report; zero: none, or none since a failed exchange
}

// account is the state of one caller on this VM, guarded by the lock of its shard.
type account struct {
	hash   uint64
	caller string // "" until this VM receives a request; demands of other VMs may arrive earlier
	limits topo.Limits

	inHomeGroup  bool   // this VM is in the home group
	groupSize    int    // size of the home group
	memberCount  int    // number of entry VMs
	groupVersion uint64 // Limiter.version for which the home group was computed; 0: none yet
	others       []otherVM

	share    [kindCount]float32 // fraction of the limits
	level    [2]float32         // fill of the request and token buckets; negative when a request used more than expected
	levelAt  time.Time
	inFlight int32

	requested    [2]float32 // requests and tokens since the last step
	peakInFlight int32      // most requests in flight since the last step
	demand       demand     // moving average
	lastUse      time.Time
}

// Parameters of the shares.
const (
	// idleDemandShare is the fraction of the limit that each VM of the home group adds to its demand, so that an idle VM
	// has a share for its first requests.
	idleDemandShare = 0.05
	// riseStep is the fraction of the distance to its target by which a share rises in a step; it falls at once. Otherwise
	// two VMs that see demand at the same time would both take the whole free part.
	riseStep = 0.5
	// demandWeight is the weight of the newest step in the moving average of the demand.
	demandWeight = 0.4
)

func limitOf(l topo.Limits, k kind) float32 {
	switch k {
	case requests:
		return float32(l.RequestsPerSecond)
	case tokens:
		return float32(l.TokensPerSecond)
	default:
		return float32(l.Concurrent)
	}
}

// fixedShare returns the share that this VM may use without reports of others: an equal part among the home group for its
// members, and an equal part among all VMs for other VMs. The sum over all VMs is at most twice the limit.
func (a *account) fixedShare() float32 {
	if a.inHomeGroup || a.memberCount <= a.groupSize {
		return 1 / float32(max(a.groupSize, 1))
	}
	return 1 / float32(max(a.memberCount, 1))
}

// reported sums up the reports of other VMs: their demand, the largest total that a member of the home group has reported,
// the number of other members without a recent report (silent), and the number of other members (home).
func (a *account) reported(k kind, now time.Time) (others, total float32, silent, home int) {
	for i := range a.others {
		o := &a.others[i]
		fresh := now.Sub(o.reportedAt) <= silentAfter
		if o.inHomeGroup {
			home++
		}
		switch {
		case !fresh && o.inHomeGroup:
			silent++
		case fresh && o.inHomeGroup:
			others += o.demand[k] + a.idleDemand(k)
			total = max(total, o.total[k])
		case fresh:
			others += o.demand[k]
		}
	}
	return others, total, silent, home
}

func (a *account) idleDemand(k kind) float32 { return idleDemandShare * max(limitOf(a.limits, k), 1) }

// targetShare returns this VM's share by demand of the part that is not reserved for silent members of the home group.
func (a *account) targetShare(k kind, now time.Time) float32 {
	others, total, silent, home := a.reported(k, now)
	own := a.demand[k]
	if a.inHomeGroup {
		own += a.idleDemand(k)
	} else {
		others = max(others, total-own)
	}
	if silent == home && home > 0 || own <= 0 {
		return a.fixedShare()
	}
	free := 1 - float32(silent)/float32(a.groupSize)
	return free * own / (others + own)
}

// setShares moves the shares towards their targets.
func (a *account) setShares(now time.Time) {
	for k := range kindCount {
		target := a.targetShare(k, now)
		if target > a.share[k] {
			target = a.share[k] + (target-a.share[k])*riseStep
		}
		a.share[k] = target
	}
}

// step updates the moving averages with the counts of an interval and resets the counts.
func (a *account) step(interval time.Duration) {
	seconds := float32(interval.Seconds())
	current := demand{a.requested[requests] / seconds, a.requested[tokens] / seconds, float32(max(a.peakInFlight, a.inFlight))}
	for k := range kindCount {
		a.demand[k] += (current[k] - a.demand[k]) * demandWeight
		if a.demand[k] < 1e-3 {
			a.demand[k] = 0
		}
	}
	a.requested, a.peakInFlight = [2]float32{}, a.inFlight
}

// fallBack limits the shares to the fixed share until other VMs report again, and removes the accumulated fill of the
// buckets.
func (a *account) fallBack() {
	for i := range a.others {
		a.others[i].reportedAt = time.Time{}
	}
	for k := range kindCount {
		a.share[k] = min(a.share[k], a.fixedShare())
	}
	a.level[requests] = min(a.level[requests], 1)
	a.level[tokens] = min(a.level[tokens], 0)
}

// burst returns the capacity of a bucket: the amount of one second, but at least 1.
func (a *account) burst(k kind) float32 {
	return max(limitOf(a.limits, k)*a.share[k], 1)
}

func (a *account) refill(now time.Time) {
	seconds := float32(now.Sub(a.levelAt).Seconds())
	a.levelAt = now
	if seconds <= 0 {
		return
	}
	for k := range a.level {
		rate := limitOf(a.limits, kind(k)) * a.share[k]
		a.level[k] = min(a.level[k]+rate*seconds, a.burst(kind(k)))
	}
}

// maxInFlight returns the number of requests that this VM may have in flight, rounded to the nearest integer. A VM of the
// home group may always run one if the limit is at least one for each member.
func (a *account) maxInFlight() int32 {
	n := int32(math.Round(float64(a.limits.Concurrent) * float64(a.share[concurrent])))
	if n < 1 && a.inHomeGroup && a.limits.Concurrent >= a.groupSize {
		return 1
	}
	return n
}

// needsExchange reports whether the demand is above exchangeThreshold of the fixed share or the current share, whichever is
// less. Most accounts are below it and need no exchange, since the fixed shares of the home group add up to the limit.
func (a *account) needsExchange() bool {
	for k := range kindCount {
		limit := limitOf(a.limits, k)
		if limit > 0 && a.demand[k] > exchangeThreshold*limit*min(a.share[k], a.fixedShare()) {
			return true
		}
	}
	return false
}

// demandMessage returns the demand on this VM, and the total known to it if it is a member of the home group.
func (a *account) demandMessage(now time.Time) *peerv1.Demand {
	d := &peerv1.Demand{Account: a.hash, Requests: a.demand[requests], Tokens: a.demand[tokens], Concurrent: a.demand[concurrent]}
	if !a.inHomeGroup {
		return d
	}
	var total demand
	for k := range kindCount {
		others, _, _, _ := a.reported(k, now)
		total[k] = others + a.demand[k] + a.idleDemand(k)
	}
	d.TotalRequests, d.TotalTokens, d.TotalConcurrent = total[requests], total[tokens], total[concurrent]
	return d
}

// recordDemand records the demand that another VM has reported. It keeps the home group and a bounded number of other VMs.
func (a *account) recordDemand(name string, d *peerv1.Demand, now time.Time) {
	got := demand{sanitise(d.GetRequests()), sanitise(d.GetTokens()), sanitise(d.GetConcurrent())}
	total := demand{sanitise(d.GetTotalRequests()), sanitise(d.GetTotalTokens()), sanitise(d.GetTotalConcurrent())}
	for i := range a.others {
		if a.others[i].name == name {
			a.others[i].demand, a.others[i].total, a.others[i].reportedAt = got, total, now
			return
		}
	}
	if len(a.others) < maxOthers {
		a.others = append(a.others, otherVM{name: name, demand: got, total: total, reportedAt: now})
	}
}

// sanitise replaces negative values, NaN and infinity by 0, since they would spoil every sum.
func sanitise(v float32) float32 {
	if !(v >= 0) || math.IsInf(float64(v), 0) {
		return 0
	}
	return v
}

// setGroup sets the home group. It keeps the reports of its members and the recent reports of other VMs.
func (a *account) setGroup(self string, group []string, memberCount int, now time.Time) {
	old := a.others
	a.inHomeGroup, a.groupSize, a.memberCount = false, len(group), memberCount
	a.others = make([]otherVM, 0, len(group))
	for _, name := range group {
		if name == self {
			a.inHomeGroup = true
			continue
		}
		o := otherVM{name: name, inHomeGroup: true}
		for i := range old {
			if old[i].name == name {
				o.demand, o.total, o.reportedAt = old[i].demand, old[i].total, old[i].reportedAt
				old[i].name = ""
			}
		}
		a.others = append(a.others, o)
	}
	for _, o := range old {
		if o.name != "" && now.Sub(o.reportedAt) <= silentAfter && len(a.others) < maxOthers {
			o.inHomeGroup = false
			a.others = append(a.others, o)
		}
	}
}
