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

// machine runs guards on one store and releases their store and peer calls one at a time, so that any interleaving of
// calls, lost answers, delayed writes, outages, pauses and restarts can occur. A guard whose calls are not released is
// paused. The predecessor of a restarted guard keeps running and may resume at any time.
type machine struct {
	pick func(n int, what string) int
	ctx  context.Context

	store         *memoryStore
	net           *fakeNetwork
	views         [machineGuards]*fakeMembers
	guards        [machineGuards]*Service
	boots         [machineGuards]uint64
	unconditional bool
	held          []*heldGrant
	running       sync.WaitGroup

	mu         sync.Mutex
	blocked    []*blockedCall
	delayed    []func() // writes that were answered with an unknown outcome and may take effect later
	granted    map[string]int
	violation  string
	grantCount int
	answers    map[string]string
}

type heldGrant struct {
	grant Grant
	key   string
}

// blockedCall is a call that blocks until a step releases it.
type blockedCall struct {
	write  func() (uint64, error) // nil: the call is not a write
	resume chan func() (uint64, error)
}

const (
	machineGuards = 3
	machineKeys   = 3
)

func newMachine(ctx context.Context, pick func(int, string) int, unconditional bool) *machine {
	m := &machine{pick: pick, ctx: ctx, store: newMemoryStore(), net: newFakeNetwork(), unconditional: unconditional, granted: map[string]int{},
		answers: map[string]string{}}
	m.net.before = m.peerCall
	m.net.after = m.peerCall
	for i := range machineGuards {
		m.boots[i] = 1
	}
	for i := range machineGuards {
		m.startGuard(i)
	}
	return m
}

func vmName(i int) string { return fmt.Sprint("vm", i) }

func (m *machine) startGuard(i int) {
	m.views[i] = &fakeMembers{self: member(vmName(i), m.boots[i])}
	m.drawView(i)
	g, err := New(Options{Store: &steppedStore{m.store, m}, Members: m.views[i], Peer: m.net, Retention: 1000 * time.Hour})
	if err != nil {
		panic(err)
	}
	for _, b := range g.shards {
		b.state.unconditional = m.unconditional
	}
	m.guards[i] = g
	m.net.set(vmName(i), g)
	m.running.Go(func() { _ = g.Run(m.ctx) })
}

// drawView draws the member list of a guard. The lists differ between guards, so that several guards may consider
// themselves the owner of a shard.
func (m *machine) drawView(i int) {
	all := []membership.Member{m.views[i].self}
	for j := range machineGuards {
		if j != i && m.pick(3, "sees") > 0 {
			all = append(all, member(vmName(j), m.boots[j]))
		}
	}
	m.views[i].set(all)
}

func (m *machine) block(ctx context.Context, write func() (uint64, error)) (uint64, error) {
	c := &blockedCall{write: write, resume: make(chan func() (uint64, error), 1)}
	m.mu.Lock()
	m.blocked = append(m.blocked, c)
	m.mu.Unlock()
	select {
	case f := <-c.resume:
		return f()
	case <-ctx.Done(): // the call is cancelled, but a write may still take effect
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

// steppedStore blocks each call until a step releases it.
type steppedStore struct {
	*memoryStore
	m *machine
}

func (s *steppedStore) Get(ctx context.Context, kind, name string) (store.Object, error) {
	if _, err := s.m.block(ctx, nil); err != nil {
		return store.Object{}, err
	}
	return s.memoryStore.Get(ctx, kind, name)
}

func (s *steppedStore) Put(ctx context.Context, o store.Object) (uint64, error) {
	return s.m.block(ctx, func() (uint64, error) { return s.memoryStore.Put(ctx, o) })
}

func (m *machine) step() {
	switch m.pick(12, "step") {
	case 0, 1:
		m.begin()
	case 2, 3, 4, 5, 6:
		m.releaseCall()
	case 7:
		m.applyDelayedWrite()
	case 8:
		m.endGrant()
	case 9:
		m.drawView(m.pick(machineGuards, "view"))
	case 10:
		i := m.pick(machineGuards, "restart")
		if m.pick(4, "really") == 0 {
			m.boots[i]++
			m.startGuard(i)
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
			m.grantCount++
			m.granted[key]++
			if m.granted[key] > 1 {
				m.violation = fmt.Sprintf("%s is granted %d times", key, m.granted[key])
			}
			m.held = append(m.held, &heldGrant{grant, key})
		}
		if a != nil && string(a.Body) != m.answers[key] {
			m.violation = fmt.Sprintf("%s is answered %q instead of %q", key, a.Body, m.answers[key])
		}
	})
}

// releaseCall releases one blocked call: as sent, with a lost answer, with a delayed effect, or refused.
func (m *machine) releaseCall() {
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
		c.resume <- func() (uint64, error) { return 0, nil }
	case c.write == nil:
		c.resume <- func() (uint64, error) { return 0, store.ErrUnavailable }
	case mode < 5:
		c.resume <- c.write
	case mode < 7: // takes effect, and the answer is lost
		c.resume <- func() (uint64, error) { _, _ = c.write(); return 0, store.ErrOutcomeUnknown }
	case mode < 9: // takes effect later, or never
		m.delayed = append(m.delayed, func() { _, _ = c.write() })
		c.resume <- func() (uint64, error) { return 0, store.ErrOutcomeUnknown }
	default:
		c.resume <- func() (uint64, error) { return 0, store.ErrRateLimited }
	}
}

func (m *machine) applyDelayedWrite() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.delayed) == 0 {
		return
	}
	i := m.pick(len(m.delayed), "late write")
	m.delayed[i]()
	m.delayed = append(m.delayed[:i], m.delayed[i+1:]...)
}

// endGrant finishes or releases a grant at any later time, as a holder that resumes from a pause does.
func (m *machine) endGrant() {
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
		m.answers[h.key] = fmt.Sprint("answer ", m.grantCount)
		h.grant.Finish(&Answer{Status: 200, Body: []byte(m.answers[h.key])})
	case 1:
		h.grant.Finish(nil)
	default:
		m.granted[h.key]--
		h.grant.Release()
	}
}

// close stops the run and waits for its goroutines.
func (m *machine) close(cancel func()) {
	cancel()
	m.running.Wait()
	time.Sleep(time.Minute)
}

// inBubble runs f in a synctest bubble. It passes panics on to the caller, since rapid uses them for control flow.
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

// Guards against interleavings in which a key is granted twice.
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
				if m.violation != "" {
					r.Fatal(m.violation)
				}
			}
			grants += m.grantCount
		})
	})
	t.Logf("%d steps, %d grants", steps, grants)
	if grants < 100 {
		t.Errorf("only %d grants in %d steps: the machine tests little", grants, steps)
	}
}

// Verifies that the check of TestAtMostOneGrant detects writes without the version condition.
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
			if m.violation != "" {
				t.Logf("seed %d: %s", seed, m.violation)
				return
			}
		}
		t.Error("200 runs without the version condition broke no rule")
	})
}
