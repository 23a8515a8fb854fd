// Package duty runs work that one entry VM at a time performs under a lease.
//
// Invariants: a step begins only under a lease that remains valid for longer than the step's calls may take; a new holder
// waits until no call of its predecessor can still arrive; a call whose answer was lost is not followed by a different one
// for the same subject while it may still be carried out.
package duty

import (
	"context"
	"time"

	"bergamotcroft.example/bergamot/lease"
	"bergamotcroft.example/bergamot/store"
)

// Options configures a duty. All fields are required.
type Options struct {
	Lease lease.Authority
	Group int
	// Margin is the remaining validity of the lease below which no step begins. It covers the calls of one step.
	Margin time.Duration
	// HandOverPause is the time from taking over the lease to the first step. A receiver that checks no fencing number
	// could otherwise accept calls of both holders.
	HandOverPause time.Duration
	// Interval is the time between two steps.
	Interval time.Duration
	Clock    store.Clock
}

// Run calls step once per interval while this entry VM holds the lease, until ctx ends.
func Run(ctx context.Context, o Options, step func(context.Context, lease.Token)) error {
	for o.Clock.Sleep(ctx, o.Interval) == nil {
		if t, ok := o.Holds(); ok {
			step(ctx, t)
		}
	}
	return nil
}

// Holds returns the token if this entry VM may perform the duty now.
func (o Options) Holds() (lease.Token, bool) {
	t, err := o.Lease.Check(o.Group, o.Margin)
	return t, err == nil && o.pauseOver(t)
}

// pauseOver reports whether HandOverPause has passed since this entry VM took over the lease. The first holder ever has no
// predecessor to wait for.
func (o Options) pauseOver(t lease.Token) bool {
	return t.Fencing <= 1 || o.Clock.Now().Sub(t.Since) >= o.HandOverPause
}

// Pending holds the calls that their receivers may not have carried out yet, by subject.
type Pending[S comparable, V any] map[S]PendingCall[V]

// PendingCall is the figure of a call, and the time until which it may still be carried out.
type PendingCall[V any] struct {
	Value V
	Until time.Time
}

// Add records a call that may be carried out until the given time.
func (p Pending[S, V]) Add(subject S, value V, until time.Time) {
	p[subject] = PendingCall[V]{value, until}
}

// Get returns the value of a pending call, and removes an expired one.
func (p Pending[S, V]) Get(now time.Time, subject S) (V, bool) {
	c, ok := p[subject]
	if ok && !now.Before(c.Until) {
		delete(p, subject)
		ok = false
	}
	return c.Value, ok
}
