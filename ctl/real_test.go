package ctl

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/admin"
	"bergamotcroft.example/bergamot/topo"
)

// propose runs a command line that makes a plan and returns the plan's name.
func (f *fleet) propose(args ...string) string {
	status, out, errs := f.ctl(admin.RolePlanner, append(args, "-o", "json")...)
	p, err := topo.Decode[topo.Plan]([]byte(out))
	if status != exitOK || err != nil {
		f.t.Fatalf("%v: status %d, %s, %v", args, status, errs, err)
	}
	return p.Name
}

// runPlan confirms a plan, calls meanwhile and watches the plan until it is done. It returns the output of the watch.
func (f *fleet) runPlan(name string, meanwhile func()) string {
	if status, _, errs := f.ctl(admin.RoleOperator, "confirm", name); status != exitOK {
		f.t.Fatalf("confirm: %s", errs)
	}
	meanwhile()
	status, out, errs := f.ctl(admin.RoleViewer, "watch", name)
	if status != exitOK || !strings.Contains(out, string(topo.PlanDone)) {
		f.t.Fatalf("watch: status %d\n%s%s", status, out, errs)
	}
	return out
}

// Planned changes must complete although the entry VM that executes them is killed meanwhile: no request may be cut, and each step may
// send one order only. Callers must get the new model version once every engine has loaded it.
func TestPlannedChangesCutNothing(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	ctx, stop := context.WithCancel(context.Background())
	var failed, answered atomic.Int64
	var senders sync.WaitGroup
	for range 4 {
		senders.Go(func() { f.vms[1].sendTraffic(ctx, &failed, &answered) })
	}
	f.runPlan(f.propose("plan", "-f", "../examples/ruheraum/intent-role.jsonc"), f.vms[0].kill)
	is.Equal(f.vms[1].node.Current().Upstreams[0].Role, topo.RoleDecode)
	f.runPlan(f.propose("plan", "-f", "../examples/ruheraum/intent-serve.jsonc"), func() {})
	is.Equal(f.vms[1].node.Current().Models[0].Version, "v2")
	stop()
	senders.Wait()
	t.Logf("%d requests answered", answered.Load())
	is.Equal(failed.Load(), int64(0))
	is.True(answered.Load() > 0)
	for name, e := range f.engines {
		orders := 1
		if name == "e1" {
			orders = 2
		}
		is.Equal(len(e.Orders()), orders)
		is.Equal(e.Counts().CutByOrder, 0)
		is.Equal(e.Counts().Conflicts, 0)
	}
}

// Each refused call must print its result code, exit with a non-zero status and change nothing.
func TestRefusals(t *testing.T) {
	f := newFleet(t)
	name := f.propose("drain", "e1")
	for _, c := range []struct {
		role admin.Role
		args []string
		want string
	}{
		{"none", []string{"get", "plans"}, "code 1001 unauthenticated"},
		{admin.RoleViewer, []string{"drain", "e1"}, "code 5015 operator_forbidden"},
		{admin.RolePlanner, []string{"confirm", name}, "code 5015 operator_forbidden"},
		{admin.RoleOperator, []string{"config", "apply", "-f", "../examples/ruheraum/intent-role.jsonc"}, "code 5015 operator_forbidden"},
		{admin.RoleAdmin, []string{"config", "apply", "-f", "../examples/ruheraum/intent-role.jsonc"}, "code 5014 configuration_invalid"},
		{admin.RoleOperator, []string{"drain", "e9"}, `unknown upstream "e9" (code 5005 intent_invalid)`},
		{admin.RoleOperator, []string{"plan", "-f", "fleet_test.go"}, "code 5005 intent_invalid"},
		{admin.RoleOperator, []string{"confirm", "p0"}, "code 5002 plan_not_found"},
		{admin.RoleOperator, []string{"get", "secrets"}, "code 5016 object_not_found"},
		{admin.RoleOperator, []string{"get", "plans", "-o", "yaml"}, "code 1003 malformed_request"},
		{admin.RoleOperator, []string{"plan"}, "a file is missing"},
	} {
		status, out, errs := f.ctl(c.role, c.args...)
		if status != exitFailed || out != "" || !strings.Contains(errs, c.want) {
			t.Errorf("%v: status %d, output %q, error %q, want %q", c.args, status, out, errs, c.want)
		}
	}
	if r := f.vms[0].node.Freshness().Revision; r != 1 {
		t.Errorf("refused calls have changed the configuration to revision %d", r)
	}
}

// Guards against reporting an interrupted wait as an internal error of the entry VM.
func TestInterruptedWait(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	name := f.propose("drain", "e1") // the plan is never confirmed and thus never ends
	f.interrupt = true
	status, _, errs := f.ctl(admin.RoleViewer, "watch", name)
	is.Equal(status, exitFailed)
	is.Equal(errs, "the wait was interrupted; plan "+name+" goes on\n")
}
