package policy

import (
	"time"

	"bergamotcroft.example/bergamot/topo"
)

// Fleet is the set of upstreams of one entry VM. Upstreams[i].Index is i. Slots of removed upstreams are reused.
type Fleet struct {
	Upstreams []*Upstream
	ByModel   map[string][]int
	ByService map[string][]int
	ByVersion map[VersionKey][]int
	Rings     map[string][]RingPoint // hash ring of each model, ordered by hash
	Health    HealthTracker
}

// VersionKey identifies the upstreams of one software version that serve a model or a plain service. One of Model and Service
// is empty.
type VersionKey struct{ Model, Service, Version string }

// Candidates returns the indices of the upstreams that serve r, whether or not they accept work.
func (f *Fleet) Candidates(r *Request) []int {
	if r.Version != "" {
		key := VersionKey{Service: r.Service, Version: r.Version}
		if r.Service == "" {
			key.Model = r.Model
		}
		return f.ByVersion[key]
	}
	if r.Service != "" {
		return f.ByService[r.Service]
	}
	return f.ByModel[r.Model]
}

// AnyAccepting reports whether any upstream that serves r may get new work.
func (f *Fleet) AnyAccepting(r *Request) bool {
	for _, i := range f.Candidates(r) {
		if f.Upstreams[i].Accepting {
			return true
		}
	}
	return false
}

// AnyServing reports whether any upstream that serves r may get new work, now or after it has been quiet.
func (f *Fleet) AnyServing(r *Request) bool {
	_, quiet := f.EarliestReturn(r)
	return quiet || f.AnyAccepting(r)
}

// LimitedRate returns the requests per second that the accepting upstreams for r take together. ok is false if one of them
// is not limited, or none accepts work. Engines that only compute prompts don't count, since others have to generate.
func (f *Fleet) LimitedRate(r *Request) (perSecond float64, ok bool) {
	for _, i := range f.Candidates(r) {
		u := f.Upstreams[i]
		switch {
		case !u.Accepting || u.Role == topo.RolePrefill:
		case !u.Limited:
			return 0, false
		default:
			perSecond, ok = perSecond+u.Limit, true
		}
	}
	return perSecond, ok
}

// EarliestReturn returns the earliest time at which a quiet upstream that serves r accepts work again. ok is false if
// there is none.
func (f *Fleet) EarliestReturn(r *Request) (at time.Duration, ok bool) {
	for _, i := range f.Candidates(r) {
		if u := f.Upstreams[i]; u.AcceptsAfterQuiet && (!ok || u.QuietUntil < at) {
			at, ok = u.QuietUntil, true
		}
	}
	return at, ok
}
