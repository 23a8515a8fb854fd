package loads

import (
	"time"

	"bergamotcroft.example/bergamot/membership"
)

// In a large fleet each entry VM tells those of its own data centre. One VM of each data centre, its relay, sums what it hears there and sends
// the sum to the relays of the others, which pass it on. The traffic between data centres then grows with their number only.

const (
	// relayEvery lies between two sums of a data centre: what the others know of it is little older than their own reports of work that ended.
	relayEvery = 100 * time.Millisecond
	// chooseEvery lies between two looks at the members; a suspicion takes longer to arise.
	chooseEvery = 500 * time.Millisecond
	// maxRelayed placements and the loads of a hundred upstreams fit into one datagram.
	maxRelayed = 16
	// maxCentre bounds the name of a data centre in a message, in bytes.
	maxCentre = 64
)

// relaying is the state of a relay. The exchange's lock guards pending and active.
type relaying struct {
	active  bool // this VM is the relay of its data centre
	pending []placement

	chosen   map[string]membership.Member // the relay of each data centre
	chosenAt time.Time
	seq      uint64
	sentAt   time.Time
	last     []load
}

// relays returns the relay of each data centre, or nil for a fleet in which each VM tells all others.
func relays(all []membership.Member, self string) map[string]membership.Member {
	if len(all) <= allPeers {
		return nil
	}
	out := map[string]membership.Member{}
	for dc, members := range membership.Strongest(all, self, 1) {
		out[dc] = members[0]
	}
	return out
}

// note keeps placements of the own data centre for the next sum. The lock is held.
func (x *Exchange) noteForRelay(places ...placement) {
	if room := maxPending - len(x.relaying.pending); x.relaying.active && room > 0 {
		x.relaying.pending = append(x.relaying.pending, places[:min(len(places), room)]...)
	}
}

// relay sends the sum of this data centre to the relays of the others, if this VM is its relay.
func (x *Exchange) relay(now time.Time, own []load) {
	self := x.opts.List.Self()
	if now.Sub(x.relaying.chosenAt) > chooseEvery {
		x.relaying.chosen, x.relaying.chosenAt = relays(x.opts.List.Members(), self.Name), now
	}
	all := x.relaying.chosen
	active := all[self.DataCentre].Name == self.Name && len(all) > 1
	x.mu.Lock()
	x.relaying.active = active
	if !active {
		x.relaying.pending = nil
		x.mu.Unlock()
		return
	}
	if now.Sub(x.relaying.sentAt) < relayEvery {
		x.mu.Unlock()
		return
	}
	places := x.relaying.pending
	places = places[:min(len(places), maxRelayed)]
	sum := map[uint32]load{}
	add(sum, own)
	for _, p := range x.peers {
		if p.centre == "" {
			add(sum, p.loads)
		}
	}
	x.mu.Unlock()

	m := message{boot: x.opts.Boot, seq: x.relaying.seq + 1, centre: self.DataCentre, loads: listed(sum), places: places}
	if len(places) == 0 && same(m.loads, x.relaying.last) && now.Sub(x.relaying.sentAt) < refresh {
		return
	}
	x.relaying.seq, x.relaying.sentAt, x.relaying.last = m.seq, now, m.loads
	x.mu.Lock()
	x.relaying.pending = x.relaying.pending[len(places):]
	x.mu.Unlock()
	var to []string
	for dc, r := range all {
		if host, ok := hostOf(r.Address); ok && dc != self.DataCentre {
			to = append(to, host+":"+x.opts.Port)
		}
	}
	x.tell(to, m)
}

// hearRelayed takes the sum of another data centre, and passes it on if it came from there and this VM is the relay of its own.
func (x *Exchange) hearRelayed(now time.Time, from string, m message) {
	self := x.opts.List.Self()
	if m.centre == self.DataCentre {
		return
	}
	x.mu.Lock()
	key := "centre " + m.centre
	if p := x.peers[key]; p != nil && m.boot == p.boot && m.seq <= p.seq {
		x.mu.Unlock()
		return
	}
	x.peers[key] = &heard{boot: m.boot, seq: m.seq, at: now, loads: m.loads, centre: m.centre}
	x.takePlaces(m.places)
	active := x.relaying.active
	x.mu.Unlock()
	x.Changed()
	if !active {
		return
	}
	to := x.targets()
	for _, address := range to {
		if address == from {
			return // it was passed on already
		}
	}
	x.tell(to, m)
}

// add adds loads to a sum.
func add(sum map[uint32]load, loads []load) {
	for _, l := range loads {
		s := sum[l.upstream]
		sum[l.upstream] = load{l.upstream, s.running + l.running, s.prompt + l.prompt}
	}
}
