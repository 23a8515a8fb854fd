package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/policy/routing"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/scheduler"
	"bergamotcroft.example/bergamot/topo"
)

// serviceDriver drives a scheduler for one service in virtual time.
type serviceDriver struct {
	*is.I
	s        *scheduler.Scheduler
	now      time.Duration
	lastID   uint64
	inFlight map[string][]*policy.Request // by upstream
	sent     map[string]int               // dispatched, by upstream
	refused  []scheduler.Action
}

func newServiceDriver(t *testing.T, servers, slots int) *serviceDriver {
	c := &serviceDriver{I: is.New(t), now: time.Second, inFlight: map[string][]*policy.Request{}, sent: map[string]int{}}
	c.s = scheduler.New(scheduler.Options{
		Router: load[policy.Router](t, "routing.measured"), Admitter: load[policy.Admitter](t, "admission.patience"),
		Health: load[policy.HealthTracker](t, "health.reachable"), Retry: load[policy.RetryPolicy](t, "retry.window"),
		QueueCapacity: 1000, NewCache: routing.NewIndex,
	})
	var list []topo.Upstream
	for i := range servers {
		list = append(list, topo.Upstream{Name: fmt.Sprintf("s%d", i), Kind: topo.KindService, Service: "app", MaxBatch: slots})
	}
	c.s.SetUpstreams(list)
	return c
}

func (c *serviceDriver) apply(actions []scheduler.Action) {
	for _, a := range actions {
		switch a.Kind {
		case scheduler.Dispatch:
			name := c.s.Fleet().Upstreams[a.Decode].Spec.Name
			c.inFlight[name] = append(c.inFlight[name], a.Request)
			c.sent[name]++
		case scheduler.Refuse:
			c.refused = append(c.refused, a)
		}
	}
}

func (c *serviceDriver) offer(patience time.Duration) {
	c.lastID++
	c.apply(c.s.Offer(c.now, &policy.Request{ID: c.lastID, Service: "app", Arrival: c.now, Deadline: c.now + patience, ResendsLimited: true}))
}

// finish ends all requests in flight at an upstream.
func (c *serviceDriver) finish(name string, o policy.Outcome) {
	list := c.inFlight[name]
	c.inFlight[name] = nil
	for _, r := range list {
		c.apply(c.s.Finished(c.now, r, o))
	}
}

func (c *serviceDriver) advance(d time.Duration) {
	c.now += d
	c.apply(c.s.Tick(c.now))
}

// Guards against an upstream that asked for quiet and gets queued requests, new ones or retries before the period is
// over, and against one that gets all queued requests at once afterwards.
func TestQuietUpstreams(t *testing.T) {
	c := newServiceDriver(t, 1, 64)
	c.offer(10 * time.Second)
	c.s.Quiet(c.now, "s0", 2*time.Second)
	c.s.Quiet(c.now, "s0", time.Second) // the later end applies
	c.Equal(c.s.ExclusionReason(c.now, 0), "asked for quiet")
	c.finish("s0", policy.RefusedNotRun) // queued for a retry
	for range 200 {
		c.offer(10 * time.Second)
	}
	for range 99 {
		c.advance(20 * time.Millisecond)
	}
	c.Equal(c.sent["s0"], 1)
	c.Equal(c.s.Queued(), 201)
	c.advance(20 * time.Millisecond)
	c.Equal(len(c.inFlight["s0"]), 1) // accepts one request again
	for want := 2; want <= 64; want *= 2 {
		c.advance(100 * time.Millisecond)
		c.Equal(len(c.inFlight["s0"]), want)
	}
	c.Equal(c.s.ExclusionReason(c.now, 0), "")
	c.Equal(len(c.refused), 0)
}

// Guards against requests that wait for their deadline although all upstreams have asked for quiet beyond it, and
// against checking only the first ones in the queue.
func TestHopelessRequestsAreRefusedAtOnce(t *testing.T) {
	c := newServiceDriver(t, 2, 4)
	for i := range 108 { // 8 go in flight
		c.offer(time.Duration(1+i%5) * time.Second) // from 1 to 5 s
	}
	c.Equal(c.s.Queued(), 100)
	c.s.Quiet(c.now, "s0", 4500*time.Millisecond)
	c.advance(0)
	c.Equal(len(c.refused), 0) // s1 accepts work
	c.s.Quiet(c.now, "s1", 2500*time.Millisecond)
	c.advance(0)
	c.True(len(c.refused) >= 38) // all with deadlines of 1 and 2 s
	times := map[time.Duration]bool{}
	for _, a := range c.refused {
		c.Equal(a.Code, result.NoUpstream)
		c.True(!a.Ran)
		c.True(a.RetryAfter >= 2500*time.Millisecond && a.RetryAfter < 3500*time.Millisecond) // after s1 accepts work again
		times[a.RetryAfter] = true
	}
	c.True(len(times) > len(c.refused)/2) // the retries are spread
	before := len(c.refused)
	c.offer(2 * time.Second)
	c.Equal(len(c.refused), before+1)
	c.offer(3 * time.Second) // queued
	c.Equal(len(c.refused), before+1)
}

// Guards against queued requests that are not refused when the last upstream leaves, and against a leaving upstream
// that gets work again when its quiet period ends.
func TestTheLastUpstreamLeaves(t *testing.T) {
	c := newServiceDriver(t, 1, 4)
	for range 20 {
		c.offer(5 * time.Second)
	}
	c.s.Quiet(c.now, "s0", time.Second)
	c.advance(0)
	c.Equal(len(c.refused), 0)
	c.s.SetAccepting("s0", false)
	c.advance(0)
	c.Equal(len(c.refused), 16)
	c.advance(2 * time.Second)
	c.Equal(c.s.ExclusionReason(c.now, 0), "leaving")
	c.offer(5 * time.Second)
	c.Equal(len(c.refused), 17)
	c.Equal(c.sent["s0"], 4)
}

// Guards against a new upstream that gets no work because the previous upstream in its slot had asked for quiet.
func TestNewUpstreamInAReusedSlotIsNotQuiet(t *testing.T) {
	c := newServiceDriver(t, 1, 4)
	c.s.Quiet(c.now, "s0", time.Minute)
	c.offer(5 * time.Second)
	c.Equal(len(c.refused), 1) // its deadline is before the end of the quiet period
	c.s.SetUpstreams([]topo.Upstream{{Name: "s0 again", Kind: topo.KindService, Service: "app", MaxBatch: 4}})
	c.offer(5 * time.Second)
	c.Equal(c.sent["s0 again"], 1)
	c.advance(2 * time.Minute) // the quiet period of the previous upstream in the slot ends
	c.Equal(c.s.ExclusionReason(c.now, 0), "")
}
