package routing

import (
	"testing"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/policy"
)

// Guards against prompts that are computed beside streams with little time for a token: at load, each chunk delays all of them.
// Without streams, or without a strict pace, the engine that needs no hand-over stays the better choice.
func TestPromptsKeepAwayFromStreamsWithAStrictPace(t *testing.T) {
	is := is.New(t)
	for _, x := range []struct {
		strict  bool
		streams int
		apart   bool
	}{{true, 0, false}, {false, 16, false}, {true, 16, true}} {
		p, f := newMeasured(t), measuredFleet(1, 1)
		p.DecodeRate, p.PrefillRate = 60000, 60000
		is.NoErr(p.Provision())
		for _, u := range f.Upstreams {
			u.Spec.StrictPace = x.strict
		}
		f.Upstreams[1].OwnRunning = x.streams
		r := &policy.Request{Model: "m", PromptTokens: 1460, Prefill: policy.None, Decode: policy.None, Avoid: policy.None, AvoidDecode: policy.None}
		c := p.Route(0, r, f)
		is.Equal(c.Prefill != c.Decode, x.apart)
	}
}
