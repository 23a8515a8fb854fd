// Package claims ensures that a non-idempotent request runs at most once.
//
// A request with a key of the caller's choice runs only after its claim was stored: the keys are divided into shards, and
// claims are added to the object of their shard by conditional writes. A key that an entry VM has issued needs no store;
// only that VM holds its state.
//
// Invariant: for each key, across all entry VMs, at most one Grant is ever issued, unless it is released.
package claims

import "context"

// Answer is the recorded answer of a request that has run.
type Answer struct {
	Status int
	Header map[string]string
	Body   []byte
}

// Grant is the right to run a request once.
type Grant interface {
	// Finish records the outcome of the request: the complete answer, or nil when the outcome is unknown.
	Finish(a *Answer)
	// Release returns the grant unused. It may be called only if no byte of the request was sent to an upstream.
	Release()
}

// Guard issues grants.
type Guard interface {
	// Begin returns a Grant if the request may run now, the recorded Answer if it has run, or a *result.Error. The
	// fingerprint is a hash of caller, route and body; a key that is reused with another fingerprint is refused.
	Begin(ctx context.Context, caller, key string, fingerprint uint64) (Grant, *Answer, error)
	// Issue returns a key that only this incarnation of this entry VM can grant.
	Issue(caller string) (key string, err error)
}
