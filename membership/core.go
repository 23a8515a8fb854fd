package membership

import (
	"cmp"
	"math"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"bergamotcroft.example/bergamot/peer/peerv1"
)

// Times of the protocol.
const (
	Period       = time.Second            // between probes
	probeTimeout = 500 * time.Millisecond // a round trip between regions stays below it
	// gossipInterval applies while events or urgent updates are queued, so that they reach all VMs within about two seconds.
	gossipInterval = 200 * time.Millisecond
	indirectProbes = 3
	gossipFanout   = 3

	goneAfter        = 10 * time.Minute // if the platform's list lacks the member
	goneWithoutList  = 2 * time.Hour    // if no list has been read since; outages of the store last long
	forgetGoneAfter  = 30 * time.Minute // longer than the interval of table exchanges, so that no old record returns
	isolationTimeout = 3 * Period       // without a datagram; a VM in a fleet receives one in each period
	notifyInterval   = Period           // between messages that send an unhealthy member its own record
	rumourFactor     = 2                // sends of a rumour, as a multiple of log2 of the fleet
	// urgentRounds of gossip send an urgent update to nine members. The few VMs that all rounds miss receive it with
	// the next heartbeats.
	urgentRounds = 3
)

// Bounds of what a VM holds and sends.
const (
	maxMembers      = 16384
	maxEvents       = 256
	maxDatagram     = 1200 // below the smallest usual path MTU
	updateBudget    = 500  // bytes of updates in a heartbeat
	gossipBudget    = 900  // bytes of updates in urgent gossip
	maxRevisions    = 16   // revision marks in a datagram
	markSends       = 6    // of one mark by each VM; the member's own heartbeats make up for a lost one
	eventOverhead   = 48
	maxNameBytes    = 64
	maxKindBytes    = 32
	maxQueuedEvents = 1024 // events queued for their receivers
	relaysInFlight  = 64
)

// core is the protocol without I/O, clock or goroutines. Its owner calls tick often and passes datagrams to receive.
// core returns its results through the functions send, changed and deliver.
type core struct {
	rng   *rand.Rand
	self  *entry
	table map[string]*entry
	names []string // keys of table, sorted: a map's order would make runs with the same seed differ
	ring  []*entry // the members by hash, which scatters those of a data centre

	send    func(address string, datagram []byte)
	changed func(Member)
	deliver func(Event)

	order []string // members in random order, as of the last shuffle
	next  int      // periods since then

	sequence uint32
	probe    probe
	relays   map[uint32]relayedProbe

	nextPeriod, nextGossip time.Time
	lastTick, lastReceived time.Time
	currentFrom            time.Time // after a start or a pause: when the table counts as current
	requestExchange        func()    // requests a table exchange at once

	updates         *rumours[string] // names of members whose record changed
	events          *rumours[*peerv1.AppEvent]
	marks           *rumours[string] // names of members whose revision changed
	eventSeq        uint64
	newestRevision  uint64 // configuration revision
	urgentLeft      int    // gossip rounds left for an urgent update
	listedAt        time.Time
	listed          map[string]bool
	byHash          map[uint32]string
	wasDeclaredGone func() // called when another VM had declared this one gone
	dropped         uint64
	unreadable      uint64
}

type probe struct {
	name     string
	sequence uint32
	sent     time.Time
	indirect bool
	acked    bool
}

type relayedProbe struct {
	address  string
	sequence uint32
	target   string
	sent     time.Time
}

func newCore(self Member, seed uint64) *core {
	c := &core{
		rng: rand.New(rand.NewPCG(seed, 0)), table: map[string]*entry{}, relays: map[uint32]relayedProbe{},
		updates: newRumours[string](maxMembers), events: newRumours[*peerv1.AppEvent](maxEvents), marks: newRumours[string](maxMembers),
		byHash: map[uint32]string{}, newestRevision: self.ConfigRevision,
		requestExchange: func() {}, send: func(string, []byte) {}, changed: func(Member) {}, deliver: func(Event) {}, wasDeclaredGone: func() {},
	}
	self.Boot = self.Incarnation
	c.self = &entry{m: self, hash: memberHash(self.Name)}
	c.table[self.Name] = c.self
	c.names = []string{self.Name}
	c.ring = []*entry{c.self}
	c.byHash[c.self.hash] = self.Name
	c.updates.put(self.Name, self.Name)
	return c
}

// rumourSends is the number of times that each VM sends a rumour: enough to reach all with high probability, by the
// usual bound of a multiple of the logarithm of the fleet.
func (c *core) rumourSends() int { return rumourFactor * bits.Len(uint(len(c.table))) }

// suspicionTimeout is the time that a suspect has to refute. Suspicion and refutation each need a number of periods
// that grows with the logarithm of the fleet.
func (c *core) suspicionTimeout() time.Duration {
	return time.Duration(4 * math.Log10(float64(len(c.table)+1)) * float64(Period))
}

// tick runs the timers. Its owner calls it several times in a period.
func (c *core) tick(now time.Time) {
	if gap := now.Sub(c.lastTick); !c.lastTick.IsZero() && gap > Period {
		c.resumeAfterPause(now, gap)
	}
	c.lastTick = now
	if c.lastReceived.IsZero() {
		c.lastReceived = now
	}
	if c.probe.name != "" && !c.probe.acked && !c.probe.indirect && now.Sub(c.probe.sent) >= probeTimeout {
		c.probeIndirectly()
	}
	if !now.Before(c.nextPeriod) {
		c.endProbe(now)
		c.expire(now)
		c.startProbe(now)
		c.nextPeriod = now.Add(Period)
	}
	if !now.Before(c.nextGossip) && (c.events.len() > 0 || c.urgentLeft > 0) {
		c.urgentLeft = max(c.urgentLeft-1, 0)
		c.gossip()
		c.nextGossip = now.Add(gossipInterval)
	}
}

// resumeAfterPause resets the timers that ran out while the process was paused: the silence of that time is no
// evidence of failed members.
func (c *core) resumeAfterPause(now time.Time, gap time.Duration) {
	c.probe = probe{}
	clear(c.relays)
	c.lastReceived = now
	c.awaitExchange(now)
	for _, e := range c.table {
		if e.health == suspect || e.health == uncertain {
			e.since = e.since.Add(gap)
		}
	}
}

// maxExchangeWait bounds the wait for a table exchange after a pause. A VM that is partitioned must go on with the
// table that it has.
const maxExchangeWait = 3 * Period

// awaitExchange marks the table as out of date until it has been compared with that of another VM.
func (c *core) awaitExchange(now time.Time) {
	c.currentFrom = now.Add(maxExchangeWait)
	c.requestExchange()
}

// isCurrent reports whether the table is recent enough for uses that must not lag. A pause makes it out of date even
// before the first tick after it.
func (c *core) isCurrent(now time.Time) bool {
	return !now.Before(c.currentFrom) && (c.lastTick.IsZero() || now.Sub(c.lastTick) <= Period)
}

// startProbe pings one member. All VMs walk through the ring at the same pace, each from its own place on, so that in each period every
// member is probed by another VM, as far as their tables and clocks agree.
func (c *core) startProbe(now time.Time) {
	c.probe = probe{}
	if c.next++; c.next >= len(c.order) {
		c.shuffle() // for pickRandom, as members come and go
	}
	others := len(c.ring) - 1
	self, _ := c.ringPosition(c.self)
	first := int(now.UnixNano() / int64(Period) % int64(max(others, 1)))
	for i := range others {
		e := c.ring[(self+1+(first+i)%others)%len(c.ring)]
		if e.health == gone {
			continue
		}
		c.sequence++
		c.probe = probe{name: e.m.Name, sequence: c.sequence, sent: now}
		c.sendTo(e.m.Address, e, &peerv1.Heartbeat{Kind: peerv1.Heartbeat_KIND_PING, Sequence: c.sequence, Target: e.m.Name})
		return
	}
}

// ringPosition returns the place of a member in the ring, or the one where it belongs.
func (c *core) ringPosition(e *entry) (int, bool) {
	return slices.BinarySearchFunc(c.ring, e, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.m.Name, b.m.Name))
	})
}

func (c *core) shuffle() {
	c.order, c.next = append(c.order[:0], c.names...), 0
	c.rng.Shuffle(len(c.order), func(i, j int) { c.order[i], c.order[j] = c.order[j], c.order[i] })
}

// probeIndirectly asks other members to ping the target, unless it is uncertain already.
func (c *core) probeIndirectly() {
	c.probe.indirect = true
	e := c.table[c.probe.name]
	if e == nil || e.health >= uncertain {
		return
	}
	for _, via := range c.pickRandom(indirectProbes, e.m.Name) {
		c.sendTo(via.m.Address, via, &peerv1.Heartbeat{Kind: peerv1.Heartbeat_KIND_INDIRECT, Sequence: c.probe.sequence,
			Target: e.m.Name, TargetAddress: e.m.Address})
	}
}

func (c *core) endProbe(now time.Time) {
	e := c.table[c.probe.name]
	if e == nil || c.probe.acked || e.health != healthy {
		return
	}
	u := e.update(false)
	u.Health = suspect
	c.mergeUpdate(now, u, true)
}

// pickRandom returns up to n random reachable members other than the one named without.
func (c *core) pickRandom(n int, without string) []*entry {
	var out []*entry
	for try := 0; try < 4*n && len(out) < n && len(c.order) > 0; try++ {
		e := c.table[c.order[c.rng.IntN(len(c.order))]]
		if e == nil || e == c.self || e.m.Name == without || e.health >= uncertain || containsEntry(out, e) {
			continue
		}
		out = append(out, e)
	}
	return out
}

func containsEntry(es []*entry, e *entry) bool {
	for _, x := range es {
		if x == e {
			return true
		}
	}
	return false
}

func (c *core) gossip() {
	if len(c.order) == 0 {
		c.shuffle()
	}
	for _, e := range c.pickRandom(gossipFanout, "") {
		c.sendTo(e.m.Address, e, &peerv1.Heartbeat{Kind: peerv1.Heartbeat_KIND_GOSSIP})
	}
}

// expire turns suspects uncertain after their timeout, and members gone that have been uncertain for long.
func (c *core) expire(now time.Time) {
	var forget []string
	for _, name := range c.names {
		e := c.table[name]
		silent := now.Sub(e.since)
		switch {
		case e == c.self:
		case e.health == suspect && silent >= c.suspicionTimeout():
			c.setHealth(now, e, uncertain)
		case e.health == uncertain && c.isGone(e, silent):
			c.setHealth(now, e, gone)
		case e.health == gone && silent >= forgetGoneAfter:
			forget = append(forget, name)
		}
	}
	for _, name := range forget {
		c.remove(name)
	}
	for s, r := range c.relays {
		if now.Sub(r.sent) > Period {
			delete(c.relays, s)
		}
	}
}

func (c *core) remove(name string) {
	i, _ := c.ringPosition(c.table[name])
	c.ring = slices.Delete(c.ring, i, i+1)
	delete(c.byHash, c.table[name].hash)
	delete(c.table, name)
	i, _ = slices.BinarySearch(c.names, name)
	c.names = slices.Delete(c.names, i, i+1)
}

func (c *core) isGone(e *entry, silent time.Duration) bool {
	if c.listedAt.After(e.since) {
		return silent >= goneAfter && !c.listed[e.m.Name]
	}
	return silent >= goneWithoutList
}

func (c *core) setHealth(now time.Time, e *entry, h peerv1.Update_Health) {
	u := e.update(false)
	u.Health = h
	c.mergeUpdate(now, u, true)
}

// setListed records the platform's list of entry VMs.
func (c *core) setListed(now time.Time, names map[string]bool) { c.listedAt, c.listed = now, names }

// reachable counts the members that this VM can reach, and all that are not gone. A VM that has received nothing for
// some periods can reach only itself, whatever its table holds.
func (c *core) reachable(now time.Time) (reachable, known int) {
	for _, e := range c.table {
		if e.health == gone {
			continue
		}
		known++
		if e.health != uncertain {
			reachable++
		}
	}
	if known > 1 && now.Sub(c.lastReceived) > isolationTimeout {
		reachable = 1
	}
	return reachable, known
}

// leave marks this VM as leaving.
func (c *core) leave(now time.Time) {
	if c.self.leaving {
		return
	}
	c.self.leaving = true
	c.announceSelf(now)
}

// announceGone sends the record that this VM is gone to some members.
func (c *core) announceGone(now time.Time) {
	c.self.health = gone
	c.announceSelf(now)
	c.gossip()
	c.gossip()
}

// announceSelf raises the incarnation and spreads the record of this VM.
func (c *core) announceSelf(now time.Time) {
	c.self.m.Incarnation++
	c.self.since = now
	c.urgentLeft = urgentRounds
	c.updates.put(c.self.m.Name, c.self.m.Name)
	c.changed(c.self.member())
}

// setRevision records the configuration in force on this VM.
func (c *core) setRevision(now time.Time, revision uint64) {
	if revision <= c.self.m.ConfigRevision {
		return
	}
	c.self.m.ConfigRevision = revision
	c.marks.put(c.self.m.Name, c.self.m.Name)
	c.recordNewestRevision(now, revision)
}

func (c *core) recordNewestRevision(now time.Time, revision uint64) {
	if revision <= c.newestRevision {
		return
	}
	c.newestRevision = revision
	c.urgentLeft = urgentRounds
}

// sendTo adds rumours to the heartbeat and sends it. The record of the receiver goes first, so that it can refute it.
func (c *core) sendTo(address string, to *entry, h *peerv1.Heartbeat) {
	h.From, h.Revision, h.NewestRevision = c.self.m.Name, c.self.m.ConfigRevision, c.newestRevision
	size := proto.Size(h)
	if to != nil && to.health != healthy {
		h.Updates = append(h.Updates, to.update(false))
	}
	room := updateBudget
	if h.GetKind() == peerv1.Heartbeat_KIND_GOSSIP {
		room = gossipBudget
	}
	c.updates.take(c.rumourSends(), func(name string) bool {
		e := c.table[name]
		if e == nil {
			return true
		}
		// Only a healthy record carries the addresses; later changes need only the member's name.
		u := e.update(e.health == healthy)
		if n := proto.Size(u) + 3; n <= room {
			room, size = room-n, size+n
			h.Updates = append(h.Updates, u)
			return true
		}
		return false
	})
	c.events.take(c.rumourSends(), func(ev *peerv1.AppEvent) bool {
		n := proto.Size(ev) + 3
		if size+n > maxDatagram-eventOverhead-maxNameBytes {
			return false
		}
		size += n
		h.Events = append(h.Events, ev)
		return true
	})
	c.addMarks(h)
	b, err := proto.Marshal(h)
	if err != nil {
		c.dropped++
		return
	}
	c.send(address, b)
}

// addMarks adds the revisions in force on members. Nearly all marks are of the newest revision and take four bytes.
func (c *core) addMarks(h *peerv1.Heartbeat) {
	c.marks.take(markSends, func(name string) bool {
		if len(h.Revisions)+len(h.Current) >= maxRevisions {
			return false
		}
		e := c.table[name]
		switch {
		case e == nil:
		case e.m.ConfigRevision == h.NewestRevision:
			h.Current = append(h.Current, e.hash)
		default:
			h.Revisions = append(h.Revisions, &peerv1.RevisionMark{Member: e.hash, Revision: e.m.ConfigRevision})
		}
		return true
	})
}
