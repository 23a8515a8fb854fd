package lease

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	emulator "bergamotcroft.example/bergamot/emulator/platform"
	"bergamotcroft.example/bergamot/membership"
)

// fakeMembership is the member list of all managers in a test. It shows a VM that has died as uncertain after detectionDelay.
type fakeMembership struct {
	mu   sync.Mutex
	died map[string]time.Time
	all  []membership.Member
}

const (
	detectionDelay = 5 * time.Second
	handBackAfter  = 2 * time.Minute
)

type memberList struct {
	membership.List
	c *fakeMembership
}

func (v memberList) Members() []membership.Member {
	v.c.mu.Lock()
	defer v.c.mu.Unlock()
	members := slices.Clone(v.c.all)
	for i, m := range members {
		if at, ok := v.c.died[m.Name]; ok && time.Since(at) > detectionDelay {
			members[i].State = membership.Uncertain
		}
	}
	return members
}

type vm struct {
	*Manager
	kill context.CancelFunc
	dead chan struct{}
}

// startManagers runs n managers. A killed manager releases no lease.
func startManagers(ctx context.Context, wg *sync.WaitGroup, n int, store *emulator.Store) (*fakeMembership, []*vm) {
	c := &fakeMembership{died: map[string]time.Time{}}
	for i := range n {
		c.all = append(c.all, membership.Member{Name: fmt.Sprintf("vm%04d", i), State: membership.Alive})
	}
	var vms []*vm
	for i, m := range c.all {
		ctx, kill := context.WithCancel(ctx)
		v := &vm{New(Options{Store: store, Members: memberList{c: c}, Name: m.Name, Incarnation: 1, Seed: uint64(i + 1), HandBackAfter: handBackAfter}), kill, make(chan struct{})}
		vms = append(vms, v)
		wg.Go(func() {
			defer close(v.dead)
			for ctx.Err() == nil {
				_ = v.opt.Clock.Sleep(ctx, v.Step(ctx))
			}
		})
	}
	return c, vms
}

// heldGroups returns the number of groups with a holder among the live VMs.
func heldGroups(c *fakeMembership, vms []*vm) int {
	n := 0
	for _, v := range vms {
		c.mu.Lock()
		_, gone := c.died[v.opt.Name]
		c.mu.Unlock()
		if !gone {
			n += len(v.Groups())
		}
	}
	return n
}

func (c *fakeMembership) kill(v *vm) {
	v.kill()
	<-v.dead
	c.mu.Lock()
	defer c.mu.Unlock()
	c.died[v.opt.Name] = time.Now()
}

// callRates returns the average reads and writes per second of the store over d, and the total of the worst second.
func callRates(store *emulator.Store, d time.Duration) (reads, writes, worst float64) {
	first := store.Counts()
	for end := time.Now().Add(d); time.Now().Before(end); {
		before := store.Counts()
		time.Sleep(time.Second)
		now := store.Counts()
		worst = max(worst, float64(now.Reads+now.Writes-before.Reads-before.Writes))
	}
	last := store.Counts()
	return float64(last.Reads-first.Reads) / d.Seconds(), float64(last.Writes-first.Writes) / d.Seconds(), worst
}

// Guards against a group that stays without a holder, and against store calls that grow with the fleet: at rest, when a tenth
// of the VMs die together, and after a store outage, in which no lease may change its holder.
func TestTakeOverAndStoreCalls(t *testing.T) {
	for _, n := range []int{8, 32, 128} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			store := emulator.New(emulator.Options{Seed: uint64(n)})
			store.SetFaults(emulator.Faults{Delay: 5 * time.Millisecond})
			ctx, cancel := context.WithCancel(t.Context())
			var wg sync.WaitGroup
			c, vms := startManagers(ctx, &wg, n, store)
			time.Sleep(time.Minute)
			is.Equal(heldGroups(c, vms), DefaultGroups)
			reads, writes, worst := callRates(store, time.Minute)
			t.Logf("nodes=%d at rest: reads_per_s=%.1f writes_per_s=%.1f worst_second=%.0f", n, reads, writes, worst)

			dead := max(1, n/10)
			for _, v := range vms[:dead] {
				c.kill(v)
			}
			lost := DefaultGroups - heldGroups(c, vms)
			died := time.Now()
			taken := func() { reads, writes, worst = callRates(store, 20*time.Second) }
			wg.Go(taken)
			for heldGroups(c, vms) < DefaultGroups && time.Since(died) < time.Minute {
				time.Sleep(100 * time.Millisecond)
			}
			without := time.Since(died)
			time.Sleep(20 * time.Second)
			t.Logf("nodes=%d dead=%d groups=%d: without_authority_s=%.1f reads_per_s=%.1f writes_per_s=%.1f worst_second=%.0f",
				n, dead, lost, without.Seconds(), reads, writes, worst)
			is.True(without < 2*DefaultTerm)

			before := holders(c, vms)
			store.SetFaults(emulator.Faults{Down: true})
			time.Sleep(time.Minute)
			is.Equal(heldGroups(c, vms), 0) // no lease outlasts its term during the outage
			store.SetFaults(emulator.Faults{Delay: 5 * time.Millisecond})
			reads, writes, worst = callRates(store, 10*time.Second)
			t.Logf("nodes=%d after an outage: reads_per_s=%.1f writes_per_s=%.1f worst_second=%.0f", n, reads, writes, worst)
			time.Sleep(20 * time.Second)
			is.Equal(holders(c, vms), before)
			is.True(worst < 300)
			cancel()
			wg.Wait()
		})
	}
}

// holders returns the live holder of each group.
func holders(c *fakeMembership, vms []*vm) map[int]string {
	h := map[int]string{}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, v := range vms {
		if _, gone := c.died[v.opt.Name]; !gone {
			for _, g := range v.Groups() {
				h[g] = v.opt.Name
			}
		}
	}
	return h
}

// Guards against groups that don't return to their preferred holder, or return all at once.
func TestGroupsReturnOneByOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := emulator.New(emulator.Options{Seed: 9})
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		c, vms := startManagers(ctx, &wg, 4, store)
		time.Sleep(time.Minute)
		usual := holders(c, vms)
		c.kill(vms[0])
		vms[0].Release(ctx)
		time.Sleep(time.Minute)
		moved := holders(c, vms)
		is.True(len(moved) == DefaultGroups)
		c.mu.Lock()
		delete(c.died, vms[0].opt.Name)
		c.mu.Unlock()
		again := &vm{New(Options{Store: store, Members: memberList{c: c}, Name: vms[0].opt.Name, Incarnation: 2, Seed: 50, HandBackAfter: handBackAfter}), nil, nil}
		vms[0] = again
		wg.Go(func() {
			for ctx.Err() == nil {
				_ = again.opt.Clock.Sleep(ctx, again.Step(ctx))
			}
		})
		time.Sleep(handBackAfter / 2)
		is.Equal(holders(c, vms), moved) // the preferred holder must have been alive for longer
		last := 0
		for range 40 {
			time.Sleep(handBackAfter / 20)
			now := len(again.Groups())
			is.True(now-last <= 3) // each of the three others gives up at most one group in 3/40 of the time
			last = now
		}
		is.Equal(holders(c, vms), usual)
		cancel()
		wg.Wait()
	})
}
