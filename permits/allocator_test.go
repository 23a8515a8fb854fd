package permits

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "bergamotcroft.example/bergamot/internal/fixedseed"
)

// take allocates for a time in rounds and returns the permits of each VM, which keeps its demand.
func (b *budget) take(now *time.Time, d time.Duration, perSecond float64, demands map[string]demand) map[string]int {
	got := map[string]int{}
	for end := now.Add(d); now.Before(end); *now = now.Add(roundInterval) {
		for vm, d := range demands {
			b.ask(vm, d, now.Add(askLifetime))
		}
		for _, g := range b.allocate(*now, perSecond) {
			got[g.vm] += g.n
		}
	}
	return got
}

// Guards against a VM that gets two turns for each one of the others, after its asks have been missing for a while.
func TestTurnsAfterAnAskHasExpired(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	b := newAllocator().begin(now, 1, 0)
	both := map[string]demand{"a": {0: 3}, "b": {0: 3}}
	b.take(&now, 2*time.Second, 10, both)
	b.take(&now, 2*time.Second, 0, map[string]demand{"b": {0: 3}})
	got := b.take(&now, 10*time.Second, 10, both)
	is.True(got["a"]-got["b"] <= 1 && got["b"]-got["a"] <= 1)
	is.Equal(len(b.byLevel[0].turns), 2)
}

// Guards against levels that do not share by weight, and against expected requests that get permits while others wait.
func TestLevelsShareByWeight(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	b := newAllocator().begin(now, 1, 0)
	got := b.take(&now, 60*time.Second, 20, map[string]demand{"once": {2: 5}, "read": {3: 5}, "expected": {expected: 5}})
	is.True(got["once"] >= 2*got["read"]-2 && got["once"] <= 2*got["read"]+2)
	is.Equal(got["expected"], 0)
}

// Guards against more permits than have accrued, and against budgets that lose count of the VMs with demand.
func TestBudgetsKeepCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(100, 0)
		began := now
		const perSecond = 7.0
		b := newAllocator().begin(now, 1, 0)
		b.limit.perSecond = perSecond
		granted := 0.0
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			vm := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "vm")
			var d demand
			d[rapid.IntRange(0, levels-1).Draw(t, "level")] = rapid.IntRange(0, 4).Draw(t, "n")
			b.ask(vm, d, now.Add(time.Duration(rapid.IntRange(-100, 500).Draw(t, "lifetime"))*time.Millisecond))
			for _, g := range b.allocate(now, perSecond) {
				granted += float64(g.n)
			}
			for level := range levels {
				vms := 0
				for _, r := range b.asking {
					if r.demand[level] > 0 {
						vms++
					}
				}
				if vms != b.byLevel[level].vms || len(b.byLevel[level].turns) < vms || len(b.byLevel[level].turns) > 3 {
					t.Fatalf("level %d: %d VMs with demand, counted %d, %d turns", level, vms, b.byLevel[level].vms, len(b.byLevel[level].turns))
				}
			}
			if granted > perSecond*now.Sub(began).Seconds() {
				t.Fatalf("%g permits granted in %s", granted, now.Sub(began))
			}
		}
	})
}
