package membership

import (
	"slices"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"bergamotcroft.example/bergamot/peer/peerv1"
)

// receive handles a datagram.
func (c *core) receive(now time.Time, from string, datagram []byte) {
	h := &peerv1.Heartbeat{}
	if err := proto.Unmarshal(datagram, h); err != nil || h.GetFrom() == "" || h.GetFrom() == c.self.m.Name {
		c.unreadable++
		return
	}
	c.lastReceived = now
	sender := c.table[h.GetFrom()]
	for _, u := range h.GetUpdates() {
		c.mergeUpdate(now, u, true)
	}
	for _, ev := range h.GetEvents() {
		c.handleEvent(ev)
	}
	c.mergeRevisions(now, sender, h)
	switch h.GetKind() {
	case peerv1.Heartbeat_KIND_PING:
		if h.GetTarget() == c.self.m.Name {
			c.sendTo(from, sender, &peerv1.Heartbeat{Kind: peerv1.Heartbeat_KIND_ACK, Sequence: h.GetSequence()})
		}
		return
	case peerv1.Heartbeat_KIND_ACK:
		c.handleAck(h)
	case peerv1.Heartbeat_KIND_INDIRECT:
		c.relayProbe(now, from, h)
	}
	// A sender whose record is not healthy is sent that record at once, so that it can refute it.
	if sender != nil && sender.health != healthy && now.Sub(sender.notifiedAt) >= notifyInterval {
		sender.notifiedAt = now
		c.sendTo(from, sender, &peerv1.Heartbeat{Kind: peerv1.Heartbeat_KIND_GOSSIP})
	}
}

func (c *core) mergeRevisions(now time.Time, sender *entry, h *peerv1.Heartbeat) {
	c.recordNewestRevision(now, h.GetNewestRevision())
	if sender != nil {
		c.setMemberRevision(sender, h.GetRevision())
	}
	for _, r := range h.GetRevisions() {
		c.mergeMark(r.GetMember(), r.GetRevision())
	}
	for _, member := range h.GetCurrent() {
		c.mergeMark(member, h.GetNewestRevision())
	}
}

func (c *core) mergeMark(member uint32, revision uint64) {
	if e := c.table[c.byHash[member]]; e != nil && e != c.self {
		c.setMemberRevision(e, revision)
	}
}

func (c *core) setMemberRevision(e *entry, revision uint64) {
	if revision <= e.m.ConfigRevision {
		return
	}
	e.m.ConfigRevision = revision
	c.marks.put(e.m.Name, e.m.Name)
	c.changed(e.member())
}

func (c *core) handleAck(h *peerv1.Heartbeat) {
	if r, ok := c.relays[h.GetSequence()]; ok && r.target == h.GetFrom() {
		delete(c.relays, h.GetSequence())
		c.sendTo(r.address, nil, &peerv1.Heartbeat{Kind: peerv1.Heartbeat_KIND_ACK, Sequence: r.sequence, Target: r.target})
		return
	}
	answered := h.GetFrom() == c.probe.name || h.GetTarget() == c.probe.name
	if h.GetSequence() == c.probe.sequence && answered {
		c.probe.acked = true
	}
}

// relayProbe probes a member for another VM. The address comes from this VM's own table, so that the request can't
// direct the probe elsewhere.
func (c *core) relayProbe(now time.Time, from string, h *peerv1.Heartbeat) {
	e := c.table[h.GetTarget()]
	if e == nil || e == c.self || len(c.relays) >= relaysInFlight {
		return
	}
	c.sequence++
	c.relays[c.sequence] = relayedProbe{address: from, sequence: h.GetSequence(), target: e.m.Name, sent: now}
	c.sendTo(e.m.Address, e, &peerv1.Heartbeat{Kind: peerv1.Heartbeat_KIND_PING, Sequence: c.sequence, Target: e.m.Name})
}

// mergeUpdate merges an update into the table. If rumour is set, an update that is new is queued to be sent on.
func (c *core) mergeUpdate(now time.Time, u *peerv1.Update, rumour bool) {
	name := u.GetName()
	if name == c.self.m.Name {
		c.refute(now, u)
		return
	}
	e := c.table[name]
	if e == nil {
		e = c.addMember(now, u)
		if e == nil {
			return
		}
		if rumour {
			c.urgentLeft = urgentRounds // after a cold start of the fleet, many records share few heartbeats
		}
	} else {
		if !e.replacedBy(u) {
			c.completeAddresses(e, u)
			return
		}
		before, doubted := e.state(), e.health != healthy
		e.copyFrom(now, u)
		if !doubted && e.health == suspect {
			c.urgentLeft = urgentRounds // callers must not be directed to a member that is off for long
		}
		if before != Leaving && e.state() == Leaving {
			c.urgentLeft = urgentRounds // callers must not be directed there any more
		}
		if before == e.state() && e.health == suspect {
			c.queueUpdate(name, rumour)
			return // observers are not notified of suspicions
		}
	}
	c.queueUpdate(name, rumour)
	c.changed(e.member())
}

func (c *core) queueUpdate(name string, rumour bool) {
	if rumour {
		c.updates.put(name, name)
	}
}

// completeAddresses takes the addresses of a restarted member whose new incarnation arrived first without them.
func (c *core) completeAddresses(e *entry, u *peerv1.Update) {
	if u.GetAddress() != "" && u.GetIncarnation() == e.m.Incarnation && u.GetBoot() > e.m.Boot {
		health, leaving, since := e.health, e.leaving, e.since
		e.copyFrom(since, u)
		e.health, e.leaving, e.since = health, leaving, since
		c.changed(e.member())
	}
}

// addMember adds an unknown member, unless the update has no address or declares the member gone.
func (c *core) addMember(now time.Time, u *peerv1.Update) *entry {
	name := u.GetName()
	if u.GetAddress() == "" || u.GetHealth() == gone || name == "" || len(name) > maxNameBytes || len(c.table) >= maxMembers {
		return nil
	}
	e := &entry{m: Member{Name: name}, hash: memberHash(name), since: now}
	e.copyFrom(now, u)
	c.table[name] = e
	i, _ := slices.BinarySearch(c.names, name)
	c.names = slices.Insert(c.names, i, name)
	i, _ = c.ringPosition(e)
	c.ring = slices.Insert(c.ring, i, e)
	c.byHash[e.hash] = name
	// The order stays random.
	if len(c.order) > 0 {
		i := c.rng.IntN(len(c.order) + 1)
		c.order = append(c.order, name)
		c.order[i], c.order[len(c.order)-1] = c.order[len(c.order)-1], c.order[i]
	}
	return e
}

// refute raises the incarnation above that of a wrong update about this VM. A record of an earlier process with this
// name can have a higher incarnation if the clock was set back.
func (c *core) refute(now time.Time, u *peerv1.Update) {
	if c.self.health == gone || u.GetIncarnation() < c.self.m.Incarnation {
		return
	}
	same := u.GetIncarnation() == c.self.m.Incarnation
	if same && u.GetHealth() == healthy && u.GetLeaving() == c.self.leaving {
		return
	}
	if u.GetHealth() == gone {
		c.wasDeclaredGone()
	}
	c.self.m.Incarnation = u.GetIncarnation()
	c.announceSelf(now)
}

// broadcast queues an event of this VM.
func (c *core) broadcast(kind string, payload []byte) bool {
	c.eventSeq++
	ev := &peerv1.AppEvent{Origin: c.self.m.Name, Boot: c.self.m.Boot, Sequence: c.eventSeq, Kind: kind, Payload: payload}
	return c.events.put(eventKey(ev), ev)
}

func eventKey(ev *peerv1.AppEvent) string {
	return ev.GetOrigin() + "/" + strconv.FormatUint(ev.GetBoot(), 36) + "/" + strconv.FormatUint(ev.GetSequence(), 36)
}

// handleEvent delivers an event once and sends it on. Events of unknown members are dropped: without a window they
// would be delivered again.
func (c *core) handleEvent(ev *peerv1.AppEvent) {
	e := c.table[ev.GetOrigin()]
	if e == nil || e == c.self || len(ev.GetPayload()) > MaxEventBytes || len(ev.GetKind()) > maxKindBytes {
		return
	}
	if !e.events.markSeen(ev.GetBoot(), ev.GetSequence()) {
		return
	}
	if !c.events.put(eventKey(ev), ev) {
		c.dropped++
	}
	c.deliver(Event{Kind: ev.GetKind(), Origin: ev.GetOrigin(), Payload: ev.GetPayload()})
}

// windowSize is how far behind the newest event of a member an older one may arrive, in sequence numbers.
const windowSize = 64

// window records which events of a member were received.
type window struct {
	boot, newest uint64
	seen         uint64 // bit i: newest-i
}

// markSeen records an event and reports whether it is new. Events of an earlier process, and those too far behind the
// newest, are not.
func (w *window) markSeen(boot, sequence uint64) bool {
	if boot < w.boot || sequence == 0 {
		return false
	}
	if boot > w.boot {
		*w = window{boot: boot}
	}
	if sequence > w.newest {
		w.seen = w.seen<<min(sequence-w.newest, windowSize) | 1
		w.newest = sequence
		return true
	}
	behind := w.newest - sequence
	if behind >= windowSize || w.seen>>behind&1 == 1 {
		return false
	}
	w.seen |= 1 << behind
	return true
}
