package admin

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	"bergamotcroft.example/bergamot/admin/adminv1"
	"bergamotcroft.example/bergamot/membership"
	"bergamotcroft.example/bergamot/plan"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"
)

const (
	loadTimeout      = time.Second // for fetching the load reports of a list
	loadCalls        = 32          // concurrent load reports
	maxLoads         = 256         // lists with more upstreams are sent without load
	watchRetry       = time.Second // back-off after an error of the store
	configObject     = "head"
	recentPlanPeriod = time.Minute // the first list of a watch of all plans omits plans that ended longer ago
)

// storedKinds maps the kind of a list to the kind of the store's objects that it returns.
var storedKinds = map[string]string{"intents": topo.KindIntent, "plans": topo.KindPlan, "orders": topo.KindOrder}

// UpstreamRow is an upstream in a list.
type UpstreamRow struct {
	topo.Upstream
	Status *topo.UpstreamStatus `json:"status,omitempty"`
	Load   *plan.Load           `json:"load,omitempty"` // nil: not requested
}

// VMRow is an entry VM in a list.
type VMRow struct {
	Name           string `json:"name"`
	Address        string `json:"address"` // of the caller listener, or the IP address when the VM is only in the platform's list
	DataCentre     string `json:"data_centre"`
	Cores          int    `json:"cores,omitempty"`
	Heard          string `json:"heard"`    // membership state: alive, uncertain, leaving, gone or unknown
	Platform       string `json:"platform"` // state in the platform's list: live, leaving or absent
	Incarnation    uint64 `json:"incarnation,omitempty"`
	ConfigRevision uint64 `json:"config_revision,omitempty"`
}

// List implements the API.
func (s *Service) List(ctx context.Context, r *connect.Request[adminv1.ListRequest]) (*connect.Response[adminv1.ListResponse], error) {
	objects, err := s.list(ctx, r.Msg.Kind, r.Msg.Prefix)
	if err != nil {
		return nil, toConnect(err)
	}
	return connect.NewResponse(&adminv1.ListResponse{Objects: objects}), nil
}

func (s *Service) list(ctx context.Context, kind, prefix string) ([]*adminv1.Object, error) {
	switch kind {
	case "upstreams":
		return s.upstreams(ctx, prefix)
	case "vms":
		return s.vms(ctx, prefix)
	case "config":
		c := s.opt.Source.Current()
		if c == nil {
			return nil, result.New(result.ObjectNotFound, "no configuration is in force yet")
		}
		return encodeRows([]topo.Configuration{*c}, func(c topo.Configuration) (string, uint64) { return configObject, c.Revision })
	}
	stored, ok := storedKinds[kind]
	if !ok {
		return nil, result.New(result.ObjectNotFound, "unknown kind %q; use intents, plans, upstreams, vms, config or orders", kind)
	}
	objects, _, err := s.opt.Store.List(ctx, stored, prefix)
	if err != nil {
		return nil, storeUnavailable(err)
	}
	slices.SortFunc(objects, func(a, b store.Object) int { return cmp.Compare(a.Name, b.Name) })
	out := make([]*adminv1.Object, len(objects))
	for i, o := range objects {
		out[i] = toObject(o)
	}
	return out, nil
}

func toObject(o store.Object) *adminv1.Object {
	return &adminv1.Object{Name: o.Name, Version: o.Version, Value: o.Value}
}

func storeUnavailable(err error) error {
	return result.New(result.StoreUnavailable, "the store can't be used now").WithCause(err)
}

func encodeRows[T any](items []T, id func(T) (string, uint64)) ([]*adminv1.Object, error) {
	var out []*adminv1.Object
	for _, it := range items {
		b, err := topo.Encode(it)
		if err != nil {
			return nil, err
		}
		name, version := id(it)
		out = append(out, &adminv1.Object{Name: name, Version: version, Value: b})
	}
	return out, nil
}

func (s *Service) upstreams(ctx context.Context, prefix string) ([]*adminv1.Object, error) {
	var list []UpstreamRow
	if c := s.opt.Source.Current(); c != nil {
		for _, u := range c.Upstreams {
			if strings.HasPrefix(u.Name, prefix) {
				u.State, u.Role = plan.StateOf(&u), plan.RoleOf(&u)
				list = append(list, UpstreamRow{Upstream: u})
			}
		}
	}
	if err := s.addStatus(ctx, list, prefix); err != nil {
		return nil, err
	}
	s.addLoads(ctx, list)
	return encodeRows(list, func(r UpstreamRow) (string, uint64) { return r.Name, 0 })
}

func (s *Service) addStatus(ctx context.Context, list []UpstreamRow, prefix string) error {
	objects, _, err := s.opt.Store.List(ctx, topo.KindUpstream, prefix)
	if err != nil {
		return storeUnavailable(err)
	}
	for _, o := range objects {
		i := slices.IndexFunc(list, func(r UpstreamRow) bool { return r.Name == o.Name })
		if st, err := topo.Decode[topo.UpstreamStatus](o.Value); err == nil && i >= 0 {
			list[i].Status = &st
		}
	}
	return nil
}

func (s *Service) addLoads(ctx context.Context, list []UpstreamRow) {
	if s.opt.Reports == nil || len(list) > maxLoads {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(loadCalls)
	for i := range list {
		g.Go(func() error {
			r, err := s.opt.Reports.Report(ctx, list[i].Upstream)
			r.Load.Reachable = err == nil
			list[i].Load = &r.Load
			return nil
		})
	}
	_ = g.Wait() // the functions return no errors
}

var memberStateNames = map[membership.State]string{
	membership.Alive: "alive", membership.Uncertain: "uncertain", membership.Leaving: "leaving", membership.Gone: "gone",
}

// vms joins the membership list with the platform's VM list. Either may lag, so each row shows the state in both.
func (s *Service) vms(ctx context.Context, prefix string) ([]*adminv1.Object, error) {
	listed, err := s.opt.Store.VMs(ctx)
	if err != nil {
		return nil, storeUnavailable(err)
	}
	byName := map[string]VMRow{}
	for _, m := range s.opt.List.Members() {
		byName[m.Name] = VMRow{
			Name: m.Name, Address: m.CallerAddress, DataCentre: m.DataCentre, Cores: m.Cores, Heard: memberStateNames[m.State], Platform: "absent",
			Incarnation: m.Incarnation, ConfigRevision: m.ConfigRevision,
		}
	}
	for _, v := range listed {
		if v.Upstream {
			continue
		}
		r, ok := byName[v.Name]
		if !ok {
			r = VMRow{Name: v.Name, Address: v.Address, DataCentre: v.DataCentre, Heard: "unknown"}
		}
		r.Platform = string(v.State)
		byName[v.Name] = r
	}
	var list []VMRow
	for name, r := range byName {
		if strings.HasPrefix(name, prefix) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b VMRow) int { return cmp.Compare(a.Name, b.Name) })
	return encodeRows(list, func(r VMRow) (string, uint64) { return r.Name, r.ConfigRevision })
}

// Watch implements the API. It sends each plan once and then its changes. Each call holds one long poll open at the store.
func (s *Service) Watch(ctx context.Context, r *connect.Request[adminv1.WatchRequest], out *connect.ServerStream[adminv1.WatchResponse]) error {
	w := watcher{s: s, plan: r.Msg.Plan, out: out, sent: map[string]uint64{}}
	if w.plan != "" {
		if _, err := s.opt.Plans.Get(ctx, w.plan); err != nil {
			return toConnect(err)
		}
	}
	for {
		ended, err := w.follow(ctx)
		var sending *connect.Error
		switch {
		case ended || ctx.Err() != nil:
			return nil
		case errors.As(err, &sending):
			return err
		}
		select { // the store is unavailable or has dropped events: list again
		case <-ctx.Done():
			return nil
		case <-time.After(watchRetry):
		}
	}
}

type watcher struct {
	s      *Service
	plan   string
	out    *connect.ServerStream[adminv1.WatchResponse]
	sent   map[string]uint64 // last version sent, by plan
	listed bool
}

// follow sends the listed plans and then their changes. It returns at an error, or when the one watched plan has ended.
func (w *watcher) follow(ctx context.Context) (ended bool, err error) {
	objects, from, err := w.s.opt.Store.List(ctx, topo.KindPlan, w.plan)
	if err != nil {
		return false, err
	}
	for _, o := range objects {
		if ended, err = w.send(o); ended || err != nil {
			return ended, err
		}
	}
	w.listed = true
	for {
		events, next, err := w.s.opt.Store.Watch(ctx, topo.KindPlan, from)
		if err != nil {
			return false, err
		}
		from = next
		for _, e := range events {
			if e.Deleted {
				continue
			}
			if ended, err := w.send(e.Object); ended || err != nil {
				return ended, err
			}
		}
	}
}

// send sends a plan if it belongs to the watch and is newer than the version sent last.
func (w *watcher) send(o store.Object) (ended bool, err error) {
	if w.plan != "" && o.Name != w.plan || w.sent[o.Name] >= o.Version {
		return false, nil
	}
	p, err := topo.Decode[topo.Plan](o.Value)
	if err != nil {
		return false, err
	}
	if w.plan == "" && !w.listed && p.State.Final() && time.Since(p.Updated) > recentPlanPeriod {
		return false, nil
	}
	w.sent[o.Name] = o.Version
	if err := w.out.Send(&adminv1.WatchResponse{Plan: toObject(o)}); err != nil {
		return false, connect.NewError(connect.CodeCanceled, err)
	}
	return w.plan != "" && p.State.Final(), nil
}
