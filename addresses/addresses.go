// Package addresses serves GET /v1/addresses: which entry VMs a caller should connect to, and how long it may keep the answer.
//
// Invariants: an answer never contains a VM that is known to be leaving; the keep time, the spread of the leaving mark and the
// time to finish running work fit into the drain time, so that a planned stop interrupts no caller; a caller keeps its group
// while other VMs join and leave; a VM that was paused answers only after it has checked its member table.
package addresses

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"bergamotcroft.example/bergamot/membership"
	"bergamotcroft.example/bergamot/result"
)

// Defaults of Options.
const (
	DefaultGroup  = 4
	DefaultSpread = 10 * time.Second // the leaving mark reaches 2,200 VMs well within it; see docs/notes/membership.md
	DefaultSlack  = 5 * time.Second  // delivery of the answer and clock rate of the caller
	DefaultDrain  = 120 * time.Second
	DefaultFinish = 45 * time.Second
	// minKeepTime bounds the rate of address requests when the drain time is very short.
	minKeepTime = time.Second
	// maxViewAge is how old the view of the member table behind an answer may be. It counts towards the spread.
	maxViewAge = 500 * time.Millisecond
)

// Options configures the answers.
type Options struct {
	Members membership.List
	Group   int           // addresses with weight in an answer
	Drain   time.Duration // from the start of a planned stop to the exit of the process
	Spread  time.Duration // until all VMs have received the leaving mark of a VM
	Finish  time.Duration // time for running work to complete, at the end of the drain time
	// Distance returns the distance between two data centres; nil: 0 for the same one and 1 for others.
	Distance func(from, to string) int
	// Caller returns the account of a request as package limits uses it, so that a caller's addresses are those of the VMs that
	// share its limits. If Caller is nil or returns "", the remote address identifies the caller.
	Caller func(*http.Request) string
	Now    func() time.Time // nil: time.Now
}

func (o Options) withDefaults() Options {
	setDefault := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	setDefault(&o.Drain, DefaultDrain)
	setDefault(&o.Spread, DefaultSpread)
	setDefault(&o.Finish, DefaultFinish)
	if o.Group <= 0 {
		o.Group = DefaultGroup
	}
	if o.Distance == nil {
		o.Distance = func(from, to string) int {
			if from == to {
				return 0
			}
			return 1
		}
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

// KeepTime returns how long callers may keep an answer. An answer given just before the leaving mark arrives is used
// for the keep time, and work that begins at the end of that time still has Finish to complete.
func (o Options) KeepTime() time.Duration {
	o = o.withDefaults()
	return max(o.Drain-o.Spread-o.Finish-DefaultSlack, minKeepTime)
}

// Validate returns an error if the times would interrupt callers at a planned stop.
func (o Options) Validate() error {
	o = o.withDefaults()
	if need := o.Spread + o.Finish + DefaultSlack + minKeepTime; o.Drain < need {
		return trace.BadParameter("the drain time %v is too short: spread, finish, slack and the least keep time need %v", o.Drain, need)
	}
	return nil
}

// LeaveDelay returns how long a leaving VM must keep accepting work: until the last address kept by a caller has expired.
func (o Options) LeaveDelay() time.Duration {
	o = o.withDefaults()
	return o.Spread + o.KeepTime() + DefaultSlack
}

// Address is one entry VM in an answer.
type Address struct {
	Name       string  `json:"name"`
	Address    string  `json:"address"` // host:port
	DataCentre string  `json:"data_centre,omitempty"`
	Weight     float64 `json:"weight"` // share of the caller's requests; 0: used only if the others fail
}

// Response is the body of the answer.
type Response struct {
	Addresses []Address `json:"addresses"`
	KeepMS    int64     `json:"keep_ms"`
}

// Answer returns the addresses for a caller. The data centre may be empty.
func Answer(members []membership.Member, caller, dataCentre string, o Options) Response {
	return newView(members, o.withDefaults()).answer(caller, dataCentre)
}

// view is a snapshot of the member table prepared for answers, with one pool for each data centre.
type view struct {
	opts        Options
	builtAt     time.Time
	usable      []*membership.Member // alive, and also uncertain if fewer than minAlive are alive
	pools       map[string]*pool
	keepMS      int64
	dataCentres map[string]bool // data centres with usable members
}

// pool holds the usable members grouped by their distance from one data centre.
type pool struct {
	near    []*membership.Member // members at the smallest distance
	weights []float64            // of near
	far     []*membership.Member // members at the next larger distance, used as a reserve
}

// minAlive is the number of live members below which answers also contain uncertain ones: they may be cut off only from this VM.
const minAlive = 2

func newView(members []membership.Member, o Options) *view {
	v := &view{opts: o, builtAt: o.Now(), pools: map[string]*pool{}, keepMS: o.KeepTime().Milliseconds(), dataCentres: map[string]bool{}}
	var uncertain []*membership.Member
	v.usable = make([]*membership.Member, 0, len(members))
	for i := range members {
		m := &members[i]
		switch m.State {
		case membership.Alive:
			v.usable = append(v.usable, m)
		case membership.Uncertain:
			uncertain = append(uncertain, m)
		}
	}
	if len(v.usable) < minAlive {
		v.usable = append(v.usable, uncertain...)
	}
	for _, m := range v.usable {
		v.dataCentres[m.DataCentre] = true
	}
	v.pools[""] = v.newPool("")
	for dc := range v.dataCentres {
		v.pools[dc] = v.newPool(dc)
	}
	return v
}

// newPool returns the pool of the members nearest to a data centre and the next nearest. Without a data centre all are near.
func (v *view) newPool(dc string) *pool {
	p := &pool{near: v.usable}
	if dc != "" {
		p.near, p.far = v.nearest(v.usable, dc)
		p.far, _ = v.nearest(p.far, dc)
	}
	p.weights = spreadWeights(p.near, v.opts.Group)
	return p
}

func (v *view) nearest(ms []*membership.Member, dc string) (near, rest []*membership.Member) {
	if len(ms) == 0 {
		return nil, nil
	}
	rest = make([]*membership.Member, 0, len(ms))
	least := v.opts.Distance(dc, ms[0].DataCentre)
	for _, m := range ms {
		least = min(least, v.opts.Distance(dc, m.DataCentre))
	}
	for _, m := range ms {
		if v.opts.Distance(dc, m.DataCentre) == least {
			near = append(near, m)
		} else {
			rest = append(rest, m)
		}
	}
	return near, rest
}

// reserveAddresses is the number of addresses in an answer that lie outside the nearest data centre, in case all of it fails.
const reserveAddresses = 2

func (v *view) answer(caller, dc string) Response {
	p, ok := v.pools[dc]
	if !ok {
		p = v.pools[""] // an unknown data centre: the caller only loses its preference
	}
	res := Response{KeepMS: v.keepMS, Addresses: make([]Address, 0, v.opts.Group+reserveAddresses)}
	for _, i := range lowestScores(p.near, caller, v.opts.Group) {
		res.Addresses = append(res.Addresses, newAddress(p.near[i], p.weights[i]))
	}
	for _, i := range lowestScores(p.far, caller, reserveAddresses) {
		res.Addresses = append(res.Addresses, newAddress(p.far[i], 0))
	}
	return res
}

func newAddress(m *membership.Member, weight float64) Address {
	return Address{Name: m.Name, Address: m.CallerAddress, DataCentre: m.DataCentre, Weight: weight}
}

// writeError writes an error in the format of package gateway.
func writeError(w http.ResponseWriter, e *result.Error) {
	var body struct {
		Error struct {
			Code         result.Code      `json:"code"`
			Name         string           `json:"name"`
			Message      string           `json:"message"`
			Execution    result.Execution `json:"execution"`
			RetryAfterMS int64            `json:"retry_after_ms"`
		} `json:"error"`
	}
	b := &body.Error
	b.Code, b.Name, b.Message, b.Execution, b.RetryAfterMS = e.Code, e.Code.Info().Name, e.Message, e.Execution, e.RetryAfter.Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Retry-After", strconv.FormatInt(int64(e.RetryAfter/time.Second), 10))
	w.WriteHeader(e.Code.Info().HTTP)
	_ = json.NewEncoder(w).Encode(body)
}

// Handler serves GET /v1/addresses. The query parameter data_centre is the caller's data centre.
func Handler(o Options) http.Handler {
	o = o.withDefaults()
	var current atomic.Pointer[view]
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f, ok := o.Members.(interface{ TableChecked() bool }); ok && !f.TableChecked() {
			writeError(w, result.New(result.StaleEntryVM, "the entry VM was paused and is checking its member table").WithRetryAfter(time.Second))
			return
		}
		v := current.Load()
		if v == nil || o.Now().Sub(v.builtAt) > maxViewAge {
			v = newView(o.Members.Members(), o)
			current.Store(v)
		}
		caller := ""
		if o.Caller != nil {
			caller = o.Caller(r)
		}
		if caller == "" {
			caller = r.RemoteAddr
			if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
				caller = host // the port changes with each connection
			}
		}
		res := v.answer(caller, r.URL.Query().Get("data_centre"))
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Cache-Control", "max-age="+strconv.FormatInt(res.KeepMS/1000, 10))
		_ = json.NewEncoder(w).Encode(res)
	})
}
