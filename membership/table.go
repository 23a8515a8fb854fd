package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotcroft.example/bergamot/peer/peerv1"
)

// Short names of the protocol's states of health. Users of the package see a suspect as alive, since most suspicions
// are refuted.
const (
	healthy   = peerv1.Update_HEALTH_ALIVE
	suspect   = peerv1.Update_HEALTH_SUSPECT
	uncertain = peerv1.Update_HEALTH_UNCERTAIN
	gone      = peerv1.Update_HEALTH_GONE
)

// entry is a member in the table.
type entry struct {
	m          Member // State, Since and Suspect are set by the method member
	hash       uint32
	health     peerv1.Update_Health
	leaving    bool
	since      time.Time // start of health
	notifiedAt time.Time // when the member was last sent its own unhealthy record
	events     window
}

// state translates the protocol's health. A leaving member stays leaving when it becomes unreachable.
func (e *entry) state() State {
	switch {
	case e.health == gone:
		return Gone
	case e.leaving:
		return Leaving
	case e.health == uncertain:
		return Uncertain
	default:
		return Alive
	}
}

func (e *entry) member() Member {
	m := e.m
	m.State, m.Since, m.Suspect = e.state(), e.since, e.health == suspect
	return m
}

// update returns the entry as an update; full adds the addresses and the revision.
func (e *entry) update(full bool) *peerv1.Update {
	u := &peerv1.Update{Name: e.m.Name, Incarnation: e.m.Incarnation, Health: e.health, Leaving: e.leaving}
	if full {
		u.Boot, u.Revision = e.m.Boot, e.m.ConfigRevision
		u.Address, u.PeerAddress, u.CallerAddress = e.m.Address, e.m.PeerAddress, e.m.CallerAddress
		u.DataCentre, u.Cores = e.m.DataCentre, uint32(e.m.Cores)
	}
	return u
}

// replacedBy reports whether u is newer. At the same incarnation the worse health wins, so that only the member itself
// can refute it, with a higher incarnation.
func (e *entry) replacedBy(u *peerv1.Update) bool {
	if u.GetIncarnation() != e.m.Incarnation {
		return u.GetIncarnation() > e.m.Incarnation
	}
	return u.GetHealth() > e.health
}

// copyFrom copies u into the entry.
func (e *entry) copyFrom(now time.Time, u *peerv1.Update) {
	if e.health != u.GetHealth() || e.m.Incarnation != u.GetIncarnation() {
		e.since = now
	}
	e.m.Incarnation, e.health, e.leaving = u.GetIncarnation(), u.GetHealth(), u.GetLeaving()
	if u.GetAddress() == "" {
		return
	}
	e.m.Boot = u.GetBoot()
	e.m.Address, e.m.PeerAddress, e.m.CallerAddress = u.GetAddress(), u.GetPeerAddress(), u.GetCallerAddress()
	e.m.DataCentre, e.m.Cores = u.GetDataCentre(), int(min(u.GetCores(), maxCores))
	e.m.ConfigRevision = max(e.m.ConfigRevision, u.GetRevision())
}

// maxCores bounds the cores, and so the weight, that a faulty record can claim.
const maxCores = 1024

func memberHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// digestBuckets keeps a digest at 512 bytes while a differing bucket holds about 35 of 2,200 members.
const digestBuckets = 64

// digest summarises the table in buckets of member hashes. Members that are gone are left out, since each VM drops
// them at its own time; suspicions are left out because they do not last.
func (c *core) digest() []uint64 {
	d := make([]uint64, digestBuckets)
	var b []byte
	for _, e := range c.table {
		if e.health == gone {
			continue
		}
		b = append(b[:0], e.m.Name...)
		for i := range 8 {
			b = append(b, byte(e.m.Incarnation>>(8*i)))
		}
		if e.leaving {
			b = append(b, 1)
		}
		if e.health == uncertain {
			b = append(b, 2)
		}
		d[e.hash%digestBuckets] ^= xxhash.Sum64(b)
	}
	return d
}

// updatesInBuckets returns the full records of the members whose bucket is chosen, sorted by name.
func (c *core) updatesInBuckets(chosen func(bucket uint32) bool) []*peerv1.Update {
	var us []*peerv1.Update
	for _, name := range c.names {
		if e := c.table[name]; chosen(e.hash % digestBuckets) {
			us = append(us, e.update(true))
		}
	}
	return us
}

// newTableRequest returns the first request of an exchange. A joining VM asks for the whole table.
func (c *core) newTableRequest(join bool) *peerv1.ExchangeTableRequest {
	r := &peerv1.ExchangeTableRequest{From: c.self.m.Name, NewestRevision: c.newestRevision, Updates: []*peerv1.Update{c.self.update(true)}}
	if !join {
		r.Buckets = c.digest()
	}
	return r
}

// handleTableRequest merges the records of the requesting VM and returns the differences.
func (c *core) handleTableRequest(now time.Time, r *peerv1.ExchangeTableRequest) *peerv1.ExchangeTableResponse {
	c.mergeTable(now, r.GetUpdates())
	c.recordNewestRevision(now, r.GetNewestRevision())
	res := &peerv1.ExchangeTableResponse{NewestRevision: c.newestRevision}
	if len(r.GetBuckets()) != digestBuckets {
		res.Updates = c.updatesInBuckets(func(uint32) bool { return true })
		return res
	}
	differ := map[uint32]bool{}
	for i, d := range c.digest() {
		if d != r.GetBuckets()[i] {
			differ[uint32(i)] = true
			res.Differing = append(res.Differing, uint32(i))
		}
	}
	res.Updates = c.updatesInBuckets(func(b uint32) bool { return differ[b] })
	return res
}

// handleTableResponse merges the response. It returns the second request, with the records that the other VM lacks, or
// nil.
func (c *core) handleTableResponse(now time.Time, res *peerv1.ExchangeTableResponse) *peerv1.ExchangeTableRequest {
	c.mergeTable(now, res.GetUpdates())
	c.recordNewestRevision(now, res.GetNewestRevision())
	if now.Before(c.currentFrom) {
		c.currentFrom = now
	}
	if len(res.GetDiffering()) == 0 {
		return nil
	}
	r := c.newTableRequest(false)
	r.Updates = c.updatesInBuckets(func(b uint32) bool { return slices.Contains(res.GetDiffering(), b) })
	return r
}

// maxTableCalls bounds the calls of one exchange: the second sends the records that the other VM lacks. Tables can
// differ after it, for example while a refutation is on its way, until the next exchange.
const maxTableCalls = 2

// maxTableRumours bounds how many records of an exchanged table are sent on by heartbeats. Others receive a whole
// table by their own exchanges.
const maxTableRumours = 32

func (c *core) mergeTable(now time.Time, us []*peerv1.Update) {
	rumour := len(us) <= maxTableRumours
	for _, u := range us {
		c.mergeUpdate(now, u, rumour)
	}
}
