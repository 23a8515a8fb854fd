package quarantine

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"
)

// partFleet is a set of entry VMs in front of upstreams that crash when an answer to a prompt with a deadly part begins.
type partFleet struct {
	vms       []*Ledger
	mu        sync.Mutex
	cut       map[int]bool // VMs that get no messages and send none
	deadly    map[PartID]bool
	upstreams []*partUpstream
	next      Fingerprint
	random    *rand.Rand // guarded by mu

	crashed   []time.Time
	sent      []time.Time // sends of prompts with a deadly part
	refused   int         // sound requests
	innocents int         // sound requests that a crash broke off
	served    int         // sound requests
}

type partUpstream struct {
	name  string
	start int
	runs  map[*modelRun]struct{}
}

// modelRun is a run of a request in flight.
type modelRun struct {
	ledger *Ledger
	fp     Fingerprint
	broken chan struct{}
}

func newPartFleet(vms, upstreams int, delay time.Duration) *partFleet {
	f := &partFleet{cut: map[int]bool{}, deadly: map[PartID]bool{}, random: rand.New(rand.NewPCG(1, uint64(vms)))}
	for i := range upstreams {
		f.upstreams = append(f.upstreams, &partUpstream{name: "u" + strconv.Itoa(i), runs: map[*modelRun]struct{}{}})
	}
	for i := range vms {
		f.vms = append(f.vms, f.newLedger(i, delay, nil))
	}
	return f
}

func (f *partFleet) newLedger(i int, delay time.Duration, archive *Archive) *Ledger {
	o := PartLedgerOptions{Broadcast: func(n PartNotice) {
		for j := range f.vms {
			if j != i {
				time.AfterFunc(delay, func() {
					f.mu.Lock()
					to, lost := f.vms[j], f.cut[i] || f.cut[j]
					f.mu.Unlock()
					if !lost {
						to.Parts().Receive(n)
					}
				})
			}
		}
	}}
	if archive != nil {
		o.OnRefused, o.OnAdmitted = archive.EnqueuePart, archive.RemovePart
	}
	return NewLedger(LedgerOptions{Parts: NewPartLedger(o)})
}

func (f *partFleet) intN(n int) int { return f.random.IntN(n) }

func (f *partFleet) lockedIntN(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

// gap returns the time to the next request of a load, relative to the mean.
func (f *partFleet) gap() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.ExpFloat64()
}

func (f *partFleet) kill(u *partUpstream) {
	f.mu.Lock()
	f.crashed = append(f.crashed, time.Now())
	name := u.name + "@" + strconv.Itoa(u.start)
	u.start++
	runs := u.runs
	u.runs = map[*modelRun]struct{}{}
	f.mu.Unlock()
	for r := range runs {
		r.ledger.RunBroken(r.fp, name)
		close(r.broken)
	}
	for _, l := range f.vms {
		l.ProcessEnded(name)
	}
}

// request sends a prompt with these shared parts through an entry VM. Its answer begins after a while and takes length.
func (f *partFleet) request(vm int, length time.Duration, parts ...PartID) (ok bool) {
	f.mu.Lock()
	l, isDeadly := f.vms[vm], slices.ContainsFunc(parts, func(p PartID) bool { return f.deadly[p] })
	u := f.upstreams[f.intN(len(f.upstreams))]
	f.next++
	r := &modelRun{l, f.next, make(chan struct{})}
	f.mu.Unlock()
	ledger := l.Parts()
	refuse := func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !isDeadly {
			f.refused++
		}
		return false
	}
	if ledger.Check(parts) != nil {
		return refuse()
	}
	wait, err := ledger.BeginTrial(parts)
	if err != nil {
		return refuse()
	}
	if wait > 0 {
		time.Sleep(wait)
		if ledger.ConfirmTrial(parts) != nil {
			return false
		}
	}
	f.mu.Lock()
	name := u.name + "@" + strconv.Itoa(u.start)
	u.runs[r] = struct{}{}
	if isDeadly {
		f.sent = append(f.sent, time.Now())
	}
	f.mu.Unlock()
	l.RunSent(r.fp, name, parts...)
	select {
	case <-r.broken:
	case <-time.After(time.Duration(50+f.lockedIntN(150)) * time.Millisecond):
		if isDeadly {
			f.kill(u)
			return false
		}
		l.RunAnswered(r.fp, name)
		known := ledger.Known(parts)
		select {
		case <-r.broken:
		case <-time.After(length):
			f.mu.Lock()
			delete(u.runs, r)
			f.served++
			f.mu.Unlock()
			l.RunEnded(r.fp, name)
			ledger.Completed(parts, known)
			return true
		}
	}
	f.mu.Lock()
	f.innocents++
	f.mu.Unlock()
	return false
}

// load runs requests at a rate per second for a time, each through a random entry VM.
func (f *partFleet) load(d time.Duration, perSecond float64, parts func() []PartID) *sync.WaitGroup {
	var wg sync.WaitGroup
	wg.Go(func() {
		for end := time.Now().Add(d); time.Now().Before(end); {
			time.Sleep(time.Duration(f.gap() / perSecond * float64(time.Second)))
			list := parts()
			wg.Go(func() {
				f.request(f.lockedIntN(len(f.vms)), time.Duration(200+f.lockedIntN(2000))*time.Millisecond, list...)
			})
		}
	})
	return &wg
}

// rebroadcast lets each entry VM send its evidence again each second, until stop is called.
func (f *partFleet) rebroadcast() (stop func()) {
	end, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-end:
				return
			case <-time.After(time.Second):
			}
			for _, l := range f.vms {
				l.Parts().Rebroadcast(6)
			}
		}
	}()
	return func() { close(end); <-ended }
}

// sentAfterFifthCrash returns the number of deadly sends later than 3 s after the fifth crash.
func (f *partFleet) sentAfterFifthCrash() (n int) {
	if len(f.crashed) < 5 {
		return 0
	}
	for _, at := range f.sent {
		if at.After(f.crashed[4].Add(3 * time.Second)) {
			n++
		}
	}
	return n
}

func (f *partFleet) anyOf(from, n int) PartID { return PartID(from + f.lockedIntN(n)) }

// soundRate is the rate of sound requests per second before a number of upstreams.
func soundRate(upstreams int) float64 { return min(10*float64(upstreams), 150) }

const (
	firstParts   = 100  // sound parts at the beginning of prompts
	secondParts  = 1000 // sound parts after them
	deadlyPart   = 7
	secondDeadly = 8
)
