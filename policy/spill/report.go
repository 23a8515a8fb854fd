package spill

import (
	"math"
	"time"

	"bergamotcroft.example/bergamot/policy"
)

// bytesPerToken estimates the bytes of a prompt's text, since policies don't see the body.
const bytesPerToken = 4

var reasonNames = map[policy.SpillReason]string{
	policy.SpillShortage: "shortage", policy.SpillPrefix: "prefix", policy.SpillOnly: "no_engine_here",
}

// Sent implements policy.Spill.
func (p *Gain) Sent(r *policy.Request, from, to string, reason policy.SpillReason) {
	if p.OnSent == nil {
		return
	}
	name := reasonNames[reason]
	if name == "" {
		name = "other"
	}
	p.OnSent(from, to, name, r.PromptTokens*bytesPerToken)
}

// reportChange passes a noticeable change of a share to OnChange.
func (p *Gain) reportChange(now time.Duration, model, here string, t *share) {
	began, ended := t.reported == 0 && t.share > negligibleShare, t.reported > 0 && t.share == 0
	if !began && !ended && math.Abs(t.share-t.reported) < minReportedChange {
		return
	}
	if t.reportedAt != 0 && now-t.reportedAt < reportInterval {
		return
	}
	if p.OnChange != nil {
		p.OnChange(model, here, t.dataCentre, t.reported, t.share)
	}
	t.reported, t.reportedAt = t.share, now
}
