package membership

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/peer/peerv1"
)

// Self implements List.
func (s *Service) Self() Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.self.member()
}

// Members implements List.
func (s *Service) Members() []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Member, 0, len(s.core.names))
	for _, name := range s.core.names {
		if e := s.core.table[name]; e.health != gone {
			out = append(out, e.member())
		}
	}
	return out
}

// Member returns one member of the table. Members that are gone stay in it for forgetGoneAfter.
func (s *Service) Member(name string) (Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.core.table[name]
	if !ok {
		return Member{}, false
	}
	return e.member(), true
}

// Reachable counts the members that this VM can reach, itself included, and all that are not gone. More than half of the
// known members is a majority.
func (s *Service) Reachable() (reachable, known int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.reachable(s.o.Now())
}

// TableChecked reports whether the table is recent. After a start with seeds or a pause of this process it returns false
// until the table has been compared with that of another VM or maxExchangeWait has passed. Address answers wait for it.
func (s *Service) TableChecked() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.isCurrent(s.o.Now())
}

// SetRevision announces the configuration in force on this VM. A lower revision than before is ignored.
func (s *Service) SetRevision(revision uint64) {
	s.withLock(func(now time.Time) { s.core.setRevision(now, revision) })
}

// NewestRevision returns the highest configuration revision that any member has announced.
func (s *Service) NewestRevision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.newestRevision
}

// Leave announces that this VM shuts down gracefully. When Run ends, it announces that the VM is gone.
func (s *Service) Leave() { s.withLock(func(now time.Time) { s.core.leave(now) }) }

// Subscribe implements List.
func (s *Service) Subscribe(f func(Member)) (cancel func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.nextID
	s.nextID++
	s.observers[id] = f
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.observers, id)
	}
}

// Handle implements List.
func (s *Service) Handle(kind string, f func(Event)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[kind] = f
}

// Broadcast implements List.
func (s *Service) Broadcast(kind string, payload []byte) error {
	if len(payload) > MaxEventBytes || len(kind) > maxKindBytes {
		return ErrEventTooLarge
	}
	ok := false
	s.withLock(func(time.Time) { ok = s.core.broadcast(kind, slices.Clone(payload)) })
	if !ok {
		return ErrTooManyEvents
	}
	return nil
}

// ExchangeTable handles a table exchange started by another VM. It is registered in peer.Handlers.
func (s *Service) ExchangeTable(_ context.Context, r *peerv1.ExchangeTableRequest) (*peerv1.ExchangeTableResponse, error) {
	var res *peerv1.ExchangeTableResponse
	s.withLock(func(now time.Time) { res = s.core.handleTableRequest(now, r) })
	return res, nil
}

// tableLoop joins through the seeds, and later compares tables with a random member or seed. Seeds stay in use, so
// that two parts of the fleet without a common member find each other.
func (s *Service) tableLoop(ctx context.Context) error {
	joined, exchanges := false, 0
	for {
		address := s.exchangePartner(joined)
		wait := joinRetry
		if address != "" && s.o.Exchanger != nil {
			err := s.exchangeTables(ctx, address, !joined)
			if err != nil {
				s.o.Log.Debug("table exchange failed", zap.String("peer", address), zap.Error(err))
			}
			joined = joined || err == nil
		}
		if joined {
			wait = tableInterval(exchanges)
			exchanges++
		}
		t := time.NewTimer(s.jitter(wait))
		select {
		case <-ctx.Done():
			t.Stop()
			return nil
		case <-s.exchangeNow:
			t.Stop()
		case <-t.C:
		}
	}
}

// tableInterval returns the time to the next table exchange after a number of them. Of VMs that start together, each joins
// through one that knows few others yet, so that the first exchanges follow soon.
func tableInterval(exchanges int) time.Duration {
	const first, doublings = 500 * time.Millisecond, 7
	return min(first<<min(exchanges, doublings), DefaultTableInterval)
}

// exchangePartner returns the peer address for the next exchange. One exchange in four goes to a seed.
func (s *Service) exchangePartner(joined bool) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	seeds := append(slices.Clone(s.o.Seeds), s.listSeeds...)
	seeds = slices.DeleteFunc(seeds, func(a string) bool { return a == s.o.Self.PeerAddress })
	c := s.core
	if joined && (len(seeds) == 0 || c.rng.IntN(4) > 0) {
		if es := c.pickRandom(1, ""); len(es) > 0 {
			return es[0].m.PeerAddress
		}
	}
	if len(seeds) == 0 {
		return ""
	}
	return seeds[c.rng.IntN(len(seeds))]
}

func (s *Service) exchangeTables(ctx context.Context, address string, join bool) error {
	var request *peerv1.ExchangeTableRequest
	s.withLock(func(time.Time) { request = s.core.newTableRequest(join) })
	for range maxTableCalls {
		if request == nil {
			return nil
		}
		res, err := s.o.Exchanger.ExchangeTable(ctx, address, request)
		if err != nil {
			return trace.Wrap(err)
		}
		s.withLock(func(now time.Time) { request = s.core.handleTableResponse(now, res) })
	}
	return nil
}

// listLoop reads the platform's VM list, which adds seeds and determines which silent members are gone.
func (s *Service) listLoop(ctx context.Context) error {
	for s.o.VMs != nil {
		wait := s.o.ListInterval
		vms, err := s.o.VMs(ctx)
		if err != nil {
			wait = min(wait, listRetry)
		} else {
			names, seeds := map[string]bool{}, []string{}
			for _, vm := range vms {
				if vm.Upstream {
					continue
				}
				names[vm.Name] = true
				if s.o.PeerPort != "" {
					seeds = append(seeds, net.JoinHostPort(vm.Address, s.o.PeerPort))
				}
			}
			s.withLock(func(now time.Time) {
				s.core.setListed(now, names)
				s.listSeeds = seeds
			})
		}
		if !sleep(ctx, s.jitter(wait)) {
			return nil
		}
	}
	return nil
}

// jitter returns d changed by up to a fifth, so that VMs that start together don't stay in step.
func (s *Service) jitter(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return d*4/5 + time.Duration(s.core.rng.Int64N(int64(d*2/5)+1))
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
