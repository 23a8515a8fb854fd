package control

import (
	"context"
	"errors"

	"golang.org/x/sync/errgroup"

	"bergamotcroft.example/bergamot/plan"
	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"
)

// maxReportCalls bounds the concurrent requests for load reports.
const maxReportCalls = 32

var errReadOnly = errors.New("read only")

// newestConfiguration returns the newest accepted configuration from the store.
func newestConfiguration(ctx context.Context, c Configurations) (*topo.Configuration, error) {
	var got *topo.Configuration
	_, err := c.Update(ctx, "", func(now *topo.Configuration) error {
		got = plan.Clone(now)
		return errReadOnly
	})
	if errors.Is(err, errReadOnly) {
		return got, nil
	}
	return nil, store.WithCode(err)
}

// loads requests the load of the named upstreams. An upstream that does not answer in time counts as unreachable.
func (o *Options) loads(ctx context.Context, c *topo.Configuration, names []string) map[string]plan.Load {
	got := make([]plan.Load, len(names))
	var g errgroup.Group
	g.SetLimit(maxReportCalls)
	for i, n := range names {
		u := plan.Find(c, n)
		if u == nil || plan.StateOf(u) == topo.UpstreamWithdrawn {
			continue
		}
		g.Go(func() error {
			r, err := o.report(ctx, *u)
			got[i] = r.Load
			got[i].Reachable = err == nil
			return nil
		})
	}
	_ = g.Wait() // the functions return no errors
	m := make(map[string]plan.Load, len(names))
	for i, n := range names {
		m[n] = got[i]
	}
	return m
}

func (o *Options) report(ctx context.Context, u topo.Upstream) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, o.Limits.CallTimeout)
	defer cancel()
	return o.Reports.Report(ctx, u)
}

// snapshot returns the state that a plan for the intent is computed from.
func (o *Options) snapshot(ctx context.Context, in topo.Intent) (plan.Snapshot, error) {
	c, err := newestConfiguration(ctx, o.Configurations)
	if err != nil {
		return plan.Snapshot{}, err
	}
	s := plan.Snapshot{Now: o.Clock.Now(), Configuration: c, Credits: o.Costs.Credits()}
	scope := plan.AffectedUpstreams(in, c)
	s.Loads = o.loads(ctx, c, scope)
	if err := o.readWeights(ctx, &s, plan.RequiredWeights(in, c)); err != nil {
		return s, err
	}
	return s, nil
}

// readWeights reads the sizes of the possible downloads, and the lowest download rate.
func (o *Options) readWeights(ctx context.Context, s *plan.Snapshot, names []string) error {
	s.WeightBytes = map[string]int64{}
	for _, n := range names {
		w, known, err := o.Costs.Weight(ctx, n)
		if err != nil {
			return store.WithCode(err)
		}
		if !known {
			continue
		}
		s.WeightBytes[n] = w.Bytes
		if w.BytesPerSecond > 0 && (s.WeightRate == 0 || w.BytesPerSecond < s.WeightRate) {
			s.WeightRate = w.BytesPerSecond
		}
	}
	return nil
}

// readUpstreamObjects reads the status and the last order of each named upstream, with the versions of both objects.
func (o *Options) readUpstreamObjects(ctx context.Context, s *plan.Snapshot, names []string) error {
	s.Versions = map[plan.Object]uint64{}
	s.Status, s.Orders = map[string]topo.UpstreamStatus{}, map[string]topo.Order{}
	for _, n := range names {
		status, err := read[topo.UpstreamStatus](ctx, o.Store, topo.KindUpstream, n)
		if err != nil {
			return err
		}
		order, err := read[topo.Order](ctx, o.Store, topo.KindOrder, n)
		if err != nil {
			return err
		}
		s.Status[n], s.Orders[n] = status.value, order.value
		s.Versions[plan.Object{Kind: topo.KindUpstream, Name: n}] = status.version
		s.Versions[plan.Object{Kind: topo.KindOrder, Name: n}] = order.version
	}
	return nil
}
