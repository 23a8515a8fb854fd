package versions

import (
	"context"
	"slices"
	"time"

	"bergamotcroft.example/bergamot/result"
)

// UnknownStream stands for a stream whose first attempt the caller has not named.
const UnknownStream StreamID = 0

// Continue returns the version at which a stream has begun, so that it may go on there. It waits a moment while newer plans are
// read, and refuses the stream if its version is not certain, or no upstream of that version serves. An unknown stream goes on
// while there is one version only. deadline is how long the caller waits for its answer.
func (k *Keeper) Continue(ctx context.Context, service string, stream StreamID, deadline time.Duration) (string, *result.Error) {
	start := k.opts.Clock.Now()
	for {
		k.mu.Lock()
		now := k.opts.Clock.Now()
		version, found := k.find(now, service, stream)
		changed := k.changed
		k.mu.Unlock()
		left := waitForPlan(version) - now.Sub(start)
		if found != unread || left <= 0 {
			switch found {
			case byMemory:
				continuedKnown.Inc()
			case byPlan:
				continuedPlanned.Inc()
			default:
				refusedTakeUps.Inc()
			}
			return continues(service, version, found, deadline)
		}
		if !awaitChange(ctx, changed, left) {
			return "", result.New(result.CallerGone, "the caller left").WithExecution(result.NotRun)
		}
	}
}

// continues returns the version at which a stream that is taken up goes on. An unread one has waited for the plans long enough.
func continues(service, version string, found certainty, deadline time.Duration) (string, *result.Error) {
	switch found {
	case detached:
		return "", result.New(result.ResumeNotAvailable, "this entry VM can't confirm the version of the stream's first events; use another one").WithRetryAfter(retryLater)
	case uncertain:
		// A retry would be refused as well; the caller has to begin anew.
		return "", result.New(result.ResumeNotAvailable, "the version of the stream's first events is not known or not served").WithRetryAfter(deadline)
	case unread:
		return "", result.New(result.ResumeNotAvailable, "the plan for the versions of %s is not known yet", service).WithRetryAfter(retryLater)
	}
	return version, nil
}

// certainty tells how the version of a stream that is taken up is known.
type certainty int

const (
	byMemory  certainty = iota // its beginning is known
	byPlan                     // all plans by which it may have begun agree
	unread                     // newer plans exist and have not been read
	detached                   // plans may have changed without this entry VM learning of it
	uncertain                  // plans disagree, or no upstream of the version serves
)

// find returns the version at which a stream has begun and how it is known. The lock is held.
func (k *Keeper) find(now time.Time, service string, stream StreamID) (string, certainty) {
	s := k.peek(service)
	if hash, ok := k.started.version(now, stream); ok {
		if version, serves := s.byHash(hash); serves {
			return version, byMemory
		}
		return "", uncertain // that version is gone
	}
	version := s.current.Pick(stream)
	switch {
	case k.mayBeOutdated(now):
		return version, unread
	case !k.inContact(now, contactTTL):
		return version, detached
	case s.Serving[version] == 0 || s.Unversioned > 0 || now.Before(k.unsureUntil):
		return version, uncertain
	}
	agrees := func(p Plan) bool { return p.Pick(stream) == version && (stream != UnknownStream || len(p) == 1) }
	if !agrees(s.current) || slices.ContainsFunc(s.past, func(p pastPlan) bool { return !p.until.Before(now) && !agrees(p.plan) }) {
		return version, uncertain
	}
	return version, byPlan
}

// byHash returns the version that serves and has this hash.
func (s *serviceState) byHash(hash uint32) (string, bool) {
	for v := range s.Serving {
		if VersionHash(v) == hash {
			return v, true
		}
	}
	return "", false
}
