// Package versions decides at which software version of a service's upstreams a resumable stream begins, and at which it goes
// on when a caller takes it up again.
//
// Events of two versions do not fit together, and upstreams do not check it. While upstreams of several versions serve, the
// version of a new stream follows from its identifier and a plan, which is the same at all entry VMs and kept in the store, so
// that it can be told again after all entry VMs have restarted. Beginnings are also remembered, and sent to the other entry VMs
// while a plan has more than one version.
//
// Invariants: a stream begins only by a plan that is stored; it goes on at a version only if its beginning is known, or all
// plans by which it may have begun agree; tables and queues are bounded.
package versions

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"bergamotcroft.example/bergamot/policy"
)

// Share is the part of a service's new streams that begin at a version.
type Share struct {
	Version string `json:"version"`
	Weight  int    `json:"weight"` // of shareUnits
}

// Plan holds the shares of a service's versions, sorted by version.
type Plan []Share

// shareUnits is the sum of the weights of a plan. Finer steps would change plans more often than they balance load.
const shareUnits = 16

// StreamID identifies a stream of a service.
type StreamID uint64

// NewStreamID returns the identifier of the stream whose first event came in an attempt of a caller.
func NewStreamID(service, attempt string) StreamID {
	return StreamID(xxhash.Sum64String(service + "\x00" + attempt))
}

// Pick returns the version at which a stream begins by weighted rendezvous hashing (Thaler and Ravishankar, 1998): a change of
// the weights moves only the streams that it has to. It returns "" for an empty plan.
func (p Plan) Pick(stream StreamID) (version string) {
	best := uint64(0)
	for _, s := range p {
		h := xxhash.Sum64String(s.Version)
		for i := range s.Weight {
			if x := policy.Mix64(uint64(stream) ^ policy.Mix64(h+uint64(i))); version == "" || x > best {
				version, best = s.Version, x
			}
		}
	}
	return version
}

// String returns the plan as it is logged, such as "v1:12,v2:4".
func (p Plan) String() string {
	var b strings.Builder
	for i, s := range p {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%s:%d", s.Version, s.Weight)
	}
	return b.String()
}

func (p Plan) weight(version string) int {
	for _, s := range p {
		if s.Version == version {
			return s.Weight
		}
	}
	return 0
}

// evenPlan returns the plan that shares the streams by the number of upstreams of each version. Each version has a share.
func evenPlan(serving map[string]int) Plan {
	total := 0
	for _, n := range serving {
		total += n
	}
	var p Plan
	for _, v := range slices.Sorted(maps.Keys(serving)) {
		if n := serving[v]; n > 0 {
			p = append(p, Share{v, max((n*shareUnits+total/2)/total, 1)})
		}
	}
	return p
}

// urgency tells how soon a plan has to change.
type urgency int

const (
	keep     urgency = iota // no change
	settling                // once the upstreams have not changed for a moment
	atOnce                  // streams have no version to begin at
)

const (
	// youngShare is the share of a version that has just come, while as many upstreams serve at others. Until the streams that
	// began before have ended, those that move to it can't be told from them after a restart of all entry VMs.
	youngShare = shareUnits / 4
	// replanDrift is the difference between a share and the part of the upstreams from which a plan is changed.
	replanDrift = shareUnits / 4
)

// next returns the plan that follows current, given the number of upstreams of each version that serve. young reports whether a
// version has joined the plan only recently.
//
// It answers the load of a release: upstreams of a new version come, then those of the old one leave, within seconds or hours.
func next(current Plan, serving map[string]int, young func(version string) bool) (Plan, urgency) {
	target := evenPlan(serving)
	if len(target) == 0 {
		return current, keep
	}
	if len(current) == 0 {
		return target, settling
	}
	joined := false
	youngServing, oldServing, youngWeight := 0, 0, 0
	for _, s := range target {
		joining := current.weight(s.Version) == 0
		joined = joined || joining
		if joining || young(s.Version) {
			youngServing += serving[s.Version]
			youngWeight += current.weight(s.Version)
		} else {
			oldServing += serving[s.Version]
		}
	}
	for _, s := range current {
		if serving[s.Version] == 0 {
			return target, atOnce
		}
	}
	if youngServing > 0 && oldServing >= youngServing {
		target = capYoung(target, max(youngWeight, youngShare), func(v string) bool { return current.weight(v) == 0 || young(v) })
	}
	if joined {
		return target, settling
	}
	for _, s := range target {
		if d := s.Weight - current.weight(s.Version); d >= replanDrift || -d >= replanDrift {
			return target, settling
		}
	}
	return current, keep
}

// capYoung returns a plan in which the young versions together have limit at most.
func capYoung(p Plan, limit int, young func(version string) bool) Plan {
	youngSum, oldSum := 0, 0
	for _, s := range p {
		if young(s.Version) {
			youngSum += s.Weight
		} else {
			oldSum += s.Weight
		}
	}
	if youngSum <= limit {
		return p
	}
	out := slices.Clone(p)
	for i, s := range out {
		if young(s.Version) {
			out[i].Weight = max(s.Weight*limit/youngSum, 1)
		} else {
			out[i].Weight = max(s.Weight*(shareUnits-limit)/oldSum, 1)
		}
	}
	return out
}
