package permits

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bergamotcroft.example/bergamot/kernel"
	"bergamotcroft.example/bergamot/loads"
	"bergamotcroft.example/bergamot/membership"
	"bergamotcroft.example/bergamot/policy"
	_ "bergamotcroft.example/bergamot/policy/admission"
	_ "bergamotcroft.example/bergamot/policy/health"
	_ "bergamotcroft.example/bergamot/policy/retry"
	"bergamotcroft.example/bergamot/policy/routing"
	"bergamotcroft.example/bergamot/scheduler"
	"bergamotcroft.example/bergamot/topo"
)

// The fleet of these tests runs entry VMs with their schedulers and exchanges in virtual time, in front of servers that answer
// after workTime and name their limits.

const (
	step         = 2 * time.Millisecond
	delay        = step // of datagrams, requests and answers
	tickInterval = 20 * time.Millisecond
	workTime     = 30 * time.Millisecond
	patience     = 2 * time.Second // of callers
	detectAfter  = 1500 * time.Millisecond
)

type fleet struct {
	t       *testing.T
	now     time.Duration
	rng     *rand.Rand
	vms     []*vm
	servers []*server
	events  map[time.Duration][]func()
	cut     func(a, b *vm) bool // no datagrams between two VMs
	lost    float64             // share of datagrams and announcements that are lost

	offered, served int
	ends            []end
	refused         []refusal
	lastID          uint64
}

// end is the end of a request that was served.
type end struct {
	at, took time.Duration // from its arrival to the first output
	class    string
}

type refusal struct {
	at, waited, retryAfter time.Duration
	class                  string
}

type vm struct {
	fl        *fleet
	name      string
	address   string
	s         *scheduler.Scheduler
	x         *Exchange
	list      *memberList
	boot      uint64
	down      bool // killed, or not started yet
	frozen    bool
	nextRound time.Duration // 0: none
	sent, got int           // datagrams
	rate      float64       // requests per second
	nextOffer time.Duration
}

type server struct {
	name     string
	role     topo.Role                       // of an engine; empty: a server of a plain service
	limit    func(now time.Duration) float64 // 0: none
	arrivals []time.Duration
}

// memberList is how a VM sees the others. It learns of kills, freezes and cuts detectAfter after they have begun.
type memberList struct {
	membership.List
	vm          *vm
	members     []membership.Member
	readAt      time.Duration
	unreachable map[*vm]time.Duration // since when
}

const memberReadInterval = 100 * time.Millisecond

func (l *memberList) Members() []membership.Member {
	fl := l.vm.fl
	if l.members != nil && fl.now-l.readAt < memberReadInterval {
		return l.members
	}
	l.members, l.readAt = make([]membership.Member, 0, len(fl.vms)), fl.now
	for _, other := range fl.vms {
		m := membership.Member{Name: other.name, Address: other.address, State: membership.Alive}
		if other != l.vm && (other.down || other.frozen || fl.isCut(l.vm, other)) {
			if _, ok := l.unreachable[other]; !ok {
				l.unreachable[other] = fl.now
			}
			if fl.now-l.unreachable[other] >= detectAfter {
				m.State = membership.Uncertain
			}
		} else {
			delete(l.unreachable, other)
		}
		if other.boot > 0 {
			l.members = append(l.members, m)
		}
	}
	return l.members
}

func (l *memberList) Self() membership.Member {
	return membership.Member{Name: l.vm.name, Address: l.vm.address}
}

func (l *memberList) reachable() (reachable, known int) {
	for _, m := range l.Members() {
		known++
		if m.State == membership.Alive {
			reachable++
		}
	}
	return reachable, known
}

type transport struct {
	membership.Transport
	vm *vm
}

func (w *transport) Send(address string, datagram []byte) {
	fl := w.vm.fl
	w.vm.sent++
	for _, to := range fl.vms {
		if to.address != address || fl.rng.Float64() < fl.lost || fl.isCut(w.vm, to) {
			continue
		}
		b, boot := slices.Clone(datagram), to.boot
		fl.after(delay, func() {
			if !to.down && to.boot == boot {
				to.got++
				to.x.handleDatagram(fl.wall(), w.vm.address, b)
			}
		})
	}
}

func (fl *fleet) isCut(a, b *vm) bool { return fl.cut != nil && fl.cut(a, b) }

var epoch = time.Unix(1000, 0)

func (fl *fleet) wall() time.Time { return epoch.Add(fl.now) }

func (fl *fleet) after(d time.Duration, f func()) {
	fl.at(fl.now+max(d, step).Round(step), f)
}

func (fl *fleet) at(t time.Duration, f func()) { fl.events[t] = append(fl.events[t], f) }

func newFleet(t *testing.T, seed uint64, vms int, perVM float64, servers ...*server) *fleet {
	t.Logf("seed %d", seed)
	fl := &fleet{t: t, rng: rand.New(rand.NewPCG(seed, 1)), events: map[time.Duration][]func(){}, servers: servers}
	for i := range vms {
		v := &vm{fl: fl, name: fmt.Sprintf("vm%d", i), address: fmt.Sprintf("10.0.%d.%d:9", i/250, i%250), rate: perVM}
		fl.vms = append(fl.vms, v)
		v.start()
	}
	return fl
}

func (v *vm) start() {
	load := func(id string) any {
		m, err := kernel.Load[any](id, nil)
		if err != nil {
			v.fl.t.Fatal(err)
		}
		return m
	}
	v.boot++
	v.down, v.nextRound = false, 0
	v.s = scheduler.New(scheduler.Options{
		Router: load("routing.measured").(policy.Router), Admitter: load("admission.patience").(policy.Admitter),
		Health: load("health.reachable").(policy.HealthTracker), Retry: load("retry.window").(policy.RetryPolicy), QueueCapacity: 500,
		NewCache: routing.NewIndex, NoYield: true, NoRescue: true,
	})
	var list []topo.Upstream
	for _, s := range v.fl.servers {
		u := topo.Upstream{Name: s.name, Kind: topo.KindService, Service: "app", MaxBatch: 1000}
		if s.role != "" {
			u = topo.Upstream{Name: s.name, Kind: topo.KindEngine, Models: []string{"m"}, MaxBatch: 128, KVPieces: 800, Role: s.role}
		}
		list = append(list, u)
	}
	v.s.SetUpstreams(list)
	v.list = &memberList{vm: v, unreachable: map[*vm]time.Duration{}}
	v.x = New(Options{
		List: v.list, Transport: &transport{vm: v}, Port: "9", Secret: "s", Boot: v.boot, Reachable: v.list.reachable,
		RunInScheduler: func(_ context.Context, f func(time.Duration, *scheduler.Scheduler)) error {
			f(v.fl.now, v.s)
			v.apply(v.s.Tick(v.fl.now))
			return nil
		},
		Announce: v.announce,
	})
}

// announce delivers a limit to all other VMs, as package loads does.
func (v *vm) announce(l loads.Limit) {
	for _, to := range v.fl.vms {
		if to == v || v.fl.rng.Float64() < v.fl.lost || v.fl.isCut(v, to) {
			continue
		}
		boot := to.boot
		v.fl.after(2*delay, func() {
			if !to.down && to.boot == boot {
				to.x.Learn(l)
			}
		})
	}
}

func (v *vm) offer() {
	if v.fl.servers[0].role == "" {
		v.offerClass("read", 0)
		return
	}
	v.offerPrompt()
}

// offerPrompt offers a request for an engine: a long, a medium or a short one.
func (v *vm) offerPrompt() {
	fl := v.fl
	fl.lastID++
	fl.offered++
	n := fl.rng.IntN(5) / 2 // the short one is half as frequent
	tokens := []int{17000, 9000, 1400}[n]
	parts := []policy.Part{{ID: uint64(n*1000 + fl.rng.IntN(100)), Tokens: tokens * 3 / 4}}
	r := &policy.Request{
		ID: fl.lastID, Class: fmt.Sprint(n), Priority: 2 - n, Model: "m", PromptTokens: tokens, MaxOutput: 600, HintOutput: 15, Arrival: fl.now,
		Prefix: policy.PrefixPieces(parts), Deadline: fl.now + patience*2, FirstTokenDeadline: fl.now + patience, ResendsLimited: true,
		FirstTokenTarget: fl.now + patience/4,
	}
	v.apply(v.s.Offer(fl.now, r))
}

func (v *vm) offerClass(class string, priority int) {
	fl := v.fl
	fl.lastID++
	fl.offered++
	r := &policy.Request{ID: fl.lastID, Class: class, Priority: priority, Service: "app", Arrival: fl.now, Deadline: fl.now + patience, Idempotent: class == "read"}
	v.apply(v.s.Offer(fl.now, r))
}

func (v *vm) apply(actions []scheduler.Action) {
	fl := v.fl
	for _, a := range slices.Clone(actions) {
		switch a.Kind {
		case scheduler.Dispatch:
			if a.Prefill == a.Decode {
				v.send(a.Request, v.serverAt(a.Decode), workTime)
			} else {
				v.sendPrompt(a.Request, v.serverAt(a.Prefill))
			}
		case scheduler.Refuse:
			fl.refused = append(fl.refused, refusal{fl.now, fl.now - a.Request.Arrival, a.RetryAfter, a.Request.Class})
		}
	}
}

func (v *vm) serverAt(i int) *server {
	name := v.s.Fleet().Upstreams[i].Spec.Name
	return v.fl.servers[slices.IndexFunc(v.fl.servers, func(s *server) bool { return s.name == name })]
}

// send sends a request to a server and ends it when it is answered.
func (v *vm) send(r *policy.Request, to *server, work time.Duration) {
	v.exchange(to, work, func() {
		v.fl.served++
		v.fl.ends = append(v.fl.ends, end{v.fl.now, v.fl.now - r.Arrival, r.Class})
		if r.Model != "" {
			v.s.FirstToken(v.fl.now, r)
			v.s.Progress(v.fl.now, r, 15)
		}
		v.apply(v.s.Finished(v.fl.now, r, policy.Completed))
	})
}

// sendPrompt has an engine compute a prompt and hands it over.
func (v *vm) sendPrompt(r *policy.Request, to *server) {
	v.exchange(to, 3*workTime, func() {
		decode, actions := v.s.PromptComputed(v.fl.now, r)
		v.apply(actions)
		if decode == policy.None {
			v.apply(v.s.Finished(v.fl.now, r, policy.RefusedNotRun))
			return
		}
		v.send(r, v.serverAt(decode), 3*workTime)
	})
}

// exchange sends a request to a server and calls done when the answer has arrived.
func (v *vm) exchange(to *server, work time.Duration, done func()) {
	fl := v.fl
	sentAt, boot := fl.now, v.boot
	fl.after(delay, func() {
		to.arrivals = append(to.arrivals, fl.now)
		fl.after(work, func() {
			limit := to.limit(fl.now)
			fl.after(delay, func() { v.answered(to, limit, sentAt, boot, done) })
		})
	})
}

func (v *vm) answered(from *server, limit float64, sentAt time.Duration, boot uint64, done func()) {
	if v.frozen {
		v.fl.after(step, func() { v.answered(from, limit, sentAt, boot, done) })
		return
	}
	if v.down || v.boot != boot {
		return
	}
	if limit > 0 {
		v.s.AnswerLimit(v.fl.now, from.name, true, limit, 0)
		v.x.Trigger()
	} else {
		v.s.AnswerLimit(v.fl.now, from.name, false, 0, sentAt)
	}
	done()
}

// run advances the fleet to a time.
func (fl *fleet) run(until time.Duration) {
	for ; fl.now < until; fl.now += step {
		for _, f := range fl.events[fl.now] {
			f()
		}
		delete(fl.events, fl.now)
		for _, v := range fl.vms {
			if v.down || v.frozen {
				continue
			}
			for v.rate > 0 && v.nextOffer <= fl.now {
				if v.nextOffer > 0 {
					v.offer()
				}
				v.nextOffer = max(v.nextOffer, fl.now) + seconds(fl.rng.ExpFloat64()/v.rate)
			}
			if fl.now%tickInterval == 0 {
				v.apply(v.s.Tick(fl.now))
			}
			v.roundIfDue()
		}
	}
}

func (v *vm) roundIfDue() {
	if len(v.x.wake) > 0 {
		<-v.x.wake
		if due := v.fl.now + gatherDelay; v.nextRound == 0 || due < v.nextRound {
			v.nextRound = due
		}
	}
	if v.nextRound == 0 || v.fl.now < v.nextRound {
		return
	}
	v.nextRound = 0
	if d := v.x.round(context.Background(), v.fl.wall()); d > 0 {
		v.nextRound = v.fl.now + d
	}
}

// mostInWindow returns the most requests that s got in any 4 s between two times.
func (s *server) mostInWindow(from, to time.Duration) (most int) {
	first := 0
	for i, t := range s.arrivals {
		for s.arrivals[first] < from || t-s.arrivals[first] >= ruleWindow {
			if first++; first > i {
				break
			}
		}
		if t < to {
			most = max(most, i-first+1)
		}
	}
	return most
}

func (s *server) count(from, to time.Duration) (n int) {
	for _, t := range s.arrivals {
		if t >= from && t < to {
			n++
		}
	}
	return n
}
