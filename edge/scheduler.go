package edge

import (
	"github.com/gravitational/trace"

	"bergamotcroft.example/bergamot/kernel"
	"bergamotcroft.example/bergamot/membership"
	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/policy/retry"
	"bergamotcroft.example/bergamot/policy/routing"
	"bergamotcroft.example/bergamot/scheduler"

	// The policies register themselves.
	_ "bergamotcroft.example/bergamot/policy/admission"
	_ "bergamotcroft.example/bergamot/policy/health"
)

// queueCapacity bounds the requests queued in one entry VM. Each holds its body, typically 20 KB.
const queueCapacity = 500

// moveOverduePrompts gives requests to another engine if the call for their prompt stays without an answer. It takes effect only where
// engines of the platform compute prompts for others.
const moveOverduePrompts = true

// countMemory makes an engine count as full also when its KV cache is. Off until a measurement shows whether engines hold the shared parts
// of the prompts that run there only once; if so, it would leave slots unused.
const countMemory = false

// admitterID returns the admitter of a deployment.
func admitterID(objective bool) string {
	if objective {
		return "admission.objective"
	}
	return "admission.patience"
}

// newScheduler composes the policies for the platform's engines and services.
func newScheduler(e *Edge) (*scheduler.Scheduler, error) {
	router, err := kernel.Load[policy.Router]("routing.measured", nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if m, ok := router.(*routing.Measured); ok {
		if err := e.configureRouter(m); err != nil {
			return nil, err
		}
		m.CountMemory = countMemory
	}
	admitter, err := kernel.Load[policy.Admitter](admitterID(e.objective), nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	health, err := kernel.Load[policy.HealthTracker]("health.reachable", nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	window, err := kernel.Load[*retry.Window]("retry.window", nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	b := e.settings.Bounds
	window.Ratio, window.Slack = b.RetryRatio, b.RetrySlack
	if b.RetryWindow > 0 {
		window.WindowMS = int(b.RetryWindow.Milliseconds())
	}
	window.Members = e.budgetMembers
	return scheduler.New(scheduler.Options{
		Router: router, Admitter: admitter, Health: health, Retry: window, QueueCapacity: queueCapacity, NewCache: newPrefixIndex,
		NoYield: true, NoRescue: true, CachesImports: true, MoveOverduePrompts: moveOverduePrompts,
	}), nil
}

// budgetMembers returns the number of entry VMs that may share the retry budget: all that are not known to be gone.
func (e *Edge) budgetMembers() int {
	n := 0
	for _, m := range e.list.Members() {
		if m.State != membership.Gone {
			n++
		}
	}
	return n
}

// indexedMemoryShare is the share of an engine's memory assumed to hold the prompt pieces that the prefix index tracks.
// The remainder holds parts shorter than a piece, and output.
const indexedMemoryShare = 0.85

func newPrefixIndex(pieces int) policy.PrefixIndex {
	return routing.NewIndex(int(indexedMemoryShare * float64(pieces)))
}
