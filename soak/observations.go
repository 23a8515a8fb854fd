package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"bergamotcroft.example/bergamot/platform/standin"
)

// observations holds what clients and upstreams observed in a run.
type observations struct {
	mu               sync.Mutex
	calls            []call
	runs             map[string][]standin.Run // by attempt
	leavingSince     map[string]time.Time     // by upstream: when the store marked it as leaving
	linkDisturbances map[string][]interval    // by upstream: when it or the link to it was disturbed
	crashOutages     map[string][]interval    // by upstream: when it was down after a request crashed it
	quietPeriods     []quietPeriod            // in which upstreams asked for no requests
	limitPeriods     []limitPeriod            // in which upstreams named a limit
	slowPeriods      []interval               // in which clients and upstreams read slowly
	reclaims         []reclaim                // of preemptible servers
	capacityOrders   []capacityOrder          // that the platform accepted
	capacityBreaches []string                 // calls for orders that broke a rule
	routeChanges     []routeChange            // of the moving route, in order of time
	plannedStops     map[string][]interval    // by entry VM
	hangups          map[string][]interval    // by entry VM: from a SIGHUP until configWithin after it
	findings         []Finding
	calledEntries    map[*entryVM]bool // entry VMs that clients called, set by judge
	faultsEnded      time.Time         // when the last fault ended
}

// call is an attempt with the entry VM that received it.
type call struct {
	standin.Outcome
	entry *entryVM
	class string
	began time.Time
}

// routeChange is a configuration that assigns the moving route to a service from a time on.
type routeChange struct {
	at      time.Time
	service string
	// boundFrom is from when the time until it has to be in force counts, if that is later than at.
	boundFrom time.Time
}

// Finding is a violation of a promise.
type Finding struct{ Promise, What string }

func (fl *fleet) report(promise, what string) {
	fl.observed.mu.Lock()
	defer fl.observed.mu.Unlock()
	fl.observed.findings = append(fl.observed.findings, Finding{promise, what})
}

func (fl *fleet) recordRun(r standin.Run) {
	fl.observed.mu.Lock()
	defer fl.observed.mu.Unlock()
	fl.observed.runs[r.ID] = append(fl.observed.runs[r.ID], r)
}

func (fl *fleet) recordLeaving(id string) {
	fl.observed.mu.Lock()
	defer fl.observed.mu.Unlock()
	fl.observed.leavingSince[id] = time.Now()
}

// recordLinkDisturbance records that an upstream, or the link to it, is disturbed for d and the margin from now.
func (fl *fleet) recordLinkDisturbance(n *node, d time.Duration) {
	id := n.currentID()
	fl.observed.mu.Lock()
	defer fl.observed.mu.Unlock()
	now := time.Now()
	fl.observed.linkDisturbances[id] = append(fl.observed.linkDisturbances[id], interval{now, now.Add(d + timedMargin)})
}

// recordCrash records that a request crashed an upstream, which stays down for d.
func (o *observations) recordCrash(id string, d time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	o.crashOutages[id] = append(o.crashOutages[id], interval{now, now.Add(d + timedMargin)})
}

// quietPeriod is an interval in which an upstream asked for no requests.
type quietPeriod struct {
	interval
	server string
}

func (o *observations) recordQuietPeriod(n *node, d time.Duration) {
	id := n.currentID()
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	o.quietPeriods = append(o.quietPeriods, quietPeriod{interval{now, now.Add(d)}, id})
}

// limitPeriod is an interval in which an upstream named a limit.
type limitPeriod struct {
	interval
	server    string
	perSecond float64
}

func (o *observations) recordLimitPeriod(n *node, perSecond float64, d time.Duration) {
	id := n.currentID()
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	o.limitPeriods = append(o.limitPeriods, limitPeriod{interval{now, now.Add(d)}, id, perSecond})
}

// linkUndisturbed reports whether an upstream and the link to it were undisturbed from one time to another. Over a disturbed link, a request
// sent earlier may arrive late and a closed connection may go unnoticed.
func (o *observations) linkUndisturbed(id string, from, to time.Time) bool {
	return !overlaps(o.linkDisturbances[id], from, to) && !overlaps(o.crashOutages[id], from, to)
}

func (fl *fleet) recordPlannedStop(e *entryVM, from, to time.Time) {
	fl.observed.mu.Lock()
	defer fl.observed.mu.Unlock()
	fl.observed.plannedStops[e.name] = append(fl.observed.plannedStops[e.name], interval{from, to})
}

// Margins of the timed promises, which allow for a machine that runs many processes at once.
const (
	timedMargin  = 500 * time.Millisecond
	cancelMargin = 500 * time.Millisecond // from a client's disconnect to the end of its work
	answerMargin = 500 * time.Millisecond // after a route's time limit
	killMargin   = time.Second            // after the grace, in which a cut still counts to the stop
	addressesEnd = 3 * time.Second        // after the SIGTERM; clients may use the address until then
	lossSlack    = 200*time.Millisecond + timedMargin
	// sameStopTolerance is the longest time between the two records of one planned stop: the entry VM's disturbance and the planned stop.
	sameStopTolerance = 10 * time.Millisecond
	// minServedShare is the share of requests that must be served after the recovery time that follows the last fault.
	minServedShare = 0.95
)

// judge checks the observations against the promises. Timed promises are judged only where nothing was disturbed.
func (o *observations) judge(timed bool) []Finding {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := append([]Finding(nil), o.findings...)
	add := func(promise, format string, args ...any) {
		out = append(out, Finding{promise, fmt.Sprintf(format, args...)})
	}
	sentAt := make(map[string]time.Time, len(o.calls)) // by attempt
	o.calledEntries = map[*entryVM]bool{}
	for i := range o.calls {
		c := &o.calls[i]
		sentAt[c.ID], o.calledEntries[c.entry] = c.began, true
		o.judgeAnswer(c, add)
		if timed {
			o.judgeTiming(c, add)
		}
	}
	for id, runs := range o.runs {
		o.judgeRuns(id, runs, sentAt, timed, add)
	}
	o.judgeRequests(add)
	o.judgeVersions(add)
	o.judgeCrashes(timed, add)
	o.judgeCrashingParts(add)
	o.judgeLeavingAndQuiet(timed, add)
	o.judgeCapacity(timed, add)
	if timed {
		o.judgeLimits(add)
		o.judgeSlowReaders(add)
	}
	o.judgeRecovery(add)
	return out
}

type addFinding func(promise, format string, args ...any)

// judgeAnswer checks an answer against its request and against the runs of the request at upstreams.
func (o *observations) judgeAnswer(c *call, add addFinding) {
	if c.Violation != "" && !o.endedAtTheStart(c) {
		add("answers are whole and their own", "%s at %s (%s): %s", c.ID, c.entry.name, c.class, c.Violation)
	}
	switch c.Status {
	case http.StatusNotFound:
		add("known routes are served", "%s at %s (%s) got 404", c.ID, c.entry.name, c.class)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		for _, r := range o.runs[c.ID] {
			if !r.Started.IsZero() {
				add("a refused request does not run", "%s at %s (%s) got %d and ran at %s", c.ID, c.entry.name, c.class, c.Status, r.Server)
			}
		}
	}
}

// endedAtTheStart reports whether a client asked for the rest of a stream and a server answered with an event stream without an event.
// That is a whole answer, which an entry VM passes on.
func (o *observations) endedAtTheStart(c *call) bool {
	return c.After > 0 && c.Events <= c.After && slices.ContainsFunc(o.runs[c.ID], func(r standin.Run) bool {
		return r.After == c.After && (r.False == standin.ServerContinuesNoEvent || r.False == standin.ServerContinuesEmpty)
	})
}

// judgeRuns checks the number, place and time of an attempt's runs. sentAt holds when clients began each attempt.
func (o *observations) judgeRuns(id string, runs []standin.Run, sentAt map[string]time.Time, timed bool, add addFinding) {
	runCount := 0
	for _, r := range runs {
		if r.Started.IsZero() {
			continue
		}
		runCount++
		if leavingAt, ok := o.leavingSince[r.Server]; timed && ok && r.Arrived.Sub(leavingAt) > leavingWithin+timedMargin &&
			o.entriesUndisturbed(leavingAt, r.Arrived) && o.linkUndisturbed(r.Server, leavingAt, r.Arrived) {
			add("leaving upstreams get no requests", "%s reached %s %s after it was marked", id, r.Server, r.Arrived.Sub(leavingAt))
		}
		if timed && strings.HasPrefix(r.Path, "/moving/") {
			sent, ok := sentAt[id]
			if !ok {
				sent = r.Arrived // the latest time at which the client can have sent it
			}
			o.judgeRouteChange(id, r, sent, add)
		}
	}
	once := strings.HasPrefix(id, "once") || strings.HasPrefix(id, "stream")
	if once && runCount > 1 {
		add("requests run once", "%s ran %d times", id, runCount)
	}
	if strings.HasPrefix(id, "resume") {
		for i, r := range runs {
			if !r.Started.IsZero() && r.After == 0 && i > 0 && !runs[i-1].Started.IsZero() && runs[i-1].Whole {
				add("requests run once", "%s began anew at %s after a complete run at %s", id, r.Server, runs[i-1].Server)
			}
		}
	}
}

// judgeRouteChange checks a run of the moving route against the configurations in force since its request was sent.
func (o *observations) judgeRouteChange(id string, r standin.Run, sent time.Time, add addFinding) {
	allowed := map[string]bool{}
	for i, m := range o.routeChanges {
		last := i == len(o.routeChanges)-1
		if m.at.Before(r.Arrived) && (last || sent.Sub(laterOf(o.routeChanges[i+1].at, o.routeChanges[i+1].boundFrom)) < configWithin+timedMargin) {
			allowed[m.service] = true
		}
	}
	if !allowed[r.Service] && o.linkUndisturbed(r.Server, sent, r.Arrived) && o.entriesUndisturbed(sent.Add(-configWithin-settleTime), r.Arrived) {
		add("configurations are in force in time", "%s, sent %s after the last change, ran at %s", id, sent.Sub(o.routeChanges[len(o.routeChanges)-1].at), r.Service)
	}
}

// entriesUndisturbed reports whether no entry VM that clients called was disturbed. It checks all of them because an upstream does not see
// which one forwarded a request.
func (o *observations) entriesUndisturbed(from, to time.Time) bool {
	for e := range o.calledEntries {
		if !e.undisturbed(from, to) {
			return false
		}
	}
	return true
}

// judgeTiming checks that an answer came in time, that work ends when its client disconnects, and that a planned stop loses no request.
func (o *observations) judgeTiming(c *call, add addFinding) {
	if c.Disconnected {
		for _, r := range o.runs[c.ID] {
			overrun := r.Ended.Sub(c.Ended)
			if !r.Started.IsZero() && !strings.HasPrefix(c.ID, "once") && overrun > cancelMargin+timedMargin && c.entry.undisturbed(c.began, r.Ended) &&
				o.linkUndisturbed(r.Server, c.began, r.Ended) {
				add("work ends when its client leaves", "%s at %s ran on for %s at %s", c.ID, c.entry.name, overrun, r.Server)
			}
		}
		return
	}
	if c.class == slowClass { // it gets the end of its answer as late as it reads
		return
	}
	limit := standin.RouteTimeout(c.Path, routeTimeout)
	from := c.began
	if c.class == uploadClass && !c.Sent.IsZero() {
		from = c.Sent // sending 4 MB takes part of a second on a busy machine
	}
	if took := c.Ended.Sub(from); took > limit+answerMargin+timedMargin && c.entry.undisturbed(c.began, c.Ended) {
		add("answers come within the route's time", "%s at %s (%s) took %s, status %d, error %v", c.ID, c.entry.name, c.class, took, c.Status, c.Err)
	}
	if c.Whole || c.Sent.IsZero() || c.Ended.Sub(c.began) >= min(c.Deadline, limit) {
		return
	}
	for _, s := range o.plannedStops[c.entry.name] {
		if c.Ended.After(s.from) && c.Ended.Before(s.to.Add(killMargin)) && o.lost(c) && !o.atWorkAtTheEnd(c, s) {
			add("a planned stop loses no request", "%s at %s (%s): %v after %s, sent %s after the signal, ended %s after it, %d runs", c.ID, c.entry.name, c.class,
				c.Err, c.Ended.Sub(c.began), c.began.Sub(s.from), c.Ended.Sub(s.from), len(o.runs[c.ID]))
			return
		}
	}
	for _, s := range o.hangups[c.entry.name] {
		if c.Ended.After(s.from) && c.began.Before(s.to) && o.lost(c) && !overlaps(o.plannedStops[c.entry.name], c.began, c.Ended) {
			add("a hangup loses no request", "%s at %s (%s): %v after %s, sent %s after the signal", c.ID, c.entry.name, c.class, c.Err,
				c.Ended.Sub(c.began), c.began.Sub(s.from))
			return
		}
	}
}

// lost reports whether a call without a whole answer had been passed on, or had been waiting for longer than lossSlack, and neither its servers
// nor anything unplanned ended it.
func (o *observations) lost(c *call) bool {
	for _, r := range o.runs[c.ID] {
		brokeOff := !r.Started.IsZero() && !r.Whole && !r.Closed && r.Ended.Before(c.Ended.Add(timedMargin)) // a run of the prompt only has not started
		if brokeOff || !o.linkUndisturbed(r.Server, c.began, c.Ended) {
			return false
		}
	}
	return o.onlyPlannedStops(c) && (len(o.runs[c.ID]) > 0 || c.Ended.Sub(c.Sent) > lossSlack)
}

// atWorkAtTheEnd reports whether a server was still at work in the last sixth of the grace on a request sent while clients may use the
// address.
func (o *observations) atWorkAtTheEnd(c *call, stop interval) bool {
	return !c.Sent.After(stop.from.Add(addressesEnd)) && slices.ContainsFunc(o.runs[c.ID], func(r standin.Run) bool {
		return !r.Started.IsZero() && r.Ended.After(stop.to.Add(-stopGrace/6))
	})
}

// onlyPlannedStops reports whether planned stops were the only disturbances of an entry VM during a call.
func (o *observations) onlyPlannedStops(c *call) bool {
	c.entry.mu.Lock()
	defer c.entry.mu.Unlock()
	return !slices.ContainsFunc(c.entry.disturbances, func(t interval) bool {
		return t.overlaps(c.began, c.Ended) && !slices.ContainsFunc(o.plannedStops[c.entry.name], func(s interval) bool {
			return t.from.Sub(s.from).Abs() <= sameStopTolerance
		})
	})
}

// judgeRecovery checks that requests are served again once the faults have ended and the recovery time has passed.
func (o *observations) judgeRecovery(add addFinding) {
	asked, served := 0, 0
	for i := range o.calls {
		c := &o.calls[i]
		if o.faultsEnded.IsZero() || c.began.Before(o.faultsEnded.Add(recoverWithin)) || c.Disconnected {
			continue
		}
		asked++
		if c.Status == http.StatusOK && c.Whole {
			served++
		}
	}
	if asked > 0 && float64(served) < minServedShare*float64(asked) {
		add("service recovers", "%d of %d requests were served after the faults had ended", served, asked)
	}
}
