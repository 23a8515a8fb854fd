package versions

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/store"
)

// planStore is a store with one object. Its zero value is empty.
type planStore struct {
	store.Store
	mu            sync.Mutex
	object        store.Object
	era           uint64
	down          bool
	reads, writes int
}

func (s *planStore) Get(context.Context, string, string) (store.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	switch {
	case s.down:
		return store.Object{}, store.ErrUnavailable
	case s.object.Version == 0:
		return store.Object{}, store.ErrNotFound
	}
	return s.object, nil
}

func (s *planStore) Put(_ context.Context, o store.Object) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return 0, store.ErrUnavailable
	case o.Version != s.object.Version:
		return 0, store.ErrConflict
	}
	s.writes++
	_, revision := store.SplitRevision(o.Version)
	o.Version = store.ComposeRevision(max(s.era, 1), revision+1)
	s.object = o
	return o.Version, nil
}

func (s *planStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *planStore) calls() (reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.writes
}

const (
	service  = "text"
	lifetime = 4 * time.Second // of its streams
)

// fleetTest is a fleet of entry VMs in virtual time.
type fleetTest struct {
	*is.I
	t     *testing.T
	store *planStore
	all   []*testVM
	// confirms holds the entry VMs that have to confirm a new plan; nil: none has to.
	confirms []*testVM
}

type testVM struct {
	*Keeper
	stop     func()
	cutOff   atomic.Bool   // from the store and from all other entry VMs
	majority atomic.Bool   // what InMajority returns
	lost     atomic.Bool   // what LostWithin returns: another entry VM is cut off
	adopted  atomic.Uint64 // revision of its plans
	ahead    atomic.Int64  // of its clock, in nanoseconds: the time for which it was suspended
}

// suspendableClock is the clock of an entry VM that has been suspended.
type suspendableClock struct {
	store.SystemClock
	vm *testVM
}

func (c suspendableClock) Now() time.Time { return time.Now().Add(time.Duration(c.vm.ahead.Load())) }

// vmStore is the store as one entry VM reaches it.
type vmStore struct {
	*planStore
	vm *testVM
}

func (s vmStore) Get(ctx context.Context, kind, name string) (store.Object, error) {
	if s.vm.cutOff.Load() {
		return store.Object{}, store.ErrUnavailable
	}
	return s.planStore.Get(ctx, kind, name)
}

func (s vmStore) Put(ctx context.Context, o store.Object) (uint64, error) {
	if s.vm.cutOff.Load() {
		return 0, store.ErrUnavailable
	}
	return s.planStore.Put(ctx, o)
}

// watch stands for the watches of an entry VM, which the store answers every two seconds.
func (s vmStore) watch(ctx context.Context) {
	for ctx.Err() == nil {
		if s.mu.Lock(); !s.down && !s.vm.cutOff.Load() {
			s.vm.NoteContact()
		}
		s.mu.Unlock()
		_ = store.SystemClock{}.Sleep(ctx, 2*time.Second)
	}
}

// inVirtualTime runs body with a fleet of n entry VMs that exchange starts and revisions at once.
func inVirtualTime(t *testing.T, n int, body func(f *fleetTest)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleetTest{I: is.New(t), t: t, store: &planStore{}}
		for range n {
			f.start()
		}
		defer func() {
			for _, vm := range f.all {
				vm.stop()
			}
		}()
		body(f)
	})
}

// start starts one more entry VM.
func (f *fleetTest) start() *testVM {
	ctx, cancel := context.WithCancel(context.Background())
	vm := &testVM{}
	rank := len(f.all)
	reached := vmStore{f.store, vm}
	vm.Keeper = New(Options{Store: reached, Confirmed: f.confirmed, Clock: suspendableClock{vm: vm}, OnPlans: func(revision uint64, _ []byte) { vm.adopted.Store(revision) }, Rank: func() int { return rank }, InMajority: vm.majority.Load, LostWithin: func(time.Duration) bool { return vm.lost.Load() }, OnStart: func(s Start) {
		for _, other := range f.all {
			if other != vm && !vm.cutOff.Load() && !other.cutOff.Load() {
				go other.Receive(s) // as a datagram: the sender holds a lock
			}
		}
	}})
	var done sync.WaitGroup
	done.Go(func() { _ = vm.Run(ctx) })
	done.Go(func() { reached.watch(ctx) })
	vm.stop = func() { cancel(); done.Wait() }
	f.all = append(f.all, vm)
	return vm
}

// confirmed reports whether all entry VMs in confirms can state that they have a revision.
func (f *fleetTest) confirmed(revision uint64) bool {
	for _, vm := range f.confirms {
		if vm.cutOff.Load() || vm.adopted.Load() < revision {
			return false
		}
	}
	return true
}

// restart kills all entry VMs and starts as many.
func (f *fleetTest) restart() {
	n := len(f.all)
	for _, vm := range f.all {
		vm.stop()
	}
	f.all = nil
	for range n {
		f.start()
	}
}

// serve tells all entry VMs which upstreams serve.
func (f *fleetTest) serve(serving map[string]int, unversioned int) {
	for _, vm := range f.all {
		vm.SetServices(map[string]Service{service: {Serving: serving, Unversioned: unversioned, Lifetime: lifetime}})
	}
}

// tellRevisions passes the revision of each entry VM to the others, as each datagram does.
func (f *fleetTest) tellRevisions() {
	for _, from := range f.all {
		for _, to := range f.all {
			if from.cutOff.Load() || to.cutOff.Load() {
				continue
			}
			to.NoteRevision(from.Revision())
		}
	}
}

// begin begins n streams at the entry VMs in turn and returns their versions.
func (f *fleetTest) begin(name string, n int) []string {
	out := make([]string, n)
	for i := range out {
		vm := f.all[i%len(f.all)]
		id := NewStreamID(service, fmt.Sprint(name, i))
		v, err := vm.Begin(f.t.Context(), service, id, lifetime)
		if err != nil {
			f.t.Fatal(err)
		}
		vm.Began(service, id, v)
		out[i] = v
	}
	return out
}

// takeUp takes the streams up at other entry VMs than those of begin and returns how many go on. Each has to go on at its version.
func (f *fleetTest) takeUp(name string, began []string) (wentOn int) {
	f.t.Helper()
	for i, v := range began {
		if f.all[(i+1)%len(f.all)].goesOn(f.t, fmt.Sprint(name, i), v) {
			wentOn++
		}
	}
	return wentOn
}

// goesOn takes a stream up at the entry VM. If it goes on, it has to do so at the version at which it began.
func (vm *testVM) goesOn(t *testing.T, attempt, began string) bool {
	t.Helper()
	got, err := vm.Continue(t.Context(), service, NewStreamID(service, attempt), lifetime)
	if err == nil && got != began {
		t.Errorf("stream %s began at %s and goes on at %s", attempt, began, got)
	}
	return err == nil
}
