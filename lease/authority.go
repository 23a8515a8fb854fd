// Package lease grants entry VMs exclusive authority over groups of upstreams.
//
// Invariants: the fencing number of a group increases by one with each change of holder; a holder that can't renew stops
// acting, by the monotonic clock, before another VM may take over.
package lease

import "time"

// Token is the proof that a lease is held. Orders carry its group and fencing number.
type Token struct {
	Group   int
	Fencing uint64
	Until   time.Time // end of the lease, with a monotonic reading, counted from before the last renewal was sent
	Since   time.Time // when this process took the lease; for a send timeout after it, a former holder's orders may be in flight
}

// Authority reports which groups this process may act for now.
type Authority interface {
	// Check returns the token if the lease remains held for at least margin, and a *result.Error LeaseLost otherwise.
	Check(group int, margin time.Duration) (Token, error)
	// Groups returns the groups whose lease is held now.
	Groups() []int
	// GroupOf returns the group of an upstream.
	GroupOf(upstream string) int
}
