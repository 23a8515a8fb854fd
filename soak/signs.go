package soak

import (
	"slices"
	"strings"
	"time"

	"bergamotcroft.example/bergamot/platform/standin"
)

const (
	// crashLimit is the number of servers that a request may end, and of retries that may reach one long after.
	crashLimit = 3
	// crashKnown is the time in which all entry VMs know of a crash, as the users' bounds have it.
	crashKnown = 3 * time.Second
	// quietFrom is the time after which an upstream's wish for quiet is judged, and quietAllowed what may still reach it from one entry VM.
	quietFrom    = 500 * time.Millisecond
	quietAllowed = 2
)

// servicesOf are the services to which a path may ever go, by its first part.
var servicesOf = map[string][]string{
	"once": {"app"}, "read": {"app"}, "stream": {"text"}, "resume": {"text"}, "moving": {"app", "other"},
}

// judgeAsked checks that what upstreams ran was asked for as it came, and may go there.
func (b *book) judgeAsked(add adder) {
	asked := make(map[string]*standin.Attempt, len(b.calls))
	for i := range b.calls {
		asked[b.calls[i].ID] = &b.calls[i].Attempt
	}
	for id, runs := range b.runs {
		a := asked[id]
		for _, r := range runs {
			switch {
			case r.Began.IsZero():
			case a == nil:
				add("only what was asked runs", "%s at %s was sent by no client", id, r.Server)
			case r.Path != a.Path || r.Body != a.Text():
				add("only what was asked runs", "%s at %s: path %s and body %.60q in place of %s and %.60q", id, r.Server, r.Path, r.Body, a.Path, a.Text())
			case !slices.Contains(servicesOf[strings.Split(r.Path, "/")[1]], r.Service):
				add("requests go where a configuration sent them", "%s (%s) ran at %s of %s", id, r.Path, r.Server, r.Service)
			}
		}
	}
}

// judgeCrashes counts the servers that crashing requests have ended.
func (b *book) judgeCrashes(timed bool, add adder) {
	by := map[string][]standin.Run{} // by body
	for _, runs := range b.runs {
		for _, r := range runs {
			if r.Crashed {
				by[r.Body] = append(by[r.Body], r)
			}
		}
	}
	for body, runs := range by {
		slices.SortFunc(runs, func(x, y standin.Run) int { return x.Arrived.Compare(y.Arrived) })
		if len(runs) <= crashLimit {
			continue
		}
		late := 0
		for _, r := range runs[crashLimit:] {
			if r.Arrived.Sub(runs[crashLimit-1].Ended) > crashKnown {
				late++
			}
		}
		first, last := runs[0], runs[len(runs)-1]
		sound := b.allCalm(first.Arrived.Add(-settleAfter), last.Arrived)
		for _, r := range runs {
			sound = sound && !overlaps(b.links[r.Server], r.Arrived, r.Ended.Add(crashKnown))
		}
		if late > crashLimit || timed && sound {
			add("a crashing request ends few servers", "%q ended %d, %d of them later than %s after the third", body, len(runs), late, crashKnown)
		}
	}
}

// judgeSigns checks what upstreams got after they had said that they leave, or want quiet.
func (b *book) judgeSigns(timed bool, add adder) {
	type pair struct {
		e      *entry
		server string
	}
	passedOn := map[pair]time.Time{}
	for i := range b.calls {
		c := &b.calls[i]
		for _, r := range b.runs[c.ID] {
			p := pair{c.entry, r.Server}
			if at, ok := passedOn[p]; r.Leaving && c.Status != 0 && !r.Prompt && (!ok || c.Ended.Before(at)) && !r.Began.IsZero() {
				passedOn[p] = c.Ended
			}
		}
	}
	for i := range b.calls {
		c := &b.calls[i]
		for _, r := range b.runs[c.ID] {
			at, ok := passedOn[pair{c.entry, r.Server}]
			if ok && c.began.After(at) && c.entry.calm(at, r.Arrived) {
				add("upstreams that say that they leave get no new work", "%s, sent %s after %s had passed the sign on, reached %s", c.ID, c.began.Sub(at), c.entry.name, r.Server)
			}
		}
	}
	if !timed {
		return
	}
	// Which entry VM sent a request on is not known to an upstream; each learns of the wish by a request of its own.
	for _, q := range b.quiet503 {
		n := 0
		for _, runs := range b.runs {
			for _, r := range runs {
				if r.Server == q.server && r.Arrived.After(q.from.Add(quietFrom)) && r.Arrived.Before(q.to) {
					n++
				}
			}
		}
		if n > (1+quietAllowed)*len(b.called) && b.allCalm(q.from, q.to) {
			add("upstreams that ask for quiet get it", "%s got %d requests", q.server, n)
		}
	}
}
