package replay

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/gravitational/trace"

	"bergamotcroft.example/bergamot/kernel"
	"bergamotcroft.example/bergamot/policy"
	_ "bergamotcroft.example/bergamot/policy/admission" // registers its modules
	_ "bergamotcroft.example/bergamot/policy/health"    // registers its modules
	_ "bergamotcroft.example/bergamot/policy/retry"     // registers its modules
	_ "bergamotcroft.example/bergamot/policy/roles"     // registers its modules
	"bergamotcroft.example/bergamot/policy/routing"
	"bergamotcroft.example/bergamot/scheduler"
)

// Policy selects the policy modules of one run.
type Policy struct {
	Name      string
	Router    string
	Admitter  string
	Health    string
	Retry     string
	Roles     string
	FirstCome bool // classes have no priority
	Seeded    bool // the router takes a seed
}

// Default is the policy under test; Naive is the baseline.
var (
	Default = Policy{
		Name: "default", Router: "routing.prefix_affinity", Admitter: "admission.deadline", Health: "health.relative",
		Retry: "retry.budget", Roles: "roles.mix", Seeded: true,
	}
	Naive = Policy{
		Name: "naive", Router: "routing.round_robin", Admitter: "admission.fifo", Health: "health.none",
		Retry: "retry.immediate", Roles: "roles.fixed", FirstCome: true,
	}
)

// policies maps the values of --policy. Those named naive_ and a module are the default with that module of the
// baseline.
var policies = func() map[string]Policy {
	m := map[string]Policy{"default": Default, "naive": Naive}
	for name, change := range map[string]func(*Policy){
		"naive_routing":   func(p *Policy) { p.Router, p.Seeded = Naive.Router, false },
		"naive_admission": func(p *Policy) { p.Admitter = Naive.Admitter },
		"naive_health":    func(p *Policy) { p.Health = Naive.Health },
		"naive_retry":     func(p *Policy) { p.Retry = Naive.Retry },
		"naive_roles":     func(p *Policy) { p.Roles = Naive.Roles },
	} {
		p := Default
		p.Name = name
		change(&p)
		m[name] = p
	}
	return m
}()

// PolicyNamed returns the policy with the given name.
func PolicyNamed(name string) (Policy, error) {
	p, ok := policies[name]
	if !ok {
		return p, trace.BadParameter("unknown policy %q; known: %v", name, slices.Sorted(maps.Keys(policies)))
	}
	return p, nil
}

const (
	queueCapacity = 2000 // requests in the queue of one entry VM
)

// newScheduler returns the scheduler of one entry VM.
func (p Policy) newScheduler(seed uint64) (*scheduler.Scheduler, error) {
	o := scheduler.Options{QueueCapacity: queueCapacity, NewCache: routing.NewIndex}
	o.NoYield = p.FirstCome
	var raw json.RawMessage
	if p.Seeded {
		raw = json.RawMessage(fmt.Sprintf(`{"seed":%d}`, seed))
	}
	var errs [4]error
	o.Router, errs[0] = kernel.Load[policy.Router](p.Router, raw)
	o.Admitter, errs[1] = kernel.Load[policy.Admitter](p.Admitter, nil)
	o.Health, errs[2] = kernel.Load[policy.HealthTracker](p.Health, nil)
	o.Retry, errs[3] = kernel.Load[policy.RetryPolicy](p.Retry, nil)
	if err := trace.NewAggregate(errs[:]...); err != nil {
		return nil, err
	}
	return scheduler.New(o), nil
}
