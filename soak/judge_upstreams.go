package soak

import (
	"slices"
	"strings"
	"time"

	"bergamotcroft.example/bergamot/platform/standin"
	"bergamotcroft.example/bergamot/result"
)

const (
	// crashLimit is the number of servers that a request may crash, and again the number that it may crash later than crashPropagation.
	crashLimit = 3
	// crashPropagation is the users' bound on the time until all entry VMs have learnt of a crash.
	crashPropagation = 3 * time.Second
	// partCrashLimit is the number of crashes from which a part of prompts may reach servers partSendLimit times more, later than crashPropagation.
	partCrashLimit = 5
	partSendLimit  = 3
	// quietDelay is the time from an upstream's request for quiet until it is judged. quietMaxRequests is the number of requests that each
	// entry VM may still send then, besides the one by which it learns of the request for quiet.
	quietDelay       = 500 * time.Millisecond
	quietMaxRequests = 2
	// The users' bound on requests to an upstream that names a limit: limitRatio times the limit and limitSlack requests in any limitWindow,
	// from limitSettleTime after the limit was first named.
	limitSettleTime = 3 * time.Second
	limitWindow     = 4 * time.Second
	limitRatio      = 1.5
	limitSlack      = 5
)

// allowedServices holds the services to which any configuration routes a path, by the path's first segment.
var allowedServices = map[string][]string{
	"once": {"app"}, "read": {"app"}, "stream": {"text"}, "resume": {"text"}, "moving": {"app", "other"},
	"long": {"app"}, "long-stream": {"text"},
	"long-spot-once": {scaledService}, "long-spot-read": {scaledService}, "long-spot-stream": {scaledEngines}, "long-spot-resume": {scaledEngines},
}

// judgeRequests checks that each request that an upstream ran was sent by a client, arrived unchanged and belongs to the upstream's service.
func (o *observations) judgeRequests(add addFinding) {
	attempts := make(map[string]*standin.Attempt, len(o.calls))
	for i := range o.calls {
		attempts[o.calls[i].ID] = &o.calls[i].Attempt
	}
	for id, runs := range o.runs {
		a := attempts[id]
		for _, r := range runs {
			switch {
			case r.Started.IsZero():
			case a == nil:
				add("only what was asked runs", "%q (%s, body %.60q) at %s was sent by no client", id, r.Path, r.Body, r.Server)
			case r.Path != a.Path || r.Body != a.Text():
				add("only what was asked runs", "%s at %s: path %s and body %.60q in place of %s and %.60q", id, r.Server, r.Path, r.Body, a.Path, a.Text())
			case !slices.Contains(allowedServices[strings.Split(r.Path, "/")[1]], r.Service):
				add("requests go where a configuration sent them", "%s (%s) ran at %s of %s", id, r.Path, r.Server, r.Service)
			}
		}
	}
}

// judgeCrashes checks the number of servers that each crashing request has crashed.
func (o *observations) judgeCrashes(timed bool, add addFinding) {
	runsByBody := map[string][]standin.Run{}
	for _, runs := range o.runs {
		for _, r := range runs {
			if r.Crashed {
				runsByBody[r.Body] = append(runsByBody[r.Body], r)
			}
		}
	}
	for body, runs := range runsByBody {
		slices.SortFunc(runs, func(x, y standin.Run) int { return x.Arrived.Compare(y.Arrived) })
		if len(runs) <= crashLimit {
			continue
		}
		late := 0
		for _, r := range runs[crashLimit:] {
			if r.Arrived.Sub(runs[crashLimit-1].Ended) > crashPropagation {
				late++
			}
		}
		first, last := runs[0], runs[len(runs)-1]
		undisturbed := o.entriesUndisturbed(first.Arrived.Add(-settleTime), last.Arrived)
		for _, r := range runs {
			undisturbed = undisturbed && !overlaps(o.linkDisturbances[r.Server], r.Arrived, r.Ended.Add(crashPropagation))
		}
		if late > crashLimit || timed && undisturbed {
			add("a crashing request ends few servers", "%q ended %d, %d of them later than %s after the third", body, len(runs), late, crashPropagation)
		}
	}
}

// judgeCrashingParts checks how often each part that crashes servers reached servers after its fifth crash, and that no other request was
// refused for its parts. Requests of entry VMs that were disturbed since then don't count.
func (o *observations) judgeCrashingParts(add addFinding) {
	runsByPart := map[string][]standin.Run{}
	for _, runs := range o.runs {
		for _, r := range runs {
			if r.Part != "" {
				runsByPart[r.Part] = append(runsByPart[r.Part], r)
			}
		}
	}
	entryOf := o.entriesByAttempt()
	for part, runs := range runsByPart {
		var crashes []time.Time
		for _, r := range runs {
			if r.Crashed {
				crashes = append(crashes, r.Ended)
			}
		}
		if len(crashes) < partCrashLimit {
			continue
		}
		slices.SortFunc(crashes, time.Time.Compare)
		known := crashes[partCrashLimit-1].Add(crashPropagation)
		late := 0
		for _, r := range runs {
			if e := entryOf[r.ID]; r.Arrived.After(known) && e != nil && e.undisturbed(known.Add(-crashPropagation), r.Arrived) {
				late++
			}
		}
		if late > partSendLimit {
			add("a crashing part ends few servers", "%q ended %d and was sent %d times later than %s after the fifth", part, len(crashes), late, crashPropagation)
		}
	}
	for i := range o.calls {
		if c := &o.calls[i]; c.Refusal == result.CrashingPart.Info().Name && c.CrashingPart == "" {
			add("sound prompts are not refused", "%s at %s was refused for a part", c.ID, c.entry.name)
		}
	}
}

// entriesByAttempt returns the entry VM that received each attempt.
func (o *observations) entriesByAttempt() map[string]*entryVM {
	entryOf := make(map[string]*entryVM, len(o.calls))
	for i := range o.calls {
		entryOf[o.calls[i].ID] = o.calls[i].entry
	}
	return entryOf
}

// judgeLeavingAndQuiet checks which requests reached upstreams after they had announced that they leave or had asked for quiet.
func (o *observations) judgeLeavingAndQuiet(timed bool, add addFinding) {
	type entryAndServer struct {
		e      *entryVM
		server string
	}
	leavingKnownAt := map[entryAndServer]time.Time{}
	for i := range o.calls {
		c := &o.calls[i]
		for _, r := range o.runs[c.ID] {
			p := entryAndServer{c.entry, r.Server}
			if at, ok := leavingKnownAt[p]; r.Leaving && c.Status != 0 && !r.PromptOnly && (!ok || c.Ended.Before(at)) && !r.Started.IsZero() {
				leavingKnownAt[p] = c.Ended
			}
		}
	}
	for i := range o.calls {
		c := &o.calls[i]
		for _, r := range o.runs[c.ID] {
			at, ok := leavingKnownAt[entryAndServer{c.entry, r.Server}]
			if ok && c.began.After(at) && c.entry.undisturbed(at, r.Arrived) {
				add("upstreams that say that they leave get no new work", "%s, sent %s after %s had passed the sign on, reached %s", c.ID, c.began.Sub(at), c.entry.name, r.Server)
			}
		}
	}
	if !timed {
		return
	}
	// An upstream does not see which entry VM forwarded a request. Each entry VM learns of the request for quiet by a request of its own.
	for _, q := range o.quietPeriods {
		n := 0
		for _, runs := range o.runs {
			for _, r := range runs {
				if r.Server == q.server && r.Arrived.After(q.from.Add(quietDelay)) && r.Arrived.Before(q.to) {
					n++
				}
			}
		}
		if n > (1+quietMaxRequests)*len(o.calledEntries) && o.entriesUndisturbed(q.from, q.to) {
			add("upstreams that ask for quiet get it", "%s got %d requests", q.server, n)
		}
	}
}

// judgeLimits checks how many requests upstreams got while they named a limit. Requests of entry VMs that were disturbed since the limit was
// named don't count.
func (o *observations) judgeLimits(add addFinding) {
	entryOf := o.entriesByAttempt()
	for _, p := range o.limitPeriods {
		if !o.linkUndisturbed(p.server, p.from, p.to) {
			continue // requests that were held up arrive together
		}
		var arrived []time.Time
		for id, runs := range o.runs {
			for _, r := range runs {
				e := entryOf[id]
				if r.Server == p.server && r.Arrived.After(p.from.Add(limitSettleTime)) && r.Arrived.Before(p.to) && e != nil && e.undisturbed(p.from, r.Arrived) {
					arrived = append(arrived, r.Arrived)
				}
			}
		}
		slices.SortFunc(arrived, time.Time.Compare)
		most, first := 0, 0
		for i := range arrived {
			for arrived[i].Sub(arrived[first]) >= limitWindow {
				first++
			}
			most = max(most, i-first+1)
		}
		if allowed := int(limitRatio*p.perSecond*limitWindow.Seconds() + limitSlack); most > allowed {
			add("upstreams that name a limit get no more", "%s named %g a second and got %d requests in %s, allowed %d", p.server, p.perSecond, most, limitWindow, allowed)
		}
	}
}
