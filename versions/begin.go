package versions

import (
	"context"
	"time"

	"bergamotcroft.example/bergamot/result"
)

// Begin returns the version at which a new stream begins, or "" if it may begin anywhere, as no upstream states a version. It
// waits a moment for a plan with an upstream that serves. deadline is how long the caller waits for its answer.
func (k *Keeper) Begin(ctx context.Context, service string, stream StreamID, deadline time.Duration) (string, *result.Error) {
	start := k.opts.Clock.Now()
	for {
		k.mu.Lock()
		k.lifetime = max(k.lifetime, min(deadline, maxLifetime))
		s := k.service(service)
		now := k.opts.Clock.Now()
		changed, version := k.changed, k.beginVersion(now, s, stream)
		begins, decided, err := k.decideBegin(now, s, service, version)
		k.mu.Unlock()
		if decided {
			return begins, err
		}
		left := waitForPlan(version) - k.opts.Clock.Now().Sub(start)
		if left <= 0 {
			return "", errNoPlan(service, version)
		}
		if !awaitChange(ctx, changed, left) {
			return "", result.New(result.CallerGone, "the caller left").WithExecution(result.NotRun)
		}
	}
}

// decideBegin decides on a stream of the version by the plans. decided is false if a plan may come that lets it begin. The lock is held.
func (k *Keeper) decideBegin(now time.Time, s *serviceState, service, version string) (begins string, decided bool, err *result.Error) {
	nowhere := len(s.Serving) == 0 && version != ""
	switch {
	case k.known && version != "" && !k.inContact(now, cutOffTTL):
		return "", true, result.New(result.StaleEntryVM, "this entry VM can't confirm the versions of %s; use another one", service).WithRetryAfter(retryLater)
	case k.known && (s.Serving[version] > 0 || nowhere): // without any upstream, the scheduler refuses the request at once
		return version, true, nil
	case len(s.Serving) == 0 && s.Unversioned > 0:
		return "", true, nil
	}
	return "", false, nil
}

// errNoPlan refuses a stream for which no plan has come in time.
func errNoPlan(service, version string) *result.Error {
	if version == "" {
		return result.New(result.StaleEntryVM, "the plan for the versions of %s is not known yet", service).WithRetryAfter(retryLater)
	}
	return result.New(result.NoUpstream, "no upstream of %s serves at version %.40q", service, version).WithRetryAfter(retryLater)
}

// waitForPlan returns how long a request waits for a plan, given the version by the plan that is known, or "".
func waitForPlan(version string) time.Duration {
	if version == "" {
		return firstPlanWait
	}
	return planWait
}

// Preview returns what Begin, or Continue with takesUp, would for a stream now, without a wait for a plan. It changes nothing.
func (k *Keeper) Preview(service string, stream StreamID, takesUp bool, deadline time.Duration) (string, *result.Error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.opts.Clock.Now()
	if takesUp {
		version, found := k.find(now, service, stream)
		return continues(service, version, found, deadline)
	}
	s := k.peek(service)
	version := s.pick(k.unconfirmed(now, s.earlier), stream)
	begins, decided, err := k.decideBegin(now, s, service, version)
	if !decided {
		err = errNoPlan(service, version)
	}
	return begins, err
}

// peek returns the state of a service, an empty one if it is not known. The lock is held.
func (k *Keeper) peek(service string) *serviceState {
	if s := k.services[service]; s != nil {
		return s
	}
	return &serviceState{}
}
