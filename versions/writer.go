package versions

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/store"
)

// Kind and name of the object that holds the plans of all services.
const (
	planKind = "stream-versions"
	planName = "plans"
)

const (
	// settleTime is how long the upstreams of a service have to stay the same before its plan follows them, so that a release
	// of several upstreams costs one write.
	settleTime = 200 * time.Millisecond
	// rankDelay is the wait of each entry VM for the one before it to write a plan.
	rankDelay = 60 * time.Millisecond
	maxRank   = 5
	// maxRetryStep bounds the delay between tries of a change that the store refuses to 0.8 s: when a version has gone, its
	// share of the new streams can't begin until a plan without it is stored.
	maxRetryStep = 4
	// reviewInterval is the longest time between two looks at the plans, for those that have become too old to matter.
	reviewInterval = time.Second
)

// Run reads the plans and keeps them in line with the upstreams until ctx ends. A fleet whose services all have one version
// makes one call to the store for each start of an entry VM, and one when it first starts.
func (k *Keeper) Run(ctx context.Context) error {
	if k.opts.AwaitEraChange != nil {
		go k.followEras(ctx)
	}
	go k.keepTicking(ctx)
	failures := 0
	for ctx.Err() == nil {
		wait, err := k.step(ctx)
		if failures++; err == nil {
			failures = 0
		}
		if err != nil {
			k.opts.Log.Info("plans for versions not kept", zap.Int("failures", failures), zap.Error(err))
			wait = store.Backoff(min(failures, maxRetryStep))
		}
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-k.wake:
		}
		t.Stop()
	}
	return nil
}

// keepTicking calls tick until ctx ends.
func (k *Keeper) keepTicking(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		k.tick()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// followEras reads the plans again whenever the store has been set back to a copy.
func (k *Keeper) followEras(ctx context.Context) {
	for era := uint64(firstEra); ; {
		var err error
		if era, err = k.opts.AwaitEraChange(ctx, era); err != nil {
			return // ctx has ended
		}
		k.mu.Lock()
		if k.newest <= k.revision {
			k.newest = max(k.newest, store.ComposeRevision(era, 0))
		}
		k.unsureUntil = k.opts.Clock.Now().Add(k.longestLifetime())
		k.mu.Unlock()
		k.trigger()
	}
}

// step reads the plans if they are not known or newer ones exist, and writes a change that is due. It returns the time until the
// next step.
func (k *Keeper) step(ctx context.Context) (time.Duration, error) {
	k.keepPastPlans()
	rank := k.opts.Rank()
	k.mu.Lock()
	suspended := k.suspended
	read := len(k.services) > 0 && k.unread()
	k.mu.Unlock()
	if suspended {
		return 0, k.reload(ctx)
	}
	if rank < 0 {
		return reviewInterval, nil // another entry VM sends the plans
	}
	if read {
		if err := k.load(ctx); err != nil {
			return 0, err
		}
	}
	change, wait := k.desired()
	if change == nil {
		return wait, nil
	}
	if rank > 0 {
		if err := k.opts.Clock.Sleep(ctx, time.Duration(min(rank, maxRank))*rankDelay); err != nil {
			return 0, nil // ctx has ended
		}
		if err := k.load(ctx); err != nil { // an entry VM before this one has usually written it
			return 0, err
		}
		if change, wait = k.desired(); change == nil {
			return wait, nil
		}
	}
	return 0, k.write(ctx, change)
}

// reload reads the stored plans after a suspension.
func (k *Keeper) reload(ctx context.Context) error {
	if err := k.load(ctx); err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.suspended = false
	k.notify()
	return nil
}

// load reads the stored plans.
func (k *Keeper) load(ctx context.Context) error {
	o, err := k.opts.Store.Get(ctx, planKind, planName)
	switch {
	case errors.Is(err, store.ErrNotFound):
		k.mu.Lock()
		defer k.mu.Unlock()
		k.known, k.objectVersion, k.newest, k.contactAt = true, 0, k.revision, k.opts.Clock.Now()
		for _, s := range k.services {
			s.stored = nil
		}
		k.notify()
		return nil
	case err != nil:
		return err
	}
	k.NoteContact()
	k.mu.Lock()
	k.objectVersion, k.newest = o.Version, max(o.Version, k.revision)
	k.mu.Unlock()
	k.Adopt(o.Version, o.Value, "store")
	return nil
}

// write writes changed plans and puts them in force.
func (k *Keeper) write(ctx context.Context, change *storedPlans) error {
	value, err := json.Marshal(change)
	if err != nil {
		return err
	}
	k.mu.Lock()
	o := store.Object{Kind: planKind, Name: planName, Version: k.objectVersion, Value: value}
	k.mu.Unlock()
	version, err := k.opts.Store.Put(ctx, o)
	switch {
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrNotFound), errors.Is(err, store.ErrOutcomeUnknown):
		k.opts.Log.Info("plans for versions not written", zap.Uint64("revision", o.Version), zap.Error(err))
		return k.load(ctx)
	case err != nil:
		return err
	}
	plansWritten.Inc()
	k.mu.Lock()
	k.objectVersion = version
	k.mu.Unlock()
	k.Adopt(version, value, "own")
	return nil
}

// desired returns the plans of all services as they should be stored, or nil if nothing is to be written now, and the time
// until that may change.
func (k *Keeper) desired() (change *storedPlans, wait time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.opts.Clock.Now()
	out := storedPlans{Services: map[string][]Plan{}}
	wait = reviewInterval
	if !k.known {
		return nil, wait
	}
	due := false
	for name, s := range k.services {
		if s.dirty {
			s.dirty, s.changedAt = false, now
		}
		list, changed := k.desiredService(now, s)
		if changed == settling && now.Sub(s.changedAt) < settleTime {
			wait = min(wait, settleTime-now.Sub(s.changedAt))
			list, changed = s.stored, keep
		}
		due = due || changed != keep
		if len(list) > 0 {
			out.Services[name] = list
		}
	}
	if !due || !out.valid() {
		return nil, wait
	}
	return &out, 0
}

// desiredService returns the plans of one service as they should be stored, and how soon. The lock is held.
func (k *Keeper) desiredService(now time.Time, s *serviceState) ([]Plan, urgency) {
	lifetime := k.lifetimeOf(s)
	plan, changed := next(s.current, s.Serving, func(v string) bool {
		at, ok := s.joined[v]
		return ok && now.Sub(at) < lifetime
	})
	if len(plan) == 0 {
		return nil, keep
	}
	s.past = slices.DeleteFunc(s.past, func(p pastPlan) bool { return p.until.Before(now) })
	var list []Plan
	for _, p := range s.past {
		if !slices.Equal(p.plan, plan) && !slices.Equal(p.plan, s.current) {
			list = append(list, p.plan)
		}
	}
	if changed != keep && len(s.current) > 0 {
		list = append(list, s.current)
	}
	list = append(list, plan)
	switch {
	case changed != keep:
		if len(list) > maxPlans { // the next change waits until the streams that began by the first plans have ended
			return s.stored, keep
		}
		return list, changed
	case len(s.stored) == 0: // lost by the store
		return list, atOnce
	case len(s.stored) > 1 && len(list) == 1: // streams can't have begun by the earlier plans any more
		return list, settling
	}
	return s.stored, keep
}
