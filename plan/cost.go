package plan

import (
	"math"
	"time"

	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/topo"
)

const bytesPerGigabyte = 1e9

// cost computes a plan's cost from its steps.
func (b *builder) cost() topo.Cost {
	var c topo.Cost
	b.addTimes(&c)
	b.addCapacity(&c)
	b.addWeights(&c)
	b.addKV(&c)
	b.addCredits(&c)
	return c
}

// addTimes adds the duration of the plan and the time that engines are out of service until it ends.
func (b *builder) addTimes(c *topo.Cost) {
	outSince := map[string]time.Duration{}
	at := time.Duration(0)
	for _, s := range b.steps {
		if s.Kind == topo.StepStopNewWork && s.Before == topo.UpstreamActive {
			outSince[s.Upstream] = at
		}
		at += s.Duration
		if since, out := outSince[s.Upstream]; out && s.Kind == topo.StepResumeWork {
			c.EngineSecondsOut += (at - since).Seconds()
			delete(outSince, s.Upstream)
		}
	}
	for _, since := range outSince {
		c.EngineSecondsOut += (at - since).Seconds()
	}
	c.TimeToFinish = at
}

// addCapacity adds the highest load share and the largest loss of capacity after any step, under the current load.
func (b *builder) addCapacity(c *topo.Cost) {
	start := b.snapshot.Configuration
	names := (&topo.Plan{Steps: b.steps}).Upstreams()
	use := WorstUse(start, b.snapshot.Loads, names)
	c.LoadShareOfRemaining = use.Share
	cfg := start
	for i := range b.steps {
		cfg, _ = ApplyStep(cfg, b.steps, i)
		c.LoadShareOfRemaining = max(c.LoadShareOfRemaining, WorstUse(cfg, b.snapshot.Loads, names).Share)
		c.CapacityLostShare = max(c.CapacityLostShare, capacityLost(start, cfg, b.snapshot.Loads, names))
	}
	c.Fits = c.LoadShareOfRemaining <= MaxLoadShare
}

func (b *builder) addWeights(c *topo.Cost) {
	for _, s := range b.steps {
		c.WeightBytes += b.downloadBytes(s)
	}
	if b.snapshot.WeightRate > 0 {
		c.WeightSeconds = float64(c.WeightBytes) / b.snapshot.WeightRate
	}
}

// addKV counts the cached pieces that move to a replacement, and those that an engine loses unless it is only drained.
func (b *builder) addKV(c *topo.Cost) {
	for _, s := range b.steps {
		if s.Kind != topo.StepWaitIdle {
			continue
		}
		pieces := b.snapshot.Loads[s.Upstream].KVPieces
		moved := 0
		if s.With != "" {
			if to := Find(b.snapshot.Configuration, s.With); to.Kind != topo.KindService {
				moved = min(pieces, max(0, to.KVPieces-b.snapshot.Loads[s.With].KVPieces))
			}
		}
		c.KVPiecesMoved += moved
		if b.intent.Action != topo.ActionDrain {
			c.KVPiecesLost += pieces - moved
		}
	}
}

func (b *builder) addCredits(c *topo.Cost) {
	cr := b.snapshot.Credits
	c.Credits = c.EngineSecondsOut*cr.PerEngineSecond + float64(c.WeightBytes)/bytesPerGigabyte*cr.PerGigabyte
	if math.IsNaN(c.Credits) || c.Credits < 0 {
		c.Credits = 0
	}
	late := !cr.Expires.IsZero() && b.snapshot.Now.Add(c.TimeToFinish).After(cr.Expires)
	c.CreditsExpireFirst = late || c.Credits > cr.Balance
}

// checkLastUpstream refuses a plan that permanently removes the last active upstream of a model or service in use.
func (b *builder) checkLastUpstream() error {
	cfg := b.snapshot.Configuration
	for i, s := range b.steps {
		if s.Kind == topo.StepStopNewWork && staysOut(b.steps, i) {
			if pool := EmptiedPool(cfg, s.Upstream); pool != "" {
				return result.New(result.PlanHeldBack, "%q is the last active upstream of %s, which is in use", s.Upstream, pool)
			}
		}
		cfg, _ = ApplyStep(cfg, b.steps, i)
	}
	return nil
}

// staysOut reports whether the upstream that step i takes out of service is not resumed by a later step.
func staysOut(steps []topo.Step, i int) bool {
	for _, s := range steps[i+1:] {
		if s.Upstream == steps[i].Upstream && s.Kind == topo.StepResumeWork {
			return false
		}
	}
	return true
}
