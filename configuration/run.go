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

// EventRevision is the broadcast event that tells of a revision in force. Its payload is the revision, 8 bytes big-endian.
const EventRevision = "config_revision"

const (
	// fanOut is the number of VMs that ask the same one. The tree of 250 VMs in a data centre is then 4 deep, and a VM
	// answers at most 4 requests for each that it sends.
	fanOut = 4
	// sampleSize is the number of members asked for a majority. Up to this size a majority of all members is needed;
	// beyond it, of a random sample, so that an outage of the store does not cost each VM 2,200 requests.
	sampleSize = 31
	askAtOnce  = 8 // requests to members at the same time
)

// Run keeps the configuration up to date until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	if m := n.opt.Members; m != nil {
		m.Handle(EventRevision, n.heard)
	}
	var g run.Group
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := func(error) { cancel() }
	g.Add(func() error { return n.runSteps(ctx) }, stop)
	g.Add(func() error { return n.runWatch(ctx) }, stop)
	g.Add(func() error { return n.runKicks(ctx) }, stop)
	g.Add(func() error { return n.runPrompts(ctx) }, stop)
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

// heard takes a broadcast. It does not block.
func (n *Node) heard(e membership.Event) {
	if len(e.Payload) != 8 {
		return
	}
	revision := binary.BigEndian.Uint64(e.Payload)
	if revision <= n.Revision() {
		return
	}
	for _, m := range n.members() {
		if m.Name == e.Origin {
			n.kick(kick{m, revision})
			return
		}
	}
}

// kick names a member that is said to have a revision.
type kick struct {
	from     membership.Member
	revision uint64
}

func (n *Node) kick(k kick) {
	select {
	case n.kicks <- k:
	default: // the queue is full of members with a higher revision
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

// position returns the place of this VM in its data centre's tree and the member that it asks. The VM at place 0 watches the
// store.
func (n *Node) position() (int, membership.Member) {
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
		return cmp.Compare(weight(a.Name), weight(b.Name))
	})
	at := slices.IndexFunc(tree, func(m membership.Member) bool { return m.Name == self.Name })
	if at <= 0 {
		return 0, membership.Member{}
	}
	return at, tree[(at-1)/fanOut]
}

func weight(name string) uint64 { return xxhash.Sum64String("configuration/" + name) }

// runSteps carries out one step after the other. A VM that asks another one waits in the request, which is answered at the next
// revision or confirmation.
func (n *Node) runSteps(ctx context.Context) error {
	for failures := 0; ctx.Err() == nil; {
		at, err := n.Step(ctx)
		pause := time.Duration(0)
		switch {
		case err != nil:
			failures++
			unconfirmed.Inc()
			n.opt.Logger.Warn("configuration not confirmed", zap.Error(err))
			pause = max(store.Backoff(failures), n.draw(n.opt.ConfirmEvery))
		case at == 0:
			failures = 0
			pause = n.opt.ConfirmEvery*3/4 + n.draw(n.opt.ConfirmEvery/4)
		default:
			failures = 0
		}
		_ = n.opt.Clock.Sleep(ctx, pause)
	}
	return nil
}

// runKicks fetches from members that are said to have a higher revision, unless it has arrived on another way.
func (n *Node) runKicks(ctx context.Context) error {
	for {
		select {
		case k := <-n.kicks:
			if k.revision <= n.Revision() {
				continue
			}
			if _, err := n.fetch(ctx, k.from, 0); err != nil {
				n.opt.Logger.Warn("fetch failed", zap.String("member", k.from.Name), zap.Error(err))
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// ConfirmNow asks for a confirmation ahead of the next scheduled step and does not wait for it. Run carries it out once; after
// a failure the schedule applies.
func (n *Node) ConfirmNow() {
	select {
	case n.prompts <- struct{}{}:
	default: // one is asked for already
	}
}

// runPrompts carries out the requests of ConfirmNow beside the steps, since a step may be held back by the member that it asks.
// It asks the store, because that member's own confirmation may be older than the request.
func (n *Node) runPrompts(ctx context.Context) error {
	for {
		select {
		case <-n.prompts:
			if n.Revision() == 0 {
				continue // the steps look for the first revision
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

// Step confirms the revision in force once, or finds a higher one. It returns the VM's place in the tree. Run calls it in a loop.
func (n *Node) Step(ctx context.Context) (int, error) {
	at, parent := n.position()
	if n.Revision() == 0 {
		return at, n.start(ctx)
	}
	if at == 0 {
		return at, n.confirmAtSource(ctx)
	}
	wait := n.opt.ConfirmEvery
	if n.stale() {
		wait = 0
	}
	_, err := n.fetch(ctx, parent, wait)
	if err == nil && !n.stale() {
		return at, nil
	}
	// The member that this VM asks fails or has no confirmation itself. The store and the other members stand in for it.
	return 0, n.confirmAtSource(ctx)
}

// stale reports whether the next lost confirmation would make this VM refuse new work.
func (n *Node) stale() bool {
	f := n.Freshness()
	return f.Confirmed < 0 || f.Confirmed > n.opt.MaxUnconfirmed/2
}

// confirmAtSource asks the store, and the members when the store gives no answer that can be current.
func (n *Node) confirmAtSource(ctx context.Context) error {
	asked := n.opt.Clock.Now()
	err := n.readStore(ctx)
	if _, confirmed, _ := n.state(); err == nil && !confirmed.Before(asked) {
		return nil
	}
	return trace.NewAggregate(err, n.confirmByMembers(n.askMembers(ctx)))
}

// poll is what the members answered.
type poll struct {
	at       time.Time // before the first request
	asked    int
	answered int
	fresh    int // of those, the ones with a recent confirmation of their own
}

// askMembers asks the members, or a random sample of a large fleet, and adopts the highest revision.
func (n *Node) askMembers(ctx context.Context) poll {
	p := poll{at: n.opt.Clock.Now()}
	sample := n.members()
	n.mu.Lock()
	n.rng.Shuffle(len(sample), func(i, j int) { sample[i], sample[j] = sample[j], sample[i] })
	n.mu.Unlock()
	sample = sample[:min(len(sample), sampleSize-1)]
	p.asked = len(sample)
	var mu sync.Mutex
	var g errgroup.Group
	g.SetLimit(askAtOnce)
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
				p.fresh++
			}
			return nil
		})
	}
	_ = g.Wait()
	return p
}

// errNoMajority means that too few members could confirm the revision in force.
var errNoMajority = errors.New("no majority of the members confirmed the configuration")

// confirmByMembers confirms the revision in force when a majority with a recent confirmation of their own, this VM included,
// has none that is higher. Members that were paused or have just started don't count: a majority of them may have missed the
// newest revision. When all members answer, none is left that could have a higher one.
func (n *Node) confirmByMembers(p poll) error {
	fresh := p.fresh
	if f := n.Freshness(); f.Confirmed >= 0 && f.Confirmed <= n.opt.MaxUnconfirmed {
		fresh++
	}
	if p.answered < p.asked && fresh*2 <= p.asked+1 {
		return errNoMajority
	}
	n.confirm(n.Revision(), p.at)
	return nil
}

// start finds the first revision: the highest among the store's and those of the members that answer. The members are asked
// first, since they hold the chunks and the store's rates are small, but confirm only if the store can't.
func (n *Node) start(ctx context.Context) error {
	p := n.askMembers(ctx)
	err := n.readStore(ctx)
	if n.Revision() == 0 {
		return trace.NewAggregate(err, errNothing)
	}
	if err != nil {
		return n.confirmByMembers(p)
	}
	return nil
}

// errNothing means that no revision was found. It keeps a VM that has just been started looking.
var errNothing = errors.New("no configuration found yet")

// runWatch watches the store while this VM is the first of its data centre.
func (n *Node) runWatch(ctx context.Context) error {
	var from uint64
	started := false
	for failures := 0; ctx.Err() == nil; {
		if at, _ := n.position(); at != 0 {
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
