package edge

import (
	"context"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/catalog"
	"bergamotcroft.example/bergamot/forward"
	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/scheduler"
	"bergamotcroft.example/bergamot/topo"
)

// followUpstreams passes the catalog's upstreams to the scheduler at each change and closes expired idle connections.
func (e *Edge) followUpstreams(ctx context.Context) error {
	changed := make(chan struct{}, 1)
	e.catalog.Subscribe(func(catalog.State) {
		select {
		case changed <- struct{}{}:
		default:
		}
	})
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-sweep.C:
			e.pool.Sweep(now)
		case <-changed:
			if err := e.applyState(ctx, e.catalog.State()); err != nil {
				return nil // ctx has ended
			}
		}
	}
}

const sweepInterval = 2 * time.Second // idle connections expire after seconds

func (e *Edge) applyState(ctx context.Context, s catalog.State) error {
	e.takenAway.note(time.Now(), &s)
	list := make([]topo.Upstream, 0, len(s.Entries))
	current := map[string]string{}
	addressesInUse := map[string]bool{}
	for i := range s.Entries {
		u, ok := upstreamOf(&s, &s.Entries[i])
		if !ok {
			continue
		}
		list = append(list, u)
		current[u.Name], addressesInUse[u.Address] = u.Address, true
	}
	for name, address := range e.upstreamAddresses {
		if _, ok := current[name]; !ok {
			e.front.ProcessEnded(name, "registration gone")
		}
		if !addressesInUse[address] {
			e.pool.CloseIdle(address)
		}
	}
	e.upstreamAddresses = current
	e.versions.SetServices(streamServices(&s))
	e.startDuties()
	return e.gateway.Do(ctx, func(now time.Duration, sched *scheduler.Scheduler) {
		sched.SetUpstreams(list)
		ends := e.takenAway.ends(time.Now())
		for name := range ends {
			ends[name] += now
		}
		sched.SetEnds(ends)
	})
}

// upstreamName returns the name of one start of an upstream. Each start has a name of its own.
func upstreamName(x *catalog.Entry) string { return x.ID + "@" + strconv.FormatInt(x.StartTimeMS, 36) }

// markLeaving records in the catalog that a start of an upstream takes no more work.
func (e *Edge) markLeaving(upstream, from string) {
	id := forward.InstanceOf(upstream)
	startMS, err := strconv.ParseInt(strings.TrimPrefix(upstream, id+"@"), 36, 64)
	if err != nil {
		e.log.Error("upstream name has no valid start", zap.String("upstream", upstream), zap.Error(err))
		return
	}
	e.catalog.MarkLeaving(id, startMS, from)
}

// unknownVersionPrefix marks the versions of upstreams that state none.
const unknownVersionPrefix = "?"

// upstreamOf converts an entry to the form that the scheduler takes. It returns false if the configuration lacks the
// entry's service.
func upstreamOf(s *catalog.State, x *catalog.Entry) (topo.Upstream, bool) {
	if s.Table == nil || s.Table.Services[x.Service] == nil {
		return topo.Upstream{}, false
	}
	u := topo.Upstream{
		Name: upstreamName(x), DataCentre: x.DataCentre, Address: x.Address, MaxBatch: x.Slots,
		Kind: topo.KindService, State: topo.UpstreamActive, Role: x.Role, Version: x.Version,
	}
	if u.Version == "" { // not the same as that of any other start
		u.Version = unknownVersionPrefix + u.Name
	}
	if x.Leaving {
		u.State = topo.UpstreamDraining
	}
	engine := s.Table.Services[x.Service].Engine
	if engine == nil {
		u.Service = x.Service
		return u, true
	}
	u.Kind, u.KVPieces, u.StrictPace = topo.KindEngine, engine.KVTokens/policy.PieceTokens, engine.StrictPace
	u.KVTokens, u.KVBytesPerToken, u.LinkBytesPerS = engine.KVTokens, engine.KVBytesPerToken, engine.LinkBytesPerS
	for _, m := range x.Models {
		u.Models = append(u.Models, forward.EngineModel(x.Service, m))
	}
	return u, true
}
