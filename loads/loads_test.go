package loads

import (
	"context"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bergamotcroft.example/bergamot/kernel"
	"bergamotcroft.example/bergamot/membership"
	"bergamotcroft.example/bergamot/policy"
	_ "bergamotcroft.example/bergamot/policy/admission"
	_ "bergamotcroft.example/bergamot/policy/health"
	_ "bergamotcroft.example/bergamot/policy/retry"
	"bergamotcroft.example/bergamot/policy/routing"
	"bergamotcroft.example/bergamot/quarantine"
	"bergamotcroft.example/bergamot/scheduler"
	"bergamotcroft.example/bergamot/topo"
)

// fakeList is a fixed membership.
type fakeList struct {
	membership.List
	self    membership.Member
	members []membership.Member
}

func (l *fakeList) Self() membership.Member      { return l.self }
func (l *fakeList) Members() []membership.Member { return l.members }

// recordingTransport records the datagrams sent.
type recordingTransport struct {
	membership.Transport
	to   []string
	last []byte
	all  [][]byte
}

func (w *recordingTransport) Send(address string, datagram []byte) {
	w.to, w.last, w.all = append(w.to, address), datagram, append(w.all, datagram)
}

func member(name, dc string) membership.Member {
	return membership.Member{Name: name, Address: "10.0.0." + name + ":7", DataCentre: dc}
}

func newExchange(t testing.TB, n int, dc func(int) string) (*Exchange, *recordingTransport, *scheduler.Scheduler) {
	load := func(id string) any {
		m, err := kernel.Load[any](id, nil)
		if err != nil {
			t.Fatal(err)
		}
		return m
	}
	s := scheduler.New(scheduler.Options{
		Router: load("routing.measured").(policy.Router), Admitter: load("admission.patience").(policy.Admitter),
		Health: load("health.reachable").(policy.HealthTracker), Retry: load("retry.window").(policy.RetryPolicy), QueueCapacity: 10,
		NewCache: routing.NewIndex,
	})
	s.SetUpstreams([]topo.Upstream{
		{Name: "a", Kind: topo.KindEngine, Models: []string{"m"}, KVPieces: 100}, {Name: "b", Kind: topo.KindEngine, Models: []string{"m"}, KVPieces: 100},
	})
	l := &fakeList{self: member("1", dc(1))}
	for i := 1; i <= n; i++ {
		l.members = append(l.members, member(string(rune('0'+i)), dc(i)))
	}
	w := &recordingTransport{}
	x := New(Options{
		List: l, Transport: w, Port: "9", Secret: "s", Boot: 1,
		RunInScheduler: func(_ context.Context, f func(time.Duration, *scheduler.Scheduler)) error { f(0, s); return nil },
	})
	return x, w, s
}

func sameDC(int) string { return "x" }

// Guards against messages that decode differently from how they were encoded, and against a panic on arbitrary bytes.
func TestMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := message{boot: rapid.Uint64().Draw(t, "boot"), seq: rapid.Uint64().Draw(t, "seq"), dataCentre: rapid.StringN(0, -1, maxDataCentreBytes).Draw(t, "centre")}
		if m.dataCentre != "" {
			m.parts = rapid.Uint64Range(1, maxRelayedParts).Draw(t, "parts")
			m.part = rapid.Uint64Range(0, m.parts-1).Draw(t, "part")
		}
		for range rapid.IntRange(0, 20).Draw(t, "loads") {
			m.loads = append(m.loads, load{rapid.Uint32().Draw(t, "u"), rapid.Uint64Range(0, 999).Draw(t, "r"), rapid.Uint64Range(0, 9999).Draw(t, "p") * promptUnit})
		}
		for range rapid.IntRange(0, 5).Draw(t, "places") {
			m.placements = append(m.placements, placement{7, []policy.Part{{ID: rapid.Uint64().Draw(t, "id"), Tokens: 130}}})
		}
		for range rapid.IntRange(0, 5).Draw(t, "gone") {
			m.gone = append(m.gone, rapid.Uint32().Draw(t, "lost"))
		}
		for range rapid.IntRange(0, 5).Draw(t, "crashes") {
			m.crashes = append(m.crashes, Crash{rapid.Uint64().Draw(t, "request"), rapid.Uint32().Draw(t, "crash")})
		}
		for range rapid.IntRange(0, 5).Draw(t, "limits") {
			m.limits = append(m.limits, limitNotice{
				rapid.Uint64().Draw(t, "limited"), rapid.Float64Range(0, 1e9).Draw(t, "rate"), rapid.Bool().Draw(t, "ended"), rapid.Bool().Draw(t, "firsthand"),
				time.Duration(rapid.IntRange(0, 1000).Draw(t, "age")) * time.Millisecond,
			})
		}
		for range rapid.IntRange(0, 5).Draw(t, "notices") {
			n := quarantine.PartNotice{
				Kind: quarantine.PartNoticeKind(rapid.Byte().Draw(t, "kind")), Crash: rapid.Uint32().Draw(t, "of"),
				Age: time.Duration(rapid.IntRange(0, 1000).Draw(t, "crashed")) * time.Millisecond,
			}
			for i := range rapid.IntRange(0, quarantine.MaxNoticeParts).Draw(t, "parts of a prompt") {
				n.Parts[i] = quarantine.PartID(rapid.Uint64Min(1).Draw(t, "part of a prompt"))
			}
			m.partNotices = append(m.partNotices, n)
		}
		b := m.encode()
		got, err := decode(b)
		if err != nil || !slices.Equal(got.partNotices, m.partNotices) || got.boot != m.boot || got.seq != m.seq || got.dataCentre != m.dataCentre || got.part != m.part || got.parts != m.parts || !slices.Equal(got.loads, m.loads) || len(got.placements) != len(m.placements) || !slices.Equal(got.gone, m.gone) || !slices.Equal(got.crashes, m.crashes) || !slices.Equal(got.limits, m.limits) {
			t.Fatalf("%v: %+v is not %+v", err, got, m)
		}
		_, _ = decode(b[:rapid.IntRange(0, len(b)).Draw(t, "cut")])
		_, _ = decode(rapid.SliceOf(rapid.Byte()).Draw(t, "noise"))
	})
}

// Guards against a load that counts twice, outlives its sender, or reverts when a datagram arrives out of order.
func TestOthersLoadsAreSummed(t *testing.T) {
	is := is.New(t)
	x, _, s := newExchange(t, 3, sameDC)
	now := time.Unix(100, 0)
	a := hash("a")
	x.handleMessage(now, "10.0.0.2:9", message{boot: 1, seq: 5, loads: []load{{a, 3, 6400}}})
	x.handleMessage(now, "10.0.0.3:9", message{boot: 1, seq: 2, loads: []load{{a, 2, 640}}})
	x.handleMessage(now, "10.0.0.2:9", message{boot: 1, seq: 4, loads: []load{{a, 9, 0}}})
	x.round(t.Context(), now)
	u := s.Fleet().Upstreams[0]
	is.Equal(u.OtherRunning(), 5)
	is.Equal(u.OtherPrefill(), 7040.0)
	x.handleMessage(now.Add(time.Millisecond), "10.0.0.2:9", message{boot: 2, seq: 1}) // restarted
	x.round(t.Context(), now.Add(2*time.Millisecond))
	is.Equal(u.OtherRunning(), 2)
	x.round(t.Context(), now.Add(2*loadLifetime))
	is.Equal(u.OtherRunning(), 0)
}

// Guards against decisions on loads older than the last message received, and against a round for each message received, which takes
// most of the processor time of a large fleet.
func TestReceivedLoadsAreReportedBeforeDecisions(t *testing.T) {
	is := is.New(t)
	x, _, s := newExchange(t, 3, sameDC)
	now := time.Unix(100, 0)
	a := hash("a")
	x.round(t.Context(), now)
	x.handleMessage(now, "10.0.0.2:9", message{boot: 1, seq: 1, loads: []load{{a, 3, 6400}}, placements: []placement{{a, []policy.Part{{ID: 7, Tokens: 3000}}}}})
	x.Refresh(0, s)
	u := s.Fleet().Upstreams[0]
	is.Equal(u.OtherRunning(), 3)
	is.Equal(u.Cache.Match(policy.PrefixPieces([]policy.Part{{ID: 7, Tokens: 3000}})), 3)
	x.handleMessage(now, "10.0.0.2:9", message{boot: 1, seq: 2})
	x.Refresh(0, s)
	is.Equal(u.OtherRunning(), 0)
	is.Equal(len(x.wake), 0)
	x.handleMessage(now, "10.0.0.2:9", message{boot: 1, seq: 3, gone: []uint32{a}})
	is.Equal(len(x.wake), 1) // an upstream that is gone is not known to the scheduler until a round
}

// Guards against notices whose repeat waits for the next change of the load after the first datagram is lost.
func TestNoticesAreRepeatedAtOnce(t *testing.T) {
	is := is.New(t)
	x, w, _ := newExchange(t, 2, sameDC)
	now := time.Unix(100, 0)
	x.QueueCrash(Crash{Request: 1, ID: 2})
	for range noticeSends {
		<-x.wake
		x.round(t.Context(), now)
	}
	is.Equal(len(w.to), noticeSends)
	is.Equal(len(x.wake), 0)
}

// Guards against entry VMs that compute a shared part again because they do not know which engine holds it.
func TestPlacementsReachPeers(t *testing.T) {
	is := is.New(t)
	x, w, _ := newExchange(t, 2, sameDC)
	parts := []policy.Part{{ID: 77, Tokens: 5000}}
	x.QueuePlacement(parts, "b")
	x.round(t.Context(), time.Unix(100, 0))
	is.Equal(w.to, []string{"10.0.0.2:9"})
	payload, ok := membership.Open("s", w.last)
	is.True(ok)
	m, err := decode(payload)
	is.NoErr(err)
	peer, _, s := newExchange(t, 2, sameDC)
	peer.handleMessage(time.Unix(100, 0), "10.0.0.1:9", m)
	peer.round(t.Context(), time.Unix(100, 0))
	is.Equal(s.Fleet().Upstreams[1].Cache.Match(policy.PrefixPieces(parts)), 5)
}

// Guards against work and memory at all VMs that follow from the token counts that one client states: a part of 16 million tokens stopped
// their schedulers.
func TestPlacementsBeyondAnEnginesMemoryAreCut(t *testing.T) {
	is := is.New(t)
	x, _, s := newExchange(t, 3, sameDC)
	now := time.Unix(100, 0)
	x.round(t.Context(), now)
	const allocBound = 1 << 20 // bytes; the upstreams have 100 pieces
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for n := range 32 {
		parts := []policy.Part{{ID: uint64(n), Tokens: 1 << 24}, {ID: 1, Tokens: 1000}}
		x.handleMessage(now, "10.0.0.2:9", message{boot: 1, seq: uint64(n + 1), placements: []placement{{hash("a"), parts}}})
		x.Refresh(0, s)
		held := policy.PrefixPieces([]policy.Part{{ID: uint64(n), Tokens: 200_000}})
		is.Equal(s.Fleet().Upstreams[0].Cache.Match(held), 100)
	}
	runtime.ReadMemStats(&after)
	is.True(after.TotalAlloc-before.TotalAlloc < allocBound)
}

// Guards against traffic between data centres that grows with the square of the fleet.
func TestLargeFleetsTellTheirDataCentre(t *testing.T) {
	is := is.New(t)
	x, _, _ := newExchange(t, 40, func(i int) string { return string(rune('a' + i%4)) })
	is.Equal(len(x.recipients()), 9)
	small, _, _ := newExchange(t, 9, func(i int) string { return string(rune('a' + i%4)) })
	is.Equal(len(small.recipients()), 8)
}

// Guards against a VM that is down but still named to callers, and against one left out because it never sent.
func TestSilentPeers(t *testing.T) {
	is := is.New(t)
	x, _, _ := newExchange(t, 3, sameDC)
	now := time.Unix(100, 0)
	two, three := member("2", "x"), member("3", "x")
	x.handleMessage(now, "10.0.0.2:9", message{boot: 1, seq: 1})
	is.True(!x.IsSilent(now.Add(keepAliveInterval), &two, 3))
	is.True(x.IsSilent(now.Add(silenceTimeout+time.Millisecond), &two, 3))
	is.True(!x.IsSilent(now.Add(time.Hour), &three, 3))
}

// Guards against an idle VM that looks silent because it sends nothing.
func TestIdleVMsSendKeepAlives(t *testing.T) {
	is := is.New(t)
	x, w, _ := newExchange(t, 2, sameDC)
	now := time.Unix(100, 0)
	for range 30 {
		x.round(t.Context(), now)
		now = now.Add(roundInterval)
	}
	is.Equal(len(w.to), 3)
}

// deliverLast hands the last datagram of a transport to an exchange.
func deliverLast(t *testing.T, w *recordingTransport, to *Exchange, from string, now time.Time) {
	t.Helper()
	payload, ok := membership.Open("s", w.last)
	if !ok {
		t.Fatal("no datagram")
	}
	m, err := decode(payload)
	if err != nil {
		t.Fatal(err)
	}
	to.handleMessage(now, from, m)
}

// Guards against a large fleet in which the data centres do not exchange loads and placements, so that each computes
// the same shared parts again. Seen on ruheraum-ops-grown: a quarter of all prompt tokens read were shared parts that
// some engine held.
func TestDataCentresExchangeLoads(t *testing.T) {
	is := is.New(t)
	dc := func(i int) string { return string(rune('a' + i%4)) }
	newAt := func(name string) (*Exchange, *recordingTransport, *scheduler.Scheduler, *fakeList) {
		x, w, s := newExchange(t, 40, dc)
		l := x.opts.List.(*fakeList)
		for _, m := range l.members {
			if m.Name == name {
				l.self = m
			}
		}
		return x, w, s, l
	}
	_, _, _, l := newAt("1")
	chosen := chooseRelays(l.members, "1")
	is.Equal(len(chosen), 4)
	here, there := chosen["a"], chosen["b"]
	var other membership.Member // of there's data centre
	for _, m := range l.members {
		if m.DataCentre == "b" && m.Name != there.Name {
			other = m
		}
	}
	sender, out, _, _ := newAt(here.Name)
	relay, passed, near, _ := newAt(there.Name)
	last, _, far, _ := newAt(other.Name)
	now := time.Unix(100, 0)
	for _, x := range []*Exchange{sender, relay, last} {
		x.round(t.Context(), now)
	}
	parts := []policy.Part{{ID: 77, Tokens: 5000}}
	sender.handleMessage(now, "10.0.0.9:9", message{boot: 1, seq: 1, loads: []load{{hash("b"), 3, 6400}}, placements: []placement{{hash("b"), parts}}})
	now = now.Add(relayInterval)
	out.to = nil
	sender.round(t.Context(), now)
	is.Equal(len(out.to), 3) // the relays of the other data centres

	deliverLast(t, out, relay, here.Address, now)
	is.Equal(len(passed.to) > 0, true)
	deliverLast(t, passed, last, there.Address, now)
	relay.round(t.Context(), now)
	last.round(t.Context(), now)
	for _, s := range []*scheduler.Scheduler{near, far} {
		is.Equal(s.Fleet().Upstreams[1].OtherRunning(), 3)
		is.Equal(s.Fleet().Upstreams[1].Cache.Match(policy.PrefixPieces(parts)), 5)
	}
	n := len(passed.to)
	deliverLast(t, out, relay, here.Address, now) // a second time
	is.Equal(len(passed.to), n)
	is.Equal(chooseRelays(l.members[:maxFullMesh], "1"), nil)
}

// Guards against sums that do not fit into a datagram, and against a part that stays after the sum has shrunk.
func TestLongSumsAreSentInParts(t *testing.T) {
	is := is.New(t)
	dc := func(i int) string { return string(rune('a' + i%2)) }
	x, w, _ := newExchange(t, 20, dc)
	l := x.opts.List.(*fakeList)
	l.self = chooseRelays(l.members, "")["a"]
	now := time.Unix(100, 0)
	x.round(t.Context(), now)
	var loads []load
	for i := range 3 * maxRelayedLoads {
		loads = append(loads, load{uint32(i), 1, promptUnit})
	}
	near := ""
	for _, m := range l.members {
		if m.DataCentre == "a" && m.Name != l.self.Name {
			near = m.Address
		}
	}
	x.handleMessage(now, near, message{boot: 1, seq: 1, loads: loads[:len(loads)/2]})
	x.handleMessage(now, near+"1", message{boot: 1, seq: 1, loads: loads[len(loads)/2:]})
	other, _, _ := newExchange(t, 20, dc)
	lo := other.opts.List.(*fakeList)
	lo.self = chooseRelays(l.members, "")["b"]
	take := func(n int) {
		now = now.Add(relayInterval)
		w.all = nil
		x.round(t.Context(), now)
		sums := 0
		for _, b := range w.all {
			payload, _ := membership.Open("s", b)
			m, err := decode(payload)
			is.NoErr(err)
			is.True(len(b) <= maxDatagram)
			if m.dataCentre != "" {
				sums++
				other.handleMessage(now, l.self.Address, m)
			}
		}
		is.Equal(sums, n)
	}
	take(3)
	is.Equal(len(other.peerLoads), len(loads))
	x.handleMessage(now, near+"1", message{boot: 1, seq: 2})
	x.handleMessage(now, near, message{boot: 1, seq: 2, loads: loads[:10]})
	take(1)
	is.Equal(len(other.peerLoads), 10)
}

// twoRelays returns the relays of two data centres with the transport of the first, its address and that of a
// neighbour in its data centre.
func twoRelays(t *testing.T, now time.Time) (here, there *Exchange, w *recordingTransport, address, neighbour string) {
	t.Helper()
	dc := func(i int) string { return string(rune('a' + i%2)) }
	here, w, _ = newExchange(t, 20, dc)
	there, _, _ = newExchange(t, 20, dc)
	members := here.opts.List.(*fakeList).members
	self := chooseRelays(members, "")["a"]
	here.opts.List.(*fakeList).self, there.opts.List.(*fakeList).self = self, chooseRelays(members, "")["b"]
	for _, m := range members {
		if m.DataCentre == "a" && m.Name != self.Name {
			neighbour = m.Address
		}
	}
	here.round(t.Context(), now)
	there.round(t.Context(), now)
	return here, there, w, self.Address, neighbour
}

// Guards against a fleet in which each entry VM finds out only by a rejected request of its own that an upstream is
// gone. Seen on ruheraum-ops-grown scale-2: after 23 engines had restarted, 466 requests were rejected, and 334 of
// them had no retry budget left.
func TestGoneUpstreamsAreReportedToPeers(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	x, relay, w, address, near := twoRelays(t, now)
	var told []string
	relay.opts.OnGone = func(upstream string) { told = append(told, upstream) }
	x.opts.OnGone = func(string) {}
	x.handleMessage(now, near, message{boot: 1, seq: 1, gone: []uint32{hash("b"), hash("unknown")}})
	x.QueueGone("a")
	now = now.Add(relayInterval)
	x.round(t.Context(), now)
	deliverLast(t, w, relay, address, now)
	relay.round(t.Context(), now)
	slices.Sort(told)
	is.Equal(told, []string{"a", "b"})
}

// Guards against a request, or a part of a prompt, that crashes upstreams through entry VMs that have not received its crashes: those of the
// same data centre and, through the relays, of the others receive each crash and what follows it.
func TestCrashesAreReportedToPeers(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	x, relay, w, address, neighbour := twoRelays(t, now)
	var told, near []Crash
	var notices []quarantine.PartNotice
	relay.opts.OnCrash = func(c Crash) { told = append(told, c) }
	relay.opts.OnPartNotice = func(n quarantine.PartNotice) { notices = append(notices, n) }
	x.opts.OnCrash = func(c Crash) { near = append(near, c) }
	heard, own := Crash{1 << 60, 7}, Crash{5, 0}
	noticeHeard, noticeOwn := quarantine.PartNotice{Kind: quarantine.PartBlamed, Crash: 3}, quarantine.PartNotice{Kind: quarantine.PartSound, Crash: 4}
	x.handleMessage(now, neighbour, message{boot: 1, seq: 1, crashes: []Crash{heard}, partNotices: []quarantine.PartNotice{noticeHeard}})
	is.Equal(near, []Crash{heard})
	x.QueueCrash(own)
	x.QueuePartNotice(noticeOwn)
	now = now.Add(relayInterval)
	x.round(t.Context(), now)
	deliverLast(t, w, relay, address, now)
	is.True(slices.Contains(told, heard) && slices.Contains(told, own))
	is.True(slices.Contains(notices, noticeHeard) && slices.Contains(notices, noticeOwn))
}

// Guards against received bytes that crash the process or exhaust its memory: a decoded message is bounded, and
// encodes to the same again.
func FuzzDecode(f *testing.F) {
	f.Add((&message{boot: 3, seq: 9, dataCentre: "wien-a", part: 1, parts: 2, loads: []load{{7, 3, 128}}, gone: []uint32{4},
		placements: []placement{{upstream: 1, parts: []policy.Part{{ID: 5, Tokens: 9}}}}, crashes: []Crash{{6, 1}}}).encode())
	f.Add([]byte{})
	f.Add([]byte("\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01"))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := decode(b)
		if err != nil {
			return
		}
		if len(m.loads) > maxLoads || len(m.placements) > maxPlacements || len(m.gone) > maxGone || len(m.crashes) > maxCrashes {
			t.Fatal("more than the bounds allow")
		}
		again, err := decode(m.encode())
		if err != nil || len(again.loads) != len(m.loads) || again.seq != m.seq || again.dataCentre != m.dataCentre {
			t.Fatalf("%v: %+v became %+v", err, m, again)
		}
	})
}
