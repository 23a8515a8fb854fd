package store

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

// Rates are the rate limits of the whole store, in calls per second.
type Rates struct {
	Reads  float64
	Writes float64
}

// DefaultRates are the documented limits of the platform's store.
var DefaultRates = Rates{Reads: 2000, Writes: 300}

const (
	// authorityPart is the part of the rates that is reserved for leases and orders. Only the holders of leases use it, and
	// their number is bounded by the number of groups; an equal split among 2,200 VMs would starve them.
	authorityPart = 0.5
	// minBurst lets a VM with a share far below one call per second make a few calls in a row, for example a read, a write
	// and a read-back.
	minBurst = 4
)

// rateShare limits one class of calls of this VM to its part of the store's rates.
type rateShare struct {
	reads, writes *rate.Limiter
}

func newRateShare() *rateShare {
	return &rateShare{reads: rate.NewLimiter(0, minBurst), writes: rate.NewLimiter(0, minBurst)}
}

// divide sets the share to an equal part of the given rates. The burst is the rate of one second, at least minBurst.
func (s *rateShare) divide(now time.Time, r Rates, parts int) {
	setRate(s.reads, now, r.Reads/float64(max(parts, 1)))
	setRate(s.writes, now, r.Writes/float64(max(parts, 1)))
}

func setRate(l *rate.Limiter, now time.Time, perSecond float64) {
	if l.Limit() == rate.Limit(perSecond) {
		return
	}
	l.SetLimitAt(now, rate.Limit(perSecond))
	l.SetBurstAt(now, max(minBurst, int(perSecond)))
}

// waitForRate waits until l permits one call. It returns ErrRateLimited at once if that takes longer than most.
func waitForRate(ctx context.Context, clock Clock, l *rate.Limiter, most time.Duration) error {
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
