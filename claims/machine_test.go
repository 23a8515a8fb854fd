package claims

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	_ "bergamotcroft.example/bergamot/internal/fixedseed"

	"bergamotcroft.example/bergamot/membership"
	"bergamotcroft.example/bergamot/store"
)

var machineSteps = flag.Int("claims.steps", 120, "steps in each run of the state machine; rapid makes 100 runs by default")

// machine runs guards on one store and steps through their store and peer calls one at a time, so that every interleaving of
// calls, lost answers, delayed writes, outages, pauses and restarts can come up. A guard whose calls are not stepped is paused;
// a restarted guard's predecessor lives on and may wake at any time.
type machine struct {
	pick func(n int, what string) int
	ctx  context.Context

	store   *memory
	net     *network
	views   [machineGuards]*members
	guards  [machineGuards]*Service
	boots   [machineGuards]uint64
	unsafe  bool
	held    []*heldGrant
	running sync.WaitGroup

	mu      sync.Mutex
	blocked []*blockedCall
	delayed []func() // writes whose answer was given as unknown, and which land later
	granted map[string]int
	broken  string
	grants  int
	answers map[string]string
}

type heldGrant struct {
	grant Grant
	key   string
}

// blockedCall is a call that waits for a step.
type blockedCall struct {
	write func() (uint64, error) // nil: another call
	go_   chan func() (uint64, error)
}

const (
	machineGuards = 3
	machineKeys   = 3
)

func newMachine(ctx context.Context, pick func(int, string) int, unsafe bool) *machine {
	m := &machine{pick: pick, ctx: ctx, store: newMemory(), net: newNetwork(), unsafe: unsafe, granted: map[string]int{},
		answers: map[string]string{}}
	m.net.before = m.peerCall
	m.net.after = m.peerCall
	for i := range machineGuards {
		m.boots[i] = 1
	}
	for i := range machineGuards {
		m.boot(i)
	}
	return m
}

func vm(i int) string { return fmt.Sprint("vm", i) }

func (m *machine) boot(i int) {
	m.views[i] = &members{self: member(vm(i), m.boots[i])}
	m.view(i)
	g, err := New(Options{Store: &steppedStore{m.store, m}, Members: m.views[i], Peer: m.net, Retention: 1000 * time.Hour})
	if err != nil {
		panic(err)
	}
	for _, b := range g.shards {
		b.state.unchecked = m.unsafe
	}
	m.guards[i] = g
	m.net.set(vm(i), g)
	m.running.Go(func() { _ = g.Run(m.ctx) })
}

// view draws what a guard believes of the others. Beliefs differ, so that several guards own a shard at once.
func (m *machine) view(i int) {
	all := []membership.Member{m.views[i].self}
	for j := range machineGuards {
		if j != i && m.pick(3, "sees") > 0 {
			all = append(all, member(vm(j), m.boots[j]))
		}
	}
	m.views[i].set(all)
}

func (m *machine) block(ctx context.Context, write func() (uint64, error)) (uint64, error) {
	c := &blockedCall{write: write, go_: make(chan func() (uint64, error), 1)}
	m.mu.Lock()
	m.blocked = append(m.blocked, c)
	m.mu.Unlock()
	select {
	case f := <-c.go_:
		return f()
	case <-ctx.Done(): // the call is given up; a write may land all the same
		m.mu.Lock()
		defer m.mu.Unlock()
		for i, x := range m.blocked {
			if x == c {
				m.blocked = append(m.blocked[:i], m.blocked[i+1:]...)
				if write != nil {
					m.delayed = append(m.delayed, func() { _, _ = write() })
				}
			}
		}
		return 0, ctx.Err()
	}
}

func (m *machine) peerCall(ctx context.Context) error {
	_, err := m.block(ctx, nil)
	return err
}

// steppedStore blocks each call until a step lets it go on.
type steppedStore struct {
	*memory
	m *machine
}

func (s *steppedStore) Get(ctx context.Context, kind, name string) (store.Object, error) {
	if _, err := s.m.block(ctx, nil); err != nil {
		return store.Object{}, err
	}
	return s.memory.Get(ctx, kind, name)
}

func (s *steppedStore) Put(ctx context.Context, o store.Object) (uint64, error) {
	return s.m.block(ctx, func() (uint64, error) { return s.memory.Put(ctx, o) })
}

func (m *machine) step() {
	switch m.pick(12, "step") {
	case 0, 1:
		m.begin()
	case 2, 3, 4, 5, 6:
		m.advance()
	case 7:
		m.land()
	case 8:
		m.end()
	case 9:
		m.view(m.pick(machineGuards, "view"))
	case 10:
		i := m.pick(machineGuards, "restart")
		if m.pick(4, "really") == 0 {
			m.boots[i]++
			m.boot(i)
		}
	case 11:
		pauses := []time.Duration{10 * time.Millisecond, 100 * time.Millisecond, 3 * time.Second, 70 * time.Minute}
		weights := []int{0, 0, 0, 1, 1, 1, 2, 3}
		time.Sleep(pauses[weights[m.pick(len(weights), "pause")]])
	}
	synctest.Wait()
}

func (m *machine) begin() {
	g, key := m.guards[m.pick(machineGuards, "guard")], fmt.Sprint("key", m.pick(machineKeys, "key"))
	ctx, cancel := context.WithTimeout(m.ctx, 4*time.Second)
	m.running.Go(func() {
		defer cancel()
		grant, a, _ := g.Begin(ctx, "caller", key, 7)
		m.mu.Lock()
		defer m.mu.Unlock()
		if grant != nil {
			m.grants++
			m.granted[key]++
			if m.granted[key] > 1 {
				m.broken = fmt.Sprintf("%s is granted %d times", key, m.granted[key])
			}
			m.held = append(m.held, &heldGrant{grant, key})
		}
		if a != nil && string(a.Body) != m.answers[key] {
			m.broken = fmt.Sprintf("%s is answered %q instead of %q", key, a.Body, m.answers[key])
		}
	})
}

// advance lets one call go on: as asked, with a lost answer, late, or refused.
func (m *machine) advance() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.blocked) == 0 {
		return
	}
	i := m.pick(len(m.blocked), "call")
	c := m.blocked[i]
	m.blocked = append(m.blocked[:i], m.blocked[i+1:]...)
	mode := m.pick(10, "mode")
	switch {
	case c.write == nil && mode < 8:
		c.go_ <- func() (uint64, error) { return 0, nil }
	case c.write == nil:
		c.go_ <- func() (uint64, error) { return 0, store.ErrUnavailable }
	case mode < 5:
		c.go_ <- c.write
	case mode < 7: // takes effect, and the answer is lost
		c.go_ <- func() (uint64, error) { _, _ = c.write(); return 0, store.ErrOutcomeUnknown }
	case mode < 9: // takes effect later, or never
		m.delayed = append(m.delayed, func() { _, _ = c.write() })
		c.go_ <- func() (uint64, error) { return 0, store.ErrOutcomeUnknown }
	default:
		c.go_ <- func() (uint64, error) { return 0, store.ErrRateLimited }
	}
}

func (m *machine) land() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.delayed) == 0 {
		return
	}
	i := m.pick(len(m.delayed), "late write")
	m.delayed[i]()
	m.delayed = append(m.delayed[:i], m.delayed[i+1:]...)
}

// end finishes or releases a grant, at any later time: a paused holder wakes.
func (m *machine) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.held) == 0 {
		return
	}
	i := m.pick(len(m.held), "grant")
	h := m.held[i]
	m.held = append(m.held[:i], m.held[i+1:]...)
	switch m.pick(3, "end") {
	case 0:
		m.answers[h.key] = fmt.Sprint("answer ", m.grants)
		h.grant.Finish(&Answer{Status: 200, Body: []byte(m.answers[h.key])})
	case 1:
		h.grant.Finish(nil)
	default:
		m.granted[h.key]--
		h.grant.Release()
	}
}

// close lets all goroutines of the run end.
func (m *machine) close(cancel func()) {
	cancel()
	m.running.Wait()
	time.Sleep(time.Minute)
}

// inBubble runs f on virtual time. rapid steers by panics, which are carried out of the bubble.
func inBubble(t *testing.T, f func(t *testing.T)) {
	var p any
	synctest.Test(t, func(t *testing.T) {
		defer func() { p = recover() }()
		f(t)
	})
	if p != nil {
		panic(p)
	}
}

// Guards against any interleaving in which a key is granted twice.
func TestAtMostOneGrant(t *testing.T) {
	grants, steps := 0, 0
	rapid.Check(t, func(r *rapid.T) {
		inBubble(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			m := newMachine(ctx, func(n int, what string) int { return rapid.IntRange(0, n-1).Draw(r, what) }, false)
			defer m.close(cancel)
			for range *machineSteps {
				m.step()
				steps++
				if m.broken != "" {
					r.Fatal(m.broken)
				}
			}
			grants += m.grants
		})
	})
	t.Logf("%d steps, %d grants", steps, grants)
	if grants < 100 {
		t.Errorf("only %d grants in %d steps: the machine tests little", grants, steps)
	}
}

// Shows that the check above notices a guard without the version condition.
func TestCheckCatchesUnconditionalWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for seed := uint64(1); seed <= 200; seed++ {
			rng := rand.New(rand.NewPCG(seed, 0))
			ctx, cancel := context.WithCancel(t.Context())
			m := newMachine(ctx, func(n int, _ string) int { return rng.IntN(n) }, true)
			for range *machineSteps {
				m.step()
			}
			m.close(cancel)
			if m.broken != "" {
				t.Logf("seed %d: %s", seed, m.broken)
				return
			}
		}
		t.Error("200 runs without the version condition broke no rule")
	})
}
