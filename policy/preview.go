package policy

import "time"

// The interfaces in this file ask a policy what it would decide now, without a change to its state.

// Cost is the estimate that a Router made for one upstream, or for a prefill engine with its decoder. The terms are seconds and
// add up to Total, by which the Router compares.
type Cost struct {
	Prefill, Decode *Upstream
	Source          *Upstream // engine from which cached pieces are fetched, or nil
	Cached          int       // leading pieces that are not computed: cached at Prefill, or fetched from Source
	Full            bool      // the request would wait in the entry VM for a slot

	Total      float64
	Wait       float64 // for the prompts ahead
	Prompt     float64 // computing the prompt, or the call of a plain service
	Fetch      float64 // fetching cached pieces
	HandOver   float64 // moving the KV cache from Prefill to Decode
	DataCentre float64 // charge for another data centre
	Other      float64 // fixed overheads, delay by and for the streams, charges for other requests, tie-break
}

// Inspector gets what a Router compares while it decides.
type Inspector interface {
	// Compared is called for each candidate, again with a newer estimate if a candidate is compared again.
	Compared(c Cost)
	// SkippedFull is called for an upstream that is left out since others have free slots.
	SkippedFull(u *Upstream)
}

// RoutePreviewer is a Router that can be previewed.
type RoutePreviewer interface {
	// Preview returns a router that chooses once, as this one would now, and leaves this one as it is.
	Preview(i Inspector) Router
}

// SpillPreviewer is a Spill that can be previewed.
type SpillPreviewer interface {
	// Preview returns a copy that calls nobody.
	Preview() Spill
}

// AdmissionPreviewer is an Admitter that can be previewed.
type AdmissionPreviewer interface {
	// Preview returns the verdict that Admit would for a new request. It changes only r, in which it sets what Less compares.
	Preview(now time.Duration, r *Request, f *Fleet, c Choice, q QueueView) Verdict
}

// ExclusionPreviewer is a HealthTracker that can be previewed.
type ExclusionPreviewer interface {
	// WouldExclude returns what Excluded would.
	WouldExclude(now time.Duration, i int) bool
}
