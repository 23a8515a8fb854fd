package loads

import (
	"slices"
	"strconv"
	"time"

	"bergamotcroft.example/bergamot/membership"
	"bergamotcroft.example/bergamot/quarantine"
	"bergamotcroft.example/bergamot/versions"
)

// In a large fleet each entry VM sends its loads to those of its own data centre. One VM of each data centre, its relay,
// sums the loads that it receives there and sends the sum to the relays of the others, which forward it to their VMs.
// The traffic between data centres then grows with the number of data centres only.

const (
	// relayInterval is the shortest time between two sums of a data centre. It is short because a part placed in one
	// data centre is soon requested in another.
	relayInterval = 20 * time.Millisecond
	// relayChoiceInterval is the time between two choices of the relays. The membership takes longer to suspect a VM.
	relayChoiceInterval = 500 * time.Millisecond
	// fullRateFleet is the number of entry VMs up to which sums are sent every relayInterval. Larger fleets send them
	// less often, so that the traffic of a relay grows with its data centre only.
	fullRateFleet = 100
	// maxRelayedPlacements and maxRelayedLoads fit into one datagram; a sum is sent in as many parts as it needs.
	maxRelayedPlacements = 16
	maxRelayedLoads      = 100
	maxRelayedParts      = 64
	// maxDataCentreBytes bounds the name of a data centre in a message.
	maxDataCentreBytes = 64
)

// relayState is the state of a relay. The lock of the Exchange guards active and the queues.
type relayState struct {
	active      bool // this VM is the relay of its data centre
	placements  []placement
	gone        notices[uint32]
	crashes     notices[Crash]
	starts      notices[versions.Start]
	limits      limitQueue
	partNotices notices[quarantine.PartNotice]

	relays         map[string]membership.Member // the relay of each data centre
	relaysChosenAt time.Time
	seq            uint64
	sentAt         time.Time
	lastSum        []load
}

// chooseRelays returns the relay of each data centre, or nil for a fleet in which each VM sends to all others.
func chooseRelays(all []membership.Member, self string) map[string]membership.Member {
	if len(all) <= maxFullMesh {
		return nil
	}
	out := map[string]membership.Member{}
	for dc, members := range membership.StrongestByDataCentre(all, self, 1) {
		out[dc] = members[0]
	}
	return out
}

// queueForRelay queues placements of this data centre for the next sum, if this VM is the relay. The lock is held.
func (x *Exchange) queueForRelay(placements ...placement) {
	if room := maxPending - len(x.relaying.placements); x.relaying.active && room > 0 {
		x.relaying.placements = append(x.relaying.placements, placements[:min(len(placements), room)]...)
	}
}

// sendSum sends the sum of this data centre to the relays of the others, if this VM is its relay.
func (x *Exchange) sendSum(now time.Time, own []load) {
	self := x.opts.List.Self()
	if now.Sub(x.relaying.relaysChosenAt) > relayChoiceInterval {
		x.relaying.relays, x.relaying.relaysChosenAt = chooseRelays(x.opts.List.Members(), self.Name), now
	}
	all := x.relaying.relays
	active := all[self.DataCentre].Name == self.Name && len(all) > 1
	x.mu.Lock()
	x.relaying.active = active
	if !active {
		x.relaying.placements, x.relaying.gone, x.relaying.crashes, x.relaying.limits = nil, nil, nil, nil
		x.relaying.partNotices, x.relaying.starts = nil, nil
		x.mu.Unlock()
		return
	}
	members := len(x.opts.List.Members())
	if now.Sub(x.relaying.sentAt) < relayInterval*time.Duration(max(fullRateFleet, members))/fullRateFleet {
		x.mu.Unlock()
		return
	}
	sum := map[uint32]load{}
	addLoads(sum, own)
	for _, p := range x.peers {
		if p.dataCentre == "" {
			addLoads(sum, p.loads)
		}
	}
	loads := sortedLoads(sum)
	parts := min(max((len(loads)+maxRelayedLoads-1)/maxRelayedLoads, 1), maxRelayedParts)
	placements := x.relaying.placements
	placements = placements[:min(len(placements), maxRelayedPlacements*parts)]
	gone, crashes := x.relaying.gone.take(maxGone), x.relaying.crashes.take(maxCrashes)
	limits, partNotices := x.relaying.limits.take(now), x.relaying.partNotices.take(maxPartNotices)
	starts := x.relaying.starts.take(maxStarts)
	if len(placements)+len(gone)+len(crashes)+len(limits)+len(partNotices)+len(starts) == 0 && slices.Equal(loads, x.relaying.lastSum) && now.Sub(x.relaying.sentAt) < refreshInterval {
		x.mu.Unlock()
		return
	}
	x.relaying.placements = x.relaying.placements[len(placements):]
	x.relaying.sentAt, x.relaying.lastSum = now, loads
	x.mu.Unlock()

	var to []string
	for dc, r := range all {
		if address, ok := x.addressOf(&r); ok && dc != self.DataCentre {
			to = append(to, address)
		}
	}
	for part := range parts {
		x.relaying.seq++
		m := message{boot: x.opts.Boot, seq: x.relaying.seq, dataCentre: self.DataCentre, part: uint64(part), parts: uint64(parts), plansRevision: x.plansRevision()}
		for _, l := range loads {
			if int(l.upstream)%parts == part {
				m.loads = append(m.loads, l)
			}
		}
		n := min(len(placements), maxRelayedPlacements)
		m.placements, placements = placements[:n], placements[n:]
		m.gone, gone = gone, nil // only in the first part
		m.crashes, crashes = crashes, nil
		m.limits, limits = limits, nil
		m.partNotices, partNotices = partNotices, nil
		m.starts, starts = starts, nil
		x.sendMessage(to, m)
	}
}

// handleRelayed merges the sum of another data centre. If this VM is the relay of its data centre, it also forwards the
// sum there, unless a VM of its data centre sent it.
func (x *Exchange) handleRelayed(now time.Time, from string, m message) {
	self := x.opts.List.Self()
	if m.dataCentre == self.DataCentre {
		return
	}
	x.mu.Lock()
	key := sumKey(m.dataCentre, m.part)
	old := x.peers[key]
	if old != nil && m.boot == old.boot && m.seq <= old.seq {
		x.mu.Unlock()
		return
	}
	x.replacePeer(key, &peerState{boot: m.boot, seq: m.seq, receivedAt: now, loads: m.loads, dataCentre: m.dataCentre, parts: m.parts})
	if old == nil || old.parts != m.parts {
		x.dropOtherParts(m.dataCentre, m.parts)
	}
	x.queueForScheduler(&m)
	active, gone := x.relaying.active, len(x.receivedGone) > 0
	x.mu.Unlock()
	if gone {
		x.TriggerRound()
	}
	x.reportStarts(&m)
	x.reportCrashes(&m)
	x.reportPartNotices(&m)
	x.reportLimits(now, &m)
	if !active {
		return
	}
	to := x.recipients()
	if slices.Contains(to, from) {
		return // already forwarded by a VM of this data centre
	}
	x.sendMessage(to, m)
}

// dropOtherParts removes the parts of a sum that was sent in a different number of parts. The lock is held.
func (x *Exchange) dropOtherParts(dataCentre string, parts uint64) {
	for part := range uint64(maxRelayedParts) {
		if p := x.peers[sumKey(dataCentre, part)]; p != nil && p.parts != parts {
			x.replacePeer(sumKey(dataCentre, part), nil)
		}
	}
}

// sumKey returns the key in peers of one part of a sum.
func sumKey(dataCentre string, part uint64) string {
	return "sum " + dataCentre + " " + strconv.FormatUint(part, 10)
}

func addLoads(sum map[uint32]load, loads []load) {
	for _, l := range loads {
		s := sum[l.upstream]
		sum[l.upstream] = load{l.upstream, s.running + l.running, s.promptTokens + l.promptTokens}
	}
}
