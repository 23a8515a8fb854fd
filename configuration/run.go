package configuration

import (
	"cmp"
	"context"
	"encoding/binary"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"github.com/oklog/run"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"bergamotcroft.example/bergamot/membership"
	"bergamotcroft.example/bergamot/store"
)

// EventRevision is the broadcast event that announces a revision in force. Its payload is the revision, 8 bytes big-endian.
const EventRevision = "config_revision"

const (
	// fanOut is the number of children of a VM in its data centre's tree, in which each VM sends its requests to its
	// parent. The tree of 250 VMs is then 4 deep, and a VM answers at most 4 requests for each that it sends.
	fanOut = 4
	// sampleSize is the number of members asked for a majority. Up to this size a majority of all members is needed;
	// in a larger fleet a majority of a random sample, so that an outage of the store does not cost each VM 2,200 requests.
	sampleSize           = 31
	maxConcurrentFetches = 8 // concurrent requests to members
)

// Run keeps the configuration up to date until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	if m := n.opt.Members; m != nil {
		m.Handle(EventRevision, n.handleBroadcast)
	}
	var g run.Group
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := func(error) { cancel() }
	g.Add(func() error { return n.runSteps(ctx) }, stop)
	g.Add(func() error { return n.runWatch(ctx) }, stop)
	g.Add(func() error { return n.runHints(ctx) }, stop)
	g.Add(func() error { return n.runConfirmRequests(ctx) }, stop)
	g.Add(func() error { return n.runCollect(ctx) }, stop)
	err := g.Run()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (n *Node) broadcast(revision uint64) {
	if n.opt.Members == nil {
		return
	}
	payload := binary.BigEndian.AppendUint64(nil, revision)
	if err := n.opt.Members.Broadcast(EventRevision, payload); err != nil {
		n.opt.Logger.Warn("broadcast failed", zap.Uint64("revision", revision), zap.Error(err))
	}
}

// handleBroadcast queues a fetch when a broadcast announces a higher revision. It does not block.
func (n *Node) handleBroadcast(e membership.Event) {
	if len(e.Payload) != 8 {
		return
	}
	revision := binary.BigEndian.Uint64(e.Payload)
	if revision <= n.Revision() {
		return
	}
	for _, m := range n.members() {
		if m.Name == e.Origin {
			n.enqueueHint(revisionHint{m, revision})
			return
		}
	}
}

// revisionHint states that a member has announced a revision.
type revisionHint struct {
	from     membership.Member
	revision uint64
}

func (n *Node) enqueueHint(h revisionHint) {
	select {
	case n.hints <- h:
	default: // the queued hints lead to a higher revision as well
	}
}

// members returns the members that are alive or leaving, without this VM.
func (n *Node) members() []membership.Member {
	if n.opt.Members == nil || n.opt.Fetcher == nil {
		return nil
	}
	self := n.opt.Members.Self().Name
	return slices.DeleteFunc(n.opt.Members.Members(), func(m membership.Member) bool {
		return m.Name == self || m.State == membership.Gone
	})
}

// treePosition returns the place of this VM in its data centre's tree and its parent there. The VM at place 0, the root,
// watches the store.
func (n *Node) treePosition() (int, membership.Member) {
	if n.opt.Members == nil || n.opt.Fetcher == nil {
		return 0, membership.Member{}
	}
	self := n.opt.Members.Self()
	var tree []membership.Member
	for _, m := range n.opt.Members.Members() {
		if m.DataCentre == self.DataCentre && (m.State == membership.Alive || m.Name == self.Name) {
			tree = append(tree, m)
		}
	}
	slices.SortFunc(tree, func(a, b membership.Member) int {
		return cmp.Compare(treeRank(a.Name), treeRank(b.Name))
	})
	position := slices.IndexFunc(tree, func(m membership.Member) bool { return m.Name == self.Name })
	if position <= 0 {
		return 0, membership.Member{}
	}
	return position, tree[(position-1)/fanOut]
}

func treeRank(name string) uint64 { return xxhash.Sum64String("configuration/" + name) }

// runSteps calls Step in a loop. A VM with a parent does not pause between steps: the parent holds its answer back until
// the next revision or confirmation.
func (n *Node) runSteps(ctx context.Context) error {
	for failures := 0; ctx.Err() == nil; {
		position, err := n.Step(ctx)
		pause := time.Duration(0)
		switch {
		case err != nil:
			failures++
			unconfirmed.Inc()
			n.opt.Logger.Warn("configuration not confirmed", zap.Error(err))
			pause = max(store.Backoff(failures), n.jitter(n.opt.ConfirmEvery))
		case position == 0:
			failures = 0
			pause = n.opt.ConfirmEvery*3/4 + n.jitter(n.opt.ConfirmEvery/4)
		default:
			failures = 0
		}
		_ = n.opt.Clock.Sleep(ctx, pause)
	}
	return nil
}

// runHints fetches from members that have announced a higher revision, unless this VM already has it.
func (n *Node) runHints(ctx context.Context) error {
	for {
		select {
		case h := <-n.hints:
			if h.revision <= n.Revision() {
				continue
			}
			if _, err := n.fetch(ctx, h.from, 0); err != nil {
				n.opt.Logger.Warn("fetch failed", zap.String("member", h.from.Name), zap.Error(err))
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// ConfirmNow requests a confirmation before the next scheduled step and does not wait for it. Run tries it once; after a
// failure the schedule applies.
func (n *Node) ConfirmNow() {
	select {
	case n.confirmRequests <- struct{}{}:
	default: // a request is already pending
	}
}

// runConfirmRequests serves the requests of ConfirmNow concurrently with the steps, since the parent may hold back the
// answer to a step. It reads the store, because the parent's own confirmation may be older than the request.
func (n *Node) runConfirmRequests(ctx context.Context) error {
	for {
		select {
		case <-n.confirmRequests:
			if n.Revision() == 0 {
				continue // the steps already look for the first revision
			}
			if err := n.confirmAtSource(ctx); err != nil {
				unconfirmed.Inc()
				n.opt.Logger.Warn("configuration not confirmed", zap.Error(err))
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// Step confirms the revision in force once, or adopts a higher one. It returns the VM's place in the tree. Run calls it
// in a loop.
func (n *Node) Step(ctx context.Context) (int, error) {
	position, parent := n.treePosition()
	if n.Revision() == 0 {
		return position, n.findFirstRevision(ctx)
	}
	if position == 0 {
		return position, n.confirmAtSource(ctx)
	}
	wait := n.opt.ConfirmEvery
	if n.confirmationOverdue() {
		wait = 0
	}
	_, err := n.fetch(ctx, parent, wait)
	if err == nil && !n.confirmationOverdue() {
		return position, nil
	}
	// The parent fails or has no recent confirmation itself, so the store and the other members are asked instead.
	return 0, n.confirmAtSource(ctx)
}

// confirmationOverdue reports whether another lost confirmation would make this VM refuse new work.
func (n *Node) confirmationOverdue() bool {
	f := n.Freshness()
	return f.ConfirmationAge < 0 || f.ConfirmationAge > n.opt.MaxUnconfirmed/2
}

// confirmAtSource confirms the revision by the store, or by the members if the store fails or returns an outdated revision.
func (n *Node) confirmAtSource(ctx context.Context) error {
	asked := n.opt.Clock.Now()
	err := n.readStore(ctx)
	if _, confirmed, _ := n.state(); err == nil && !confirmed.Before(asked) {
		return nil
	}
	return trace.NewAggregate(err, n.confirmByMembers(n.askMembers(ctx)))
}

// pollResult sums up the answers of the members.
type pollResult struct {
	started   time.Time // time before the first request
	asked     int
	answered  int
	confirmed int // of those answered, members with a recent confirmation of their own
}

// askMembers asks the members, or a random sample of a large fleet, and adopts the highest revision.
func (n *Node) askMembers(ctx context.Context) pollResult {
	p := pollResult{started: n.opt.Clock.Now()}
	sample := n.members()
	n.mu.Lock()
	n.rng.Shuffle(len(sample), func(i, j int) { sample[i], sample[j] = sample[j], sample[i] })
	n.mu.Unlock()
	sample = sample[:min(len(sample), sampleSize-1)]
	p.asked = len(sample)
	var mu sync.Mutex
	var g errgroup.Group
	g.SetLimit(maxConcurrentFetches)
	for _, m := range sample {
		g.Go(func() error {
			a, err := n.fetch(ctx, m, 0)
			if err != nil {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			p.answered++
			if a.Revision > 0 && a.Confirmed >= 0 && a.Confirmed <= n.opt.MaxUnconfirmed {
				p.confirmed++
			}
			return nil
		})
	}
	_ = g.Wait()
	return p
}

// errNoMajority is returned when too few members could confirm the revision in force.
var errNoMajority = errors.New("no majority of the members confirmed the configuration")

// confirmByMembers confirms the revision in force when a majority with a recent confirmation of their own, this VM
// included, has no higher one. Members that were paused or have just started don't count: a majority of them may have
// missed the newest revision. When all members have answered, no other one can have a higher revision.
func (n *Node) confirmByMembers(p pollResult) error {
	confirmed := p.confirmed
	if f := n.Freshness(); f.ConfirmationAge >= 0 && f.ConfirmationAge <= n.opt.MaxUnconfirmed {
		confirmed++
	}
	if p.answered < p.asked && confirmed*2 <= p.asked+1 {
		return errNoMajority
	}
	n.confirm(n.Revision(), p.started)
	return nil
}

// findFirstRevision adopts the highest revision of the store and the members that answer. The members are asked
// first, since they hold the chunks and the store's rate limits are low, but confirm only if the store fails.
func (n *Node) findFirstRevision(ctx context.Context) error {
	p := n.askMembers(ctx)
	err := n.readStore(ctx)
	if n.Revision() == 0 {
		return trace.NewAggregate(err, errNoConfiguration)
	}
	if err != nil {
		return n.confirmByMembers(p)
	}
	return nil
}

// errNoConfiguration is returned when no revision was found. A VM that has just started then tries again.
var errNoConfiguration = errors.New("no configuration found yet")

// runWatch watches the store while this VM is the root of its data centre's tree.
func (n *Node) runWatch(ctx context.Context) error {
	var from uint64
	started := false
	for failures := 0; ctx.Err() == nil; {
		if position, _ := n.treePosition(); position != 0 {
			started = false
			_ = n.opt.Clock.Sleep(ctx, idlePoll)
			continue
		}
		var err error
		if started {
			from, err = n.WatchOnce(ctx, from)
		} else {
			from, err = n.watchStart(ctx)
			started = err == nil
		}
		if err == nil {
			failures = 0
			continue
		}
		failures++
		_ = n.opt.Clock.Sleep(ctx, store.Backoff(failures))
	}
	return nil
}
