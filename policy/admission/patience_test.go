package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/result"
)

// Guards against refusing a request whose answer is long but can begin in time, and against queueing one whose caller
// will have left before the answer begins. On both sites' standard days, two thirds of the requests not served were
// wrongly refused.
func TestOnlyTheTimeToTheFirstTokenDecides(t *testing.T) {
	is := is.New(t)
	p := (*Patience)(nil).ModuleInfo().New().(*Patience)
	f := &policy.Fleet{Upstreams: []*policy.Upstream{{Accepting: true}}, ByModel: map[string][]int{"m": {0}}}
	r := &policy.Request{Model: "m", FirstTokenDeadline: 2 * time.Second, Deadline: 6 * time.Second}
	long := policy.Choice{FirstToken: time.Second, Finish: time.Minute}
	is.True(p.Admit(0, r, f, long, policy.QueueView{}).Admit)
	late := p.Admit(0, r, f, policy.Choice{FirstToken: 2500 * time.Millisecond}, policy.QueueView{})
	is.True(!late.Admit)
	is.Equal(late.Code, result.CannotMeetDeadline)
	is.Equal(late.RetryAfter, 500*time.Millisecond)
	r.Generated = 1 // the answer has begun, so the caller waits until its deadline
	is.True(p.Admit(0, r, f, policy.Choice{FirstToken: 2500 * time.Millisecond}, policy.QueueView{}).Admit)
	f.Upstreams[0].Accepting = false
	none := p.Admit(0, r, f, policy.Choice{Prefill: policy.None}, policy.QueueView{})
	is.Equal(none.Code, result.NoUpstream)
}
