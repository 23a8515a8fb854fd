package control

import (
	"context"
	"strings"
	"time"

	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"
)

// fakeStore is the in-memory store of a simulation. It checks each write of a plan.
type fakeStore struct {
	w       *simulation
	objects map[string]store.Object
	history map[uint64]*topo.Configuration
	down    bool
}

func (s *fakeStore) head() *topo.Configuration {
	c, _ := topo.Decode[topo.Configuration](s.objects[topo.KindConfiguration+"/head"].Value)
	return &c
}

func (s *fakeStore) putRaw(kind, name string, v any) {
	b, _ := topo.Encode(v)
	s.put(store.Object{Kind: kind, Name: name, Writer: s.w.mark(), Value: b})
}

// put writes o if its version equals the stored version.
func (s *fakeStore) put(o store.Object) (uint64, error) {
	key := o.Kind + "/" + o.Name
	before := s.objects[key]
	if before.Version != o.Version {
		return 0, store.ErrConflict
	}
	if o.Kind == topo.KindPlan {
		s.w.checkPlanWrite(before, o)
	}
	o.Version++
	s.objects[key] = o
	if o.Kind == topo.KindConfiguration {
		c, _ := topo.Decode[topo.Configuration](o.Value)
		s.history[c.Revision] = &c
	}
	return o.Version, nil
}

// vmStore is the store client of one VM's processes.
type vmStore struct{ *vm }

func (s vmStore) reachable() error {
	if s.partitioned || s.w.store.down {
		return store.ErrUnavailable
	}
	return nil
}

func (s vmStore) Get(_ context.Context, kind, name string) (store.Object, error) {
	s.reads++
	s.faultPoint("get " + kind)
	if err := s.reachable(); err != nil {
		return store.Object{}, err
	}
	o, ok := s.w.store.objects[kind+"/"+name]
	if !ok {
		return o, store.ErrNotFound
	}
	return o, nil
}

func (s vmStore) List(_ context.Context, kind, prefix string) ([]store.Object, uint64, error) {
	var all []store.Object
	for k, o := range s.w.store.objects {
		if strings.HasPrefix(k, kind+"/"+prefix) {
			all = append(all, o)
		}
	}
	return all, 0, s.reachable()
}

// Put may lose its answer, before or after the write is applied.
func (s vmStore) Put(_ context.Context, o store.Object) (uint64, error) {
	s.writes++
	s.faultPoint("put " + o.Kind)
	if err := s.reachable(); err != nil {
		return 0, err
	}
	lost := 9
	if !s.w.noFaults {
		lost = s.w.pick(9+1, "answer")
	}
	if lost == 0 {
		return 0, store.ErrOutcomeUnknown
	}
	version, err := s.w.store.put(o)
	s.faultPoint("after put " + o.Kind)
	if lost == 1 {
		return 0, store.ErrOutcomeUnknown
	}
	return version, err
}

func (s vmStore) Delete(_ context.Context, kind, name string, _ uint64) error {
	delete(s.w.store.objects, kind+"/"+name)
	return nil
}

func (s vmStore) Watch(context.Context, string, uint64) ([]store.Event, uint64, error) {
	return nil, 0, store.ErrUnavailable
}

func (s vmStore) VMs(context.Context) ([]store.VM, error) {
	s.reads++
	var list []store.VM
	for _, v := range s.w.vms {
		list = append(list, store.VM{Name: v.name})
	}
	return list, s.reachable()
}

var _ store.Store = vmStore{}

var _ Clock = (*simulation)(nil)

// advance moves the clock forward.
func (w *simulation) advance(d time.Duration) { w.now = w.now.Add(d) }
