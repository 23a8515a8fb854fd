package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/kernel"
	"bergamotcroft.example/bergamot/policy"

	_ "bergamotcroft.example/bergamot/policy/spill"
)

// twoDataCentres returns a router of data centre a that asks spill.gain, and a fleet with two prefill and two decode engines in each
// of a and b. Engines 0, 2, 4 and 6 are in a.
func twoDataCentres(t *testing.T) (*Measured, *policy.Fleet) {
	p, f := newMeasured(t), measuredFleet(4, 4)
	gain, err := kernel.Load[policy.Spill]("spill.gain", nil)
	if err != nil {
		t.Fatal(err)
	}
	p.DataCentre, p.Spill = "a", gain
	for i, u := range f.Upstreams {
		u.Spec.DataCentre = []string{"a", "b"}[i%2]
	}
	return p, f
}

// movedOf returns how many of the next n requests go to b, while the shares settle over 2 s.
func movedOf(t *testing.T, p *Measured, f *policy.Fleet, n int, start time.Duration) (moved int) {
	is := is.New(t)
	for i := range 100 + n {
		r := longPrompt(uint64(i))
		r.ID = uint64(i)
		now := start + time.Duration(min(i, 100))*20*time.Millisecond
		for _, u := range f.Upstreams {
			u.ReportReceived = now
		}
		c := p.Route(now, r, f)
		prefill := f.Upstreams[c.Prefill].Spec.DataCentre
		is.Equal(f.Upstreams[c.Decode].Spec.DataCentre, prefill) // KV cache stays in a data centre
		is.Equal(r.SpillReason != policy.SpillNone, prefill == "b")
		if i >= 100 && prefill == "b" {
			moved++
		}
	}
	return moved
}

// Guards against prompts that leave a data centre with free engines or whose neighbours are as busy, and against prompts that stay where
// engines are too few, or where none accepts work.
func TestPromptsLeaveABusyDataCentre(t *testing.T) {
	is := is.New(t)
	p, f := twoDataCentres(t)
	is.Equal(movedOf(t, p, f, 200, 0), 0)
	setBacklog := func(dc string, tokens float64) {
		for _, u := range f.Upstreams {
			if u.Spec.DataCentre == dc {
				u.Report.PrefillTokens = tokens
			}
		}
	}
	setBacklog("a", 12000) // 0.28 s
	some := movedOf(t, p, f, 200, time.Minute)
	is.True(some > 0 && some < 200)
	setBacklog("a", 40000)
	is.True(movedOf(t, p, f, 200, 2*time.Minute) > some)
	setBacklog("b", 40000)
	is.Equal(movedOf(t, p, f, 200, 3*time.Minute), 0)
	for i := 0; i < 8; i += 2 {
		f.Upstreams[i].Accepting = false
	}
	is.Equal(movedOf(t, p, f, 200, 4*time.Minute), 200)
}

// Guards against a long prefix that is computed again although another data centre has it, against one that is fetched for more than its
// computation costs, and against outputs that are handed over to another data centre while the one of the prompt has room.
func TestPrefixesAndDecodersOfOtherDataCentres(t *testing.T) {
	is := is.New(t)
	p, f := twoDataCentres(t)
	r := longPrompt(3)
	f.Upstreams[1].Cache.Insert(0, r.Prefix)
	c := p.Route(0, r, f)
	is.Equal(c.Cached, len(r.Prefix)) // by a fetch or at its holder
	r.Prefill = 1
	f.Upstreams[5].OwnRunning, f.Upstreams[7].OwnRunning = 30, 31
	is.Equal(p.PickDecoder(0, r, f), 5)
	f.Upstreams[5].OwnRunning, f.Upstreams[7].OwnRunning = 64, 64
	is.Equal(f.Upstreams[p.PickDecoder(0, r, f)].Spec.DataCentre, "a")
	p.TokenBytes = 1e7 // 130 GB
	r = longPrompt(3)
	c = p.Route(time.Second, r, f)
	is.True(c.Source == nil)
}
