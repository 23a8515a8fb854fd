package permits

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

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

// The users' rule on limits.
const (
	ruleWindow = 4 * time.Second
	ruleSettle = 3 * time.Second // from the first answer that names a limit
)

func allowed(limit float64) int { return int(1.5*limit*ruleWindow.Seconds() + 5) }

func noLimit(time.Duration) float64 { return 0 }

func between(limit float64, from, to time.Duration) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		if now >= from && now < to {
			return limit
		}
		return 0
	}
}

const forever = time.Duration(math.MaxInt64)

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

// Guards against a limited server that gets more than its limit from all entry VMs together, or much less than it takes, with
// limits above and below one request for each VM and window.
func TestALimitHoldsOverAllVMs(t *testing.T) {
	for _, vms := range []int{1, 9, 75} {
		for _, limit := range []float64{0.1, 0.7, 2, 15, 150} {
			t.Run(fmt.Sprintf("%d VMs, %g a second", vms, limit), func(t *testing.T) {
				t.Parallel()
				perVM := max(60, 9*limit) / float64(vms)
				limited := &server{name: "a", limit: between(limit, seconds(2), forever)}
				fl := newFleet(t, 7, vms, perVM, limited, &server{name: "b", limit: noLimit}, &server{name: "c", limit: noLimit})
				fl.run(seconds(20))
				if n := limited.mostInWindow(seconds(2)+ruleSettle, fl.now); n > allowed(limit) {
					t.Errorf("got %d requests in %s, allowed %d", n, ruleWindow, allowed(limit))
				}
				got, takes := limited.count(seconds(5), seconds(20)), limit*15
				t.Logf("got %d requests in 15 s, takes %.1f", got, takes)
				if float64(got) < 0.7*takes-2 {
					t.Errorf("got %d requests in 15 s, takes %.1f", got, takes)
				}
				if len(fl.refused) > 0 {
					t.Errorf("%d requests refused, though two servers have room", len(fl.refused))
				}
			})
		}
	}
}

// Guards against a limit that is not followed when it rises or falls, and against a server that does not get its full share
// soon after its limit has ended.
func TestAChangingLimit(t *testing.T) {
	for _, vms := range []int{9, 75} {
		t.Run(fmt.Sprint(vms, " VMs"), func(t *testing.T) {
			t.Parallel()
			limits := []float64{20, 2, 10, 1, 0}
			const phase = 8 * time.Second
			a := &server{name: "a", limit: func(now time.Duration) float64 { return limits[min(int(now/phase), len(limits)-1)] }}
			fl := newFleet(t, 8, vms, 120/float64(vms), a, &server{name: "b", limit: noLimit}, &server{name: "c", limit: noLimit})
			fl.run(5*phase + seconds(4))
			for i, limit := range limits[:4] {
				from := time.Duration(i) * phase
				if n := a.mostInWindow(from+ruleSettle, from+phase); n > allowed(limit) {
					t.Errorf("limit %g: got %d requests in %s, allowed %d", limit, n, ruleWindow, allowed(limit))
				}
				if got := a.count(from+seconds(4), from+phase); float64(got) < 0.6*4*limit-2 {
					t.Errorf("limit %g: got %d requests in 4 s", limit, got)
				}
			}
			if got := a.count(4*phase+seconds(2), 4*phase+seconds(4)); got < 60 {
				t.Errorf("got %d requests in 2 s after the limit had ended, its share is 80", got)
			}
		})
	}
}

// Guards against limits that break, and against servers that get nothing any more, while VMs are killed, started, frozen and
// cut from one another, and datagrams are lost.
func TestALimitUnderFaults(t *testing.T) {
	faults := map[string]func(fl *fleet){
		"kills": func(fl *fleet) {
			for i := range 6 {
				v := fl.vms[(i*5)%len(fl.vms)]
				fl.at(seconds(5+2*float64(i)), func() { v.down = true })
				fl.at(seconds(6+2*float64(i)), v.start)
			}
		},
		"the allocators are killed": func(fl *fleet) {
			for i := range 3 {
				fl.at(seconds(6+4*float64(i)), func() {
					address := fl.vms[0].x.members.allocator(xxhash.Sum64String("a")).address
					for _, v := range fl.vms {
						if v.address == address {
							v.down = true
							fl.after(seconds(3), v.start)
						}
					}
				})
			}
		},
		"new VMs": func(fl *fleet) {
			for i, v := range fl.vms[:len(fl.vms)/3] {
				v.down, v.boot = true, 0
				fl.at(seconds(5+float64(i)/10), v.start)
			}
		},
		"freezes": func(fl *fleet) {
			for i := range 8 {
				v := fl.vms[(i*7)%len(fl.vms)]
				fl.at(seconds(5+1.5*float64(i)), func() { v.frozen = true })
				fl.at(seconds(8+1.5*float64(i)), func() { v.frozen = false })
			}
		},
		"halves": func(fl *fleet) {
			fl.at(seconds(6), func() {
				fl.cut = func(a, b *vm) bool { return len(a.name)%2 == len(b.name)%2 && a != b || a.name[2]%2 != b.name[2]%2 }
			})
			fl.at(seconds(16), func() { fl.cut = nil })
		},
		"each by itself": func(fl *fleet) {
			fl.at(seconds(6), func() { fl.cut = func(a, b *vm) bool { return a != b } })
			fl.at(seconds(16), func() { fl.cut = nil })
		},
		"one cut off": func(fl *fleet) {
			fl.at(seconds(6), func() { fl.cut = func(a, b *vm) bool { return a != b && (a.name == "vm1" || b.name == "vm1") } })
			fl.at(seconds(16), func() { fl.cut = nil })
		},
		"datagrams lost": func(fl *fleet) { fl.lost = 0.3 },
	}
	for name, inject := range faults {
		for _, vms := range []int{9, 75} {
			t.Run(fmt.Sprintf("%s, %d VMs", name, vms), func(t *testing.T) {
				t.Parallel()
				a := &server{name: "a", limit: between(2, seconds(2), seconds(24))}
				b := &server{name: "b", limit: between(12, seconds(2), seconds(24))}
				fl := newFleet(t, 9, vms, 90/float64(vms), a, b, &server{name: "c", limit: noLimit}, &server{name: "d", limit: noLimit})
				inject(fl)
				fl.run(seconds(28))
				for _, s := range []struct {
					*server
					limit float64
				}{{a, 2}, {b, 12}} {
					n := s.mostInWindow(seconds(2)+ruleSettle, seconds(24))
					got := s.count(seconds(5), seconds(24))
					t.Logf("limit %g: %d in %s, allowed %d; %d in 19 s", s.limit, n, ruleWindow, allowed(s.limit), got)
					if n > allowed(s.limit) {
						t.Errorf("limit %g: got %d requests in %s, allowed %d", s.limit, n, ruleWindow, allowed(s.limit))
					}
					if float64(got) < 0.3*19*s.limit {
						t.Errorf("limit %g: got %d requests in 19 s", s.limit, got)
					}
					if got := s.count(seconds(26), seconds(28)); got < 20 {
						t.Errorf("limit %g: got %d requests in 2 s after the limit had ended", s.limit, got)
					}
				}
			})
		}
	}
}

// Guards against requests that wait until their deadline though all servers are limited, against servers that get less than
// they take then, and against times to come back before there is room.
func TestAllServersAreLimited(t *testing.T) {
	for _, vms := range []int{9, 75} {
		t.Run(fmt.Sprint(vms, " VMs"), func(t *testing.T) {
			t.Parallel()
			var servers []*server
			for i := range 3 {
				servers = append(servers, &server{name: strings.Repeat("s", i+1), limit: between(6, seconds(2), forever)})
			}
			fl := newFleet(t, 10, vms, 60/float64(vms), servers...)
			fl.run(seconds(20))
			got := 0
			for _, s := range servers {
				got += s.count(seconds(6), seconds(20))
				if n := s.mostInWindow(seconds(2)+ruleSettle, fl.now); n > allowed(6) {
					t.Errorf("got %d requests in %s, allowed %d", n, ruleWindow, allowed(6))
				}
			}
			late, early := 0, 0
			for _, r := range fl.refused {
				if r.at < seconds(6) {
					continue
				}
				if r.waited > patience/2 {
					late++
				}
				if r.retryAfter < patience/2 {
					early++
				}
			}
			t.Logf("served %d of 252, refused %d: %d late, %d with an early time to come back", got, len(fl.refused), late, early)
			if got < 202 {
				t.Errorf("got %d requests in 14 s, the servers take 252", got)
			}
			if 20*late > len(fl.refused) || 20*early > len(fl.refused) {
				t.Errorf("of %d refused requests %d were refused late, %d with an early time to come back", len(fl.refused), late, early)
			}
		})
	}
}

// engineFleet returns five engines that compute prompts and four that generate, of which some are limited from 2 s on.
func engineFleet(limit float64, until time.Duration, limitedPrefill, limitedDecode int) []*server {
	var out []*server
	for i := range 9 {
		s := &server{name: fmt.Sprint("e", i), role: topo.RolePrefill, limit: noLimit}
		n := limitedPrefill
		if i >= 5 {
			s.role, n = topo.RoleDecode, limitedDecode+5
		}
		if i < n {
			s.limit = between(limit, seconds(2), until)
		}
		out = append(out, s)
	}
	return out
}

// Guards against requests refused though engines without a limit have room.
func TestLimitedEngines(t *testing.T) {
	for _, c := range []struct{ prefill, decode int }{{0, 2}, {2, 2}, {3, 1}, {4, 3}, {5, 3}, {0, 4}, {5, 4}} {
		t.Run(fmt.Sprintf("%d that compute prompts and %d that generate", c.prefill, c.decode), func(t *testing.T) {
			t.Parallel()
			servers := engineFleet(1.7, seconds(22), c.prefill, c.decode)
			fl := newFleet(t, 12, 9, 5, servers...)
			fl.run(seconds(36))
			for _, s := range servers {
				if n := s.mostInWindow(seconds(2)+ruleSettle, seconds(22)); s.limit(seconds(3)) > 0 && n > allowed(1.7) {
					t.Errorf("%s got %d requests in %s, allowed %d", s.name, n, ruleWindow, allowed(1.7))
				}
			}
			if c.decode < 4 {
				if len(fl.refused) > 0 {
					t.Errorf("%d of %d requests refused", len(fl.refused), fl.offered)
				}
				return
			}
			got, takes := 0, 4*1.7*17
			for _, s := range servers[5:] {
				got += s.count(seconds(5), seconds(22))
			}
			served, onTime := map[string]int{}, 0
			for _, e := range fl.ends {
				if e.at > seconds(5) && e.at < seconds(22) {
					served[e.class]++
					if e.took <= patience/4 {
						onTime++
					}
				}
			}
			late, after := 0, 0
			for _, r := range fl.refused {
				if r.at > seconds(5) && r.waited > patience/4 {
					late++
				}
				if r.at > seconds(24) {
					after++
				}
			}
			t.Logf("%d of %.0f requests got, %d in time, by class %v; %d refused, %d late, %d after the end", got, takes, onTime, served, len(fl.refused), late, after)
			if float64(got) < 0.8*takes {
				t.Errorf("the engines got %d requests, they take %.0f", got, takes)
			}
			if 10*onTime < 8*got {
				t.Errorf("%d of %d requests were served in time", onTime, got)
			}
			for class := range 3 {
				if 12*served[fmt.Sprint(class)] < got {
					t.Errorf("class %d: %d of %d requests served", class, served[fmt.Sprint(class)], got)
				}
			}
			if 20*late > len(fl.refused) || after > 0 {
				t.Errorf("of %d refused requests %d had waited, %d came after the end", len(fl.refused), late, after)
			}
		})
	}
}

// Guards against cheap requests of a high priority that take all of a limit, which counts them like any other, from bookings.
func TestCheapRequestsDoNotStarveBookings(t *testing.T) {
	for _, vms := range []int{9, 75} {
		t.Run(fmt.Sprint(vms, " VMs"), func(t *testing.T) {
			t.Parallel()
			servers := []*server{{name: "a", limit: between(5, seconds(1), forever)}, {name: "b", limit: between(5, seconds(1), forever)}}
			fl := newFleet(t, 13, vms, 60/float64(vms), servers...)
			for at := seconds(2); at < seconds(20); at += seconds(0.25) {
				fl.at(at, func() { fl.vms[fl.rng.IntN(len(fl.vms))].offerClass("booking", 2) })
			}
			fl.run(seconds(20))
			bookings, all := 0, 0
			for _, e := range fl.ends {
				if e.at > seconds(6) {
					all++
					if e.class == "booking" {
						bookings++
					}
				}
			}
			t.Logf("%d of 56 bookings served, %d requests in all", bookings, all)
			if bookings < 34 {
				t.Errorf("%d of 56 bookings were served", bookings)
			}
			if all < 112 {
				t.Errorf("%d requests were served, the servers take 140", all)
			}
		})
	}
}

// Guards against an exchange whose cost for one VM grows with the fleet.
func TestCostOfTheExchange(t *testing.T) {
	for _, vms := range []int{9, 75, 300} {
		t.Run(fmt.Sprint(vms, " VMs"), func(t *testing.T) {
			t.Parallel()
			var servers []*server
			for i := range 3 {
				servers = append(servers, &server{name: strings.Repeat("s", i+1), limit: between(40, 0, forever)})
			}
			fl := newFleet(t, 11, vms, 300/float64(vms), servers...)
			fl.run(seconds(3))
			for _, v := range fl.vms {
				v.sent, v.got = 0, 0
			}
			fl.run(seconds(8))
			most := 0
			for _, v := range fl.vms {
				most = max(most, v.sent+v.got)
			}
			t.Logf("most messages of a VM: %d a second", most/5)
			if most > 5*2000 {
				t.Errorf("a VM sent and received %d messages in 5 s", most)
			}
		})
	}
}
