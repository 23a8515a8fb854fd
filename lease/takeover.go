package lease

import (
	"context"
	"time"

	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/topo"
)

// takeoverDelay returns how long this VM must have observed a lease unchanged before it may take the lease. Each place in the
// ranking adds a delay, so that the candidates don't attempt it at the same time.
func (m *Manager) takeoverDelay(g int, l topo.Lease, version uint64) time.Duration {
	byRank := time.Duration(m.ranks[g].place) * m.opt.Term / rankDelayDivisor
	switch {
	case m.isOwn(l): // written by this process; the answer was lost
		return 0
	case version == 0 || l.Released:
		return byRank
	default:
		return time.Duration(l.TermMS)*time.Millisecond + m.opt.Margin + byRank
	}
}

// restoredLeaseEnd returns the time by which a lease that the store has lost has lapsed, or the zero time if the store was never
// restored.
func (m *Manager) restoredLeaseEnd(g int) time.Time {
	era, since := m.opt.Era()
	if era == 0 {
		return time.Time{}
	}
	return since.Add(m.opt.Term + m.opt.Margin + time.Duration(m.ranks[g].place)*m.opt.Term/rankDelayDivisor)
}

// fencingPerEra is above the number of holders that a group can have in one era of the store.
const fencingPerEra = 1 << 20

// minFencing returns a bound below the fencing numbers of the store's present era. It is above those of earlier eras, of which
// the store may have lost the last ones.
func (m *Manager) minFencing() uint64 {
	era, _ := m.opt.Era()
	return era * fencingPerEra
}

// takeOver writes the lease with this VM as its holder. The write fails if the lease has changed since version was observed.
func (m *Manager) takeOver(ctx context.Context, g int, version uint64, l topo.Lease) error {
	next := topo.Lease{
		Group: g, Holder: m.opt.Name, Incarnation: m.opt.Incarnation, Fencing: l.Fencing + 1,
		TermMS: m.opt.Term.Milliseconds(),
	}
	if m.isOwn(l) && l.Fencing >= m.minFencing() {
		next.Fencing, next.Renewals = l.Fencing, l.Renewals+1
	}
	next.Fencing = max(next.Fencing, m.minFencing()+1) // the store may have lost later ones
	sent := m.opt.Clock.Now()
	written, err := m.write(ctx, version, next)
	if err != nil {
		m.dropLease(g, true)
		return err
	}
	takeovers.Inc()
	m.opt.Logger.Info("lease taken", zap.Int("group", g), zap.Uint64("fencing", next.Fencing), zap.String("from", l.Holder))
	m.recordWrite(g, written, next, sent)
	return nil
}
