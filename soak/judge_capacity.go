package soak

import (
	"net/http"
	"strings"
	"time"

	"bergamotcroft.example/bergamot/platform/standin"
)

func (o *observations) recordOrder(order capacityOrder) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.capacityOrders = append(o.capacityOrders, order)
}

// judgeCapacity checks the orders for servers, and what became of requests while servers were taken away.
func (o *observations) judgeCapacity(timed bool, add addFinding) {
	for _, b := range o.capacityBreaches {
		add("one holder at a time orders servers, up to the maximum", "%s", b)
	}
	if timed {
		o.judgeWorkAtTheEnd(add)
	}
	for _, r := range o.reclaims {
		o.judgeRequestsAtReclaim(r, add)
		if timed && o.entriesUndisturbed(r.from.Add(-settleTime), r.from.Add(orderWithin+timedMargin)) {
			o.judgeReplacement(r, add)
		}
	}
}

// judgeRequestsAtReclaim checks that requests which may run again, or go on elsewhere, are answered or refused without a run.
func (o *observations) judgeRequestsAtReclaim(r reclaim, add addFinding) {
	for i := range o.calls {
		c := &o.calls[i]
		may := strings.HasPrefix(c.Path, scaledPrefix+"read/") || strings.HasPrefix(c.Path, scaledPrefix+"resume/")
		refused := c.Status == http.StatusServiceUnavailable || c.Status == http.StatusTooManyRequests
		late := c.Ended.Sub(c.began) >= min(c.Deadline, standin.RouteTimeout(c.Path, routeTimeout))
		if may && r.overlaps(c.began, c.Ended) && !c.Whole && !refused && !late && c.entry.undisturbed(c.began, c.Ended) {
			add("requests at servers that are taken away go elsewhere", "%s at %s: status %d, error %v, %s after the notice, %d events, %d runs", c.ID, c.entry.name,
				c.Status, c.Err, c.Ended.Sub(r.from).Round(time.Millisecond), c.Events, len(o.runs[c.ID]))
		}
	}
}

// noticeMargin is the margin of the time within which servers that are taken away get no more work. They are gone 0.2 to 0.5 s after that
// time, so that timedMargin would leave nothing to judge.
const noticeMargin = 50 * time.Millisecond

// judgeWorkAtTheEnd checks that no request and no prompt reached a scaled server in the last part of its notice.
func (o *observations) judgeWorkAtTheEnd(add addFinding) {
	for id, runs := range o.runs {
		for _, r := range runs {
			leavingAt, leaving := o.leavingSince[r.Server]
			scaled := r.Service == scaledService || r.Service == scaledEngines
			if after := r.Arrived.Sub(leavingAt); scaled && leaving && after > leavingWithin+noticeMargin && (r.PromptOnly || !r.Started.IsZero()) &&
				o.entriesUndisturbed(leavingAt, r.Arrived) && o.linkUndisturbed(r.Server, leavingAt, r.Arrived) {
				add("servers that are taken away get no new work", "%s (prompt only: %v) reached %s %s after its notice", id, r.PromptOnly, r.Server, after)
			}
		}
	}
}

// judgeReplacement checks that servers are ordered in place of those that are taken away, where max leaves room.
func (o *observations) judgeReplacement(r reclaim, add addFinding) {
	added := o.replacements(r)
	for service, lost := range r.lost {
		if added[service] == 0 && lost > 0 && r.spare[service] > 0 {
			add("servers are ordered elsewhere", "%s lost %d in %s, and none were ordered within %s", service, lost, r.zone, orderWithin)
		}
	}
}

// replacements returns, by service, how many servers were ordered in time in place of those that were taken away.
func (o *observations) replacements(r reclaim) map[string]int {
	added := map[string]int{}
	for _, x := range o.capacityOrders {
		elsewhere := x.group.zone != r.zone || !x.group.preemptible
		if elsewhere && x.at.After(r.from) && x.at.Before(r.from.Add(orderWithin+timedMargin)) {
			added[x.group.service] += x.added
		}
	}
	return added
}

// brokenRuns returns how many runs ended with the servers that were taken away.
func (o *observations) brokenRuns(r reclaim) (n int) {
	for _, runs := range o.runs {
		for _, x := range runs {
			leavingAt, leaving := o.leavingSince[x.Server]
			if leaving && !x.Whole && x.Closed && leavingAt.Sub(r.from).Abs() < time.Second && x.Ended.Sub(leavingAt) >= minNotice && strings.HasPrefix(x.Path, scaledPrefix) {
				n++
			}
		}
	}
	return n
}
