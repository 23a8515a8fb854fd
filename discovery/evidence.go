package discovery

import (
	"cmp"
	"slices"
	"time"

	"bergamotcroft.example/bergamot/topo"
)

// State defines the work that this entry VM may send to an upstream.
type State int

// The states of an upstream.
const (
	Accepting State = iota
	Leaving         // gets no new work; running work finishes
	Uncertain       // checks fail; gets no new work, running work continues
)

func (s State) String() string {
	return [...]string{"accepting", "leaving", "uncertain"}[s]
}

// Source is the source of a signal.
type Source string

// The sources of signals.
const (
	SourceConfiguration Source = "configuration"
	SourceUpstream      Source = "upstream" // its own answer
	SourceList          Source = "vm_list"
	SourcePeer          Source = "peer"
	SourceCheck         Source = "check"
)

// Status is the state of one upstream with the signal that caused it.
type Status struct {
	Upstream string
	State    State
	Source   Source    // of the deciding or held signal
	Since    time.Time // time of the first signal
	Held     bool      // a signal is not followed, since it would exclude too much of the fleet
}

// Validity and thresholds of evidence.
const (
	// peerMarkTTL is the time for which a peer's mark is valid; three repeats may be lost.
	peerMarkTTL        = 60 * time.Second
	markRepeatInterval = 15 * time.Second
	// selfReportTTL is the time for which an upstream's report that it is leaving is valid, if it can't be reached again.
	selfReportTTL = 10 * time.Minute
	// failuresToUncertain is the number of consecutive failed checks that make an upstream uncertain. With a check every
	// second the state changes within 3 s.
	failuresToUncertain = 2
)

// evidence is the evidence about one upstream. A zero time means that there is no such signal.
type evidence struct {
	spec            topo.Upstream
	status          Status
	selfReportedAt  time.Time // first report of the upstream that it is leaving, unless withdrawn
	listedAt        time.Time // first VM list that shows it as leaving, without a gap since
	peerMarkAt      time.Time // latest mark of a peer
	firstPeerMarkAt time.Time // first mark of the current series
	failures        int       // consecutive
	firstFailureAt  time.Time // first of the consecutive failures
	broadcastAt     time.Time // latest broadcast by this VM
}

// assess returns the state to which the evidence leads. Strong signals come from the upstream itself or from the
// configuration and are always followed.
func (e *evidence) assess(now time.Time) (s State, from Source, since time.Time, strong bool) {
	switch {
	case e.spec.State == topo.UpstreamDraining || e.spec.State == topo.UpstreamWithdrawn:
		return Leaving, SourceConfiguration, time.Time{}, true
	case !e.selfReportedAt.IsZero() && now.Sub(e.selfReportedAt) < selfReportTTL:
		return Leaving, SourceUpstream, e.selfReportedAt, true
	case !e.listedAt.IsZero():
		return Leaving, SourceList, e.listedAt, false
	case !e.peerMarkAt.IsZero() && now.Sub(e.peerMarkAt) < peerMarkTTL:
		return Leaving, SourcePeer, e.firstPeerMarkAt, false
	case e.failures >= failuresToUncertain:
		return Uncertain, SourceCheck, e.firstFailureAt, false
	}
	return Accepting, "", time.Time{}, false
}

// fleets returns the sets of upstreams to which u belongs and of which weak signals may exclude at most a part.
func fleets(u topo.Upstream) []string {
	if u.Kind == topo.KindService {
		return []string{"service/" + u.Service}
	}
	out := make([]string, 0, len(u.Models)+1)
	out = append(out, "engines")
	for _, m := range u.Models {
		out = append(out, "model/"+m)
	}
	return out
}

// weakDivisor limits the upstreams that signals from the VM list, peers and this VM's checks may exclude together to
// 1/weakDivisor of a fleet. Such signals can be wrong for a whole fleet at once: a faulty list, a faulty peer, or a fault
// of this VM's network. Answers of the upstreams themselves are not limited.
const weakDivisor = 2

// computeStatuses returns the status of all upstreams, sorted by name. Older weak signals are followed first.
func computeStatuses(now time.Time, all map[string]*evidence) []Status {
	size, excluded := map[string]int{}, map[string]int{}
	type weak struct {
		e *evidence
		s Status
	}
	var weaks []weak
	next := make([]Status, 0, len(all))
	for name, e := range all {
		for _, f := range fleets(e.spec) {
			size[f]++
		}
		state, from, since, strong := e.assess(now)
		st := Status{Upstream: name, State: state, Source: from, Since: since}
		if state != Accepting && !strong {
			weaks = append(weaks, weak{e, st})
			continue
		}
		if state != Accepting {
			for _, f := range fleets(e.spec) {
				excluded[f]++
			}
		}
		next = append(next, st)
	}
	slices.SortFunc(weaks, func(a, b weak) int {
		return cmp.Or(a.s.Since.Compare(b.s.Since), cmp.Compare(a.s.Upstream, b.s.Upstream))
	})
	for _, w := range weaks {
		fits := !slices.ContainsFunc(fleets(w.e.spec), func(f string) bool { return (excluded[f]+1)*weakDivisor > size[f] })
		if fits {
			for _, f := range fleets(w.e.spec) {
				excluded[f]++
			}
		} else {
			w.s.State, w.s.Held = Accepting, true
		}
		next = append(next, w.s)
	}
	slices.SortFunc(next, func(a, b Status) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return next
}
