package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/result"
)

// Guards against an order other than standing, priority, share of the account, arrival; against credit for an account that was idle; and
// against a charge that stays after the work was not done.
func TestObjectiveOrder(t *testing.T) {
	is := is.New(t)
	o := load(t, "admission.objective").(*Objective)
	id := uint64(0)
	admit := func(account string, priority int) *policy.Request {
		id++
		r := &policy.Request{ID: id, Model: "m", Caller: account, Priority: priority, PromptTokens: 1000, FirstTokenTarget: time.Second, Deadline: time.Hour}
		is.True(o.Admit(0, r, fleet(), policy.Choice{FirstToken: 100 * time.Millisecond}, policy.QueueView{Capacity: 100}).Admit)
		o.Rank(0, r)
		return r
	}
	for range 10 {
		o.Dispatched(0, admit("busy", 1))
	}
	late, early := admit("quiet", 1), admit("idle", 1)
	is.Equal(late.Share, o.shares.groups[shareKey{"m", 1}].floor) // not 0
	o.Dispatched(0, admit("quiet", 1))
	list := []*policy.Request{late, admit("busy", 1), early, admit("busy", 0)}
	for _, r := range list {
		is.Equal(o.Rank(0, r), 900*time.Millisecond)
	}
	late.LateAt = 1
	o.Rank(2, late)
	want := []*policy.Request{list[3], early, list[1], late}
	slices.SortFunc(list, func(a, b *policy.Request) int {
		if o.Less(a, b) {
			return -1
		}
		return 1
	})
	is.Equal(list, want)
	g, a := o.shares.find(early)
	before := a.used
	o.Dispatched(0, early)
	is.True(a.used > before)
	early.Prefill = policy.None // rejected everywhere
	o.Done(0, early, 0)
	is.Equal(a.used, before)
	for _, r := range want {
		o.Done(0, r, 0)
	}
	is.Equal([]int{g.waiting, g.late, g.active}, []int{0, 0, 0})
}

// Guards against counters that grow with the number of all accounts ever seen, and against an account that fills the queue.
func TestObjectiveBounds(t *testing.T) {
	is := is.New(t)
	o := load(t, "admission.objective").(*Objective)
	for i := range 3 * maxShareAccounts {
		r := &policy.Request{Model: "m", Caller: fmt.Sprint(i), PromptTokens: 100, Deadline: time.Hour, Prefill: policy.None}
		o.Admit(0, r, fleet(), policy.Choice{}, policy.QueueView{})
		o.Dispatched(0, r)
		o.Done(0, r, 0)
	}
	g, _ := o.shares.find(&policy.Request{Model: "m"})
	is.True(len(g.accounts) <= maxShareAccounts+1)
	queued := map[string]int{}
	for i := range 200 {
		account := "flood"
		if i > 150 {
			account = "other"
		}
		q := policy.QueueView{Len: queued["flood"] + queued["other"], Capacity: 100}
		r := &policy.Request{ID: uint64(i), Model: "m", Caller: account, PromptTokens: 100, Deadline: time.Hour}
		v := o.Admit(0, r, fleet(), policy.Choice{Defer: true}, q)
		if v.Admit {
			queued[account]++
		} else {
			is.Equal(v.Code, result.Overloaded)
			is.True(v.RetryAfter >= 200*time.Millisecond)
		}
	}
	is.True(queued["flood"] <= 50)
	is.True(queued["other"] >= 20)
}

// Guards against an account that is hardly served because its requests are large: the charge for one is at most 4 times the mean.
func TestObjectiveLimitsCharges(t *testing.T) {
	is := is.New(t)
	o := load(t, "admission.objective").(*Objective)
	serve := func(account string, tokens int) float64 {
		r := &policy.Request{Model: "m", Caller: account, PromptTokens: tokens, Generated: 1, Deadline: time.Hour}
		a := o.shares.group(r).account(r)
		before := a.used
		o.Dispatched(0, r)
		o.Done(0, r, 0)
		return a.used - before
	}
	serve("small", 1000)
	unit := serve("small", 1000)
	is.True(serve("large", 100000) <= 4*3.1*unit) // this request itself, with a weight of 0.02, raises the mean to 3 times as much
	is.True(serve("large", 2000) > 1.5*unit)      // below the limit, tokens count
}
