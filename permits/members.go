package permits

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotcroft.example/bergamot/membership"
	"bergamotcroft.example/bergamot/policy"
)

// memberView is a copy of the member list with what the choice of allocators needs.
type memberView struct {
	port      string // of the exchange
	eligible  []memberInfo
	uncertain []memberInfo // unreachable for this VM, maybe not for others
	known     int          // members that may ask
	selfHash  uint64
	refreshed time.Time
	// chosen holds the allocators found since the last refresh, by upstream.
	chosen map[uint64]memberInfo
}

type memberInfo struct {
	address string
	hash    uint64 // of the name
	self    bool
	// outranked is set for an allocator if others would choose a VM that this one can't reach.
	outranked bool
}

// refresh reads the member list again if the copy is older than membersInterval.
func (v *memberView) refresh(now time.Time, l membership.List) {
	if !v.refreshed.IsZero() && now.Sub(v.refreshed) < membersInterval {
		return
	}
	v.refreshed = now
	self := l.Self()
	v.eligible, v.uncertain, v.known, v.selfHash, v.chosen = v.eligible[:0], v.uncertain[:0], 0, xxhash.Sum64String(self.Name), map[uint64]memberInfo{}
	for _, m := range l.Members() {
		if m.State == membership.Gone {
			continue
		}
		v.known++
		host, _, ok := strings.Cut(m.Address, ":")
		if !ok || m.State == membership.Leaving {
			continue
		}
		info := memberInfo{address: host + ":" + v.port, hash: xxhash.Sum64String(m.Name), self: m.Name == self.Name}
		if info.self || m.State == membership.Alive && !m.Suspect {
			v.eligible = append(v.eligible, info)
		} else {
			v.uncertain = append(v.uncertain, info)
		}
	}
}

// allocator returns the VM that grants the permits of an upstream: this one if no member is eligible.
func (v *memberView) allocator(upstream uint64) memberInfo {
	if m, ok := v.chosen[upstream]; ok {
		return m
	}
	best := memberInfo{self: true}
	most := uint64(0)
	for _, m := range v.eligible {
		if h := m.rank(upstream); h >= most {
			best, most = m, h
		}
	}
	best.outranked = slices.ContainsFunc(v.uncertain, func(m memberInfo) bool { return m.rank(upstream) > most })
	v.chosen[upstream] = best
	return best
}

func (m *memberInfo) rank(upstream uint64) uint64 { return policy.Mix64(m.hash ^ upstream) }

func (v *memberView) isEligible(address string) bool {
	return slices.ContainsFunc(v.eligible, func(m memberInfo) bool { return m.address == address })
}

// askInterval returns the shortest time between two asks for an upstream.
func (v *memberView) askInterval() time.Duration {
	return max(minAskInterval, time.Duration(v.known)*askIntervalPerVM)
}

// refreshInterval returns the time between two asks with the same demand.
func (v *memberView) refreshInterval() time.Duration {
	return max(refreshInterval, refreshAsks*v.askInterval())
}

// askLifetime returns the time for which an ask holds.
func (v *memberView) askLifetime() time.Duration {
	return max(askLifetime, lifetimeAsks*v.askInterval())
}
