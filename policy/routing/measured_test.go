package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/policy/health"
	"bergamotcroft.example/bergamot/topo"
)

// measuredFleet returns a fleet of prefill engines followed by decode engines.
func measuredFleet(prompts, generating int) *policy.Fleet {
	f := &policy.Fleet{ByModel: map[string][]int{}, Health: &health.None{}}
	for i := range prompts + generating {
		role := topo.RolePrefill
		if i >= prompts {
			role = topo.RoleDecode
		}
		f.Upstreams = append(f.Upstreams, &policy.Upstream{
			Index: i, Accepting: true, Role: role, Hash: policy.Mix64(uint64(i) + 99), Cache: NewIndex(1000), Spec: topo.Upstream{MaxBatch: 64},
		})
		f.ByModel["m"] = append(f.ByModel["m"], i)
	}
	return f
}

func newMeasured(t *testing.T) *Measured {
	p := (*Measured)(nil).ModuleInfo().New().(*Measured)
	if err := p.Provision(); err != nil {
		t.Fatal(err)
	}
	if err := p.Validate(); err != nil {
		t.Fatal(err)
	}
	return p
}

func longPrompt(id uint64) *policy.Request {
	return &policy.Request{
		Model: "m", PromptTokens: 17000, Prefix: policy.PrefixPieces([]policy.Part{{ID: id, Tokens: 13000}}), ExpectedOutput: 100,
		Avoid: policy.None, AvoidDecode: policy.None,
	}
}

// Guards against rates learned mainly from prompts that waited behind others: such rates were two to three times too low, and
// requests were refused without need.
func TestRateRisesFasterThanItFalls(t *testing.T) {
	is := is.New(t)
	p, f := newMeasured(t), measuredFleet(1, 1)
	r := longPrompt(1)
	took := func(rate float64) time.Duration { return seconds(p.OverheadMS/1000 + 17000/rate) }
	for i := range 60 {
		rate := 100000.0
		if i%2 == 1 {
			rate = 30000 // behind another prompt
		}
		p.Learn(time.Duration(i)*time.Millisecond, r, f, took(rate), true)
	}
	is.True(p.rate(time.Second, f.Upstreams[0]) > 65000)
	for i := range 40 {
		p.Learn(time.Second+time.Duration(i)*time.Millisecond, r, f, took(20000), true)
	}
	is.True(p.rate(time.Second, f.Upstreams[0]) < 30000) // an engine that has become slow is detected
	typical := p.typicalRates[0]
	is.True(p.rate(time.Hour, f.Upstreams[0]) > 0.99*typical) // and is tried again after a while
	before := p.rate(time.Second, f.Upstreams[0])
	p.Learn(time.Second, r, f, time.Millisecond, false) // still under way and not late
	is.Equal(p.rate(time.Second, f.Upstreams[0]), before)
}

// Guards against computing shared parts at several engines: the prompt goes to the engine that has cached them, or they are
// fetched from it.
func TestCachedPiecesAreReused(t *testing.T) {
	is := is.New(t)
	p, f := newMeasured(t), measuredFleet(3, 3)
	r := longPrompt(7)
	f.Upstreams[4].Cache.Insert(0, r.Prefix)
	c := p.Route(0, r, f)
	is.Equal(c.Cached, len(r.Prefix))
	is.True(c.Prefill == 4 || c.Source == f.Upstreams[4])
	f.Upstreams[4].OwnPrefill, f.Upstreams[4].OwnPrefillBy[0] = 200000, 200000 // busy for seconds
	c = p.Route(0, r, f)
	is.True(c.Prefill != 4)
	is.Equal(c.Source, f.Upstreams[4])
	f.Upstreams[4].Computing = map[uint64]int{r.Prefix[0]: 1} // the pieces are not computed yet
	is.True(p.Route(0, r, f).Source == nil)
}

// Guards against entry VMs that each compute a new shared part at a different engine.
func TestEntryVMsAgreeOnHomeEngine(t *testing.T) {
	is := is.New(t)
	f := measuredFleet(4, 4)
	for id := range uint64(20) {
		first := newMeasured(t).Route(0, longPrompt(id), f).Prefill
		for seed := range uint64(5) {
			p := newMeasured(t)
			p.Seed = seed
			is.NoErr(p.Provision())
			is.Equal(p.Route(0, longPrompt(id), f).Prefill, first)
		}
	}
}

// Guards against handing a computed prompt over to an engine that accepts no new work.
func TestPickDecoderSkipsNonAcceptingEngines(t *testing.T) {
	is := is.New(t)
	p, f := newMeasured(t), measuredFleet(2, 3)
	f.Upstreams[2].Accepting = false
	f.Upstreams[3].OwnRunning = 60
	for range 20 {
		is.Equal(p.PickDecoder(0, longPrompt(1), f), 4)
	}
	f.Upstreams[3].Accepting, f.Upstreams[4].Accepting = false, false
	is.Equal(p.PickDecoder(0, longPrompt(1), f), policy.None)
}

// Guards against pieces that differ between prompts with the same parts, or are equal for prompts with different parts.
func TestPrefixPieces(t *testing.T) {
	is := is.New(t)
	a := policy.PrefixPieces([]policy.Part{{ID: 1, Tokens: 2500}, {ID: 2, Tokens: 1600}})
	b := policy.PrefixPieces([]policy.Part{{ID: 1, Tokens: 2500}, {ID: 3, Tokens: 1600}})
	is.Equal(len(a), 4)
	is.Equal(a[:2], b[:2])
	is.True(a[2] != b[2] && a[3] != b[3])
	is.Equal(len(policy.PrefixPieces(nil)), 0)
}
