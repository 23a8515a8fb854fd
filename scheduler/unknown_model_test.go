package scheduler_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/internal/liveheap"
	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/scheduler"
	"bergamotcroft.example/bergamot/topo"
)

// Guards against state that is kept under the names of models that requests state and nobody serves.
func TestUnknownModelsLeaveNoState(t *testing.T) {
	is := is.New(t)
	s := newScheduler(t, false)
	s.SetUpstreams(engines(topo.RoleBoth))
	offer := func(n int, model string) []scheduler.Action {
		return s.Offer(time.Millisecond, &policy.Request{ID: uint64(n) + 1, Model: model, UnknownModel: true, Deadline: time.Minute, PromptTokens: 10})
	}
	const requests, nameBytes, bound = 1000, 15000, 1 << 20
	before := liveheap.Bytes()
	for n := range requests {
		name := fmt.Sprintf("%06d%s", n, strings.Repeat("x", nameBytes))
		actions := offer(n, name)
		is.Equal(len(actions), 1)
		is.Equal(actions[0].Kind, scheduler.Refuse)
		is.Equal(actions[0].Code, result.NoUpstream)
		is.True(actions[0].RetryAfter > 0)
		is.True(!s.Cancel(time.Millisecond, actions[0].Request)) // a caller that leaves
	}
	is.True(liveheap.Bytes() < before+bound)
	runtime.KeepAlive(s)

	actions := offer(requests, "m") // an upstream has it
	is.Equal(len(actions), 1)
	is.Equal(actions[0].Kind, scheduler.Dispatch)
}
