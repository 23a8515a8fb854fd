package store

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

// Rates are the limits of the whole store, calls a second.
type Rates struct {
	Reads  float64
	Writes float64
}

// DefaultRates are the documented limits of the platform's store.
var DefaultRates = Rates{Reads: 2000, Writes: 300}

const (
	// authorityPart of the rates is kept for leases and orders. Their number is bounded by the number of groups, not
	// by the number of VMs, so an equal split between 2,200 VMs would starve the few that hold a lease.
	authorityPart = 0.5
	// minBurst lets a VM with a share far below one call a second make a few calls in a row, for example read, write and
	// read back.
	minBurst = 4
)

// share limits one class of calls of this VM to its part of the store's rates.
type share struct {
	reads, writes *rate.Limiter
}

func newShare() *share {
	return &share{reads: rate.NewLimiter(0, minBurst), writes: rate.NewLimiter(0, minBurst)}
}

// divide sets the share to an equal part of the given rates. The burst is one second's worth.
func (s *share) divide(now time.Time, r Rates, parts int) {
	set(s.reads, now, r.Reads/float64(max(parts, 1)))
	set(s.writes, now, r.Writes/float64(max(parts, 1)))
}

func set(l *rate.Limiter, now time.Time, perSecond float64) {
	if l.Limit() == rate.Limit(perSecond) {
		return
	}
	l.SetLimitAt(now, rate.Limit(perSecond))
	l.SetBurstAt(now, max(minBurst, int(perSecond)))
}

// wait takes one call from l and sleeps until it may be made. It gives up with ErrRateLimited when that is later than most.
func wait(ctx context.Context, clock Clock, l *rate.Limiter, most time.Duration) error {
	now := clock.Now()
	r := l.ReserveN(now, 1)
	d := r.DelayFrom(now)
	if !r.OK() || d > most {
		r.CancelAt(now)
		return ErrRateLimited
	}
	if d == 0 {
		return nil
	}
	return clock.Sleep(ctx, d)
}
