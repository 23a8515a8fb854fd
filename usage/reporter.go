package usage

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/duty"
	"bergamotcroft.example/bergamot/lease"
)

const (
	// SendTimeout bounds one report. Margin is larger, so that no report is sent after the lease has ended.
	SendTimeout = time.Second
	// Margin is the validity of the lease that is required before each call.
	Margin = 2 * time.Second
	// stepsPerWindow is the number of steps of the duty in a window.
	stepsPerWindow = 20
	// collectionsPerWindow is how often a VM is asked in a window. What it has counted since is lost when it is killed.
	collectionsPerWindow = 2
	// settleTime is the time from the end of a window to the final collection. An answer whose request was sent in the
	// window usually has arrived by then.
	settleTime = time.Second
	// waitShare is how long after the end of a window VMs that don't answer are waited for, as a share of the time until
	// the report is late. The rest is for the store and for repeats.
	waitShare = 0.6
	// minAnswered is the share of the VMs, unreachable ones included, whose counts a report needs. A holder that hears from fewer is cut off
	// itself: a late report of its successor is of more use than a wrong one, which can't be corrected.
	minAnswered = 0.5
	// maxSends bounds the reports of one step after an outage, so that all VMs together stay within the platform's rate.
	maxSends = 4

	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
)

// Member is a live entry VM other than this one.
type Member struct {
	Name    string
	Address string
	// Expected means that reports wait for the VM's counts: it is reachable as far as is known.
	Expected bool
	// Ending means that the VM stops, and hands over what it has counted.
	Ending bool
}

// Query asks a VM for its counts. The zero time asks for its clock only.
type Query struct {
	Now         time.Time // true time
	First, Last int64     // windows
}

// Answer is the answer of a VM.
type Answer struct {
	Wall    time.Time
	Sources map[Source]WindowCounts
}

// Record is what the store keeps for the next holder.
type Record struct {
	Era     uint64 // of the store, when it was written
	Windows []RecordedWindow
}

// RecordedWindow is a report. One that is known to be accepted has no counts.
type RecordedWindow struct {
	Window   int64
	Counts   Counts
	Accepted bool
}

// ReporterOptions configures a Reporter. All fields but Log are required.
type ReporterOptions struct {
	Lease         lease.Authority
	Group         int
	HandOverPause time.Duration
	Window        time.Duration
	Due           time.Duration // from the end of a window until its report is late
	Counter       *Counter
	Members       func() []Member
	Collect       func(context.Context, Member, Query) (Answer, error)
	Record        *duty.Record[Record]
	Era           func() (era uint64, since time.Time) // of the store
	Send          func(ctx context.Context, t lease.Token, window int64, counts map[string]int) error
	Active        func() bool // the configuration has accounts
	Log           *zap.Logger
}

// Reporter is the duty that reports usage. Only one goroutine may use it.
type Reporter struct {
	o    ReporterOptions
	duty duty.Options

	token     lease.Token // of the last step
	firstStep time.Time   // under the present fencing number
	// whole means that reports holds all windows that may have been reported, as far as they are not in the record.
	whole     bool
	reports   map[int64]*report // that are in the record, or were
	next      int64             // first window that is not reported; 0: not known yet
	nextLoad  time.Time         // no call to the store before this time
	failures  int               // consecutive, of calls to the store
	cutOff    time.Time         // when most VMs last failed to answer in time; all of them are asked again after that
	collector collector
	board     duty.Board
}

// report is a report that has been written to the store.
type report struct {
	counts   Counts
	accepted bool
	tries    int
	nextTry  time.Time
	givenUp  bool
}

// NewReporter returns a reporter.
func NewReporter(o ReporterOptions) *Reporter {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	r := &Reporter{o: o, reports: map[int64]*report{}, collector: newCollector(&o)}
	r.duty = duty.Options{
		Lease: o.Lease, Group: o.Group, Margin: Margin, HandOverPause: o.HandOverPause, Interval: o.Window / stepsPerWindow,
		Clock: o.Counter.o.Clock,
	}
	return r
}

// Run reports usage while this VM holds the lease, until ctx ends.
func (r *Reporter) Run(ctx context.Context) error { return duty.Run(ctx, r.duty, r.Step) }

func (r *Reporter) clock() time.Time { return r.duty.Clock.Now() }

// holds reports whether this VM may still make calls under the token.
func (r *Reporter) holds(t lease.Token) bool {
	now, ok := r.duty.Holds()
	return ok && now.Fencing == t.Fencing
}

// Step collects, records and sends what is due.
func (r *Reporter) Step(ctx context.Context, t lease.Token) {
	defer r.publish()
	if !r.o.Active() {
		return
	}
	if t.Fencing != r.token.Fencing {
		// No other VM can have held the lease in between if it was still valid when this VM took it again.
		r.whole = r.whole && !r.token.Until.Before(t.Since)
		r.firstStep, r.next = r.clock(), 0
		r.collector.begin(r.firstStep)
	}
	r.token = t
	r.collector.collect(ctx, r.next)
	if !r.collector.timeKnown(r.firstStep) || !r.load(ctx, t) {
		return
	}
	r.write(ctx, t)
	r.send(ctx, t)
	r.prune()
}

// load merges what is in the store into what this VM knows, and reports whether it has succeeded.
func (r *Reporter) load(ctx context.Context, t lease.Token) bool {
	if r.clock().Before(r.nextLoad) || !r.holds(t) {
		return false
	}
	record, err := r.o.Record.Load(ctx, t.Fencing)
	if err != nil {
		r.storeFailed("usage record not read", err)
		return false
	}
	for _, w := range record.Windows {
		if known := r.reports[w.Window]; known != nil {
			known.accepted = known.accepted || w.Accepted
			continue
		}
		r.reports[w.Window] = &report{counts: w.Counts, accepted: w.Accepted}
	}
	era, _ := r.o.Era() // after the read, which may have shown a new one
	lost := record.Era < era && !r.whole
	r.whole = true
	if r.next != 0 && !lost {
		r.advance()
		return true
	}
	r.next = r.firstWindow(t, lost)
	r.o.Log.Info("usage reports go on", zap.Uint64("fencing", t.Fencing), zap.Int64("window", r.next), zap.Int("recorded", len(record.Windows)),
		zap.Uint64("era", era), zap.Bool("record_lost", lost))
	return true
}

// advance moves next beyond the windows that have a report, such as one that a lost answer of the store hid.
func (r *Reporter) advance() {
	for k := range r.reports {
		r.next = max(r.next, k+1)
	}
}

// firstWindow returns the first window that this holder reports.
func (r *Reporter) firstWindow(t lease.Token, lost bool) int64 {
	present := WindowOf(r.collector.now(), r.o.Window)
	oldest := present - windowsKept + 1
	first := r.collector.earliest(present)
	for k := range r.reports {
		first = max(first, k+1)
	}
	if len(r.reports) > 0 { // windows between have no counts, but are due
		r.next = oldest
		r.advance()
		first = r.next
	}
	if lost {
		// A former holder may have reported any window that ended before this VM took the lease, and the store no longer
		// has what it recorded.
		first = max(first, WindowOf(r.collector.trueTime(t.Since), r.o.Window))
	}
	return max(first, oldest)
}

func (r *Reporter) storeFailed(what string, err error) {
	r.failures++
	r.nextLoad = r.clock().Add(backoff(r.failures))
	r.o.Log.Warn(what, zap.Int("failures", r.failures), zap.Error(err))
}

func backoff(failures int) time.Duration {
	return min(minBackoff<<min(max(failures-1, 0), 8), maxBackoff)
}

// write records the windows that are complete. There is one write for all of them.
func (r *Reporter) write(ctx context.Context, t lease.Token) {
	present := WindowOf(r.collector.now(), r.o.Window)
	if oldest := present - windowsKept + 1; r.next < oldest {
		windowsSkipped.Add(int(oldest - r.next))
		r.o.Log.Error("usage windows not reported", zap.Int64("from", r.next), zap.Int64("to", oldest-1))
		r.next = oldest
		r.collector.drop(oldest)
	}
	wait := time.Duration(waitShare * float64(r.o.Due))
	fresh := map[int64]*report{}
	next := r.next
	for ; next < present; next++ {
		end := r.collector.steadyTime(EndOf(next, r.o.Window))
		answered, expected, known := r.collector.answeredSince(end.Add(settleTime))
		now := r.clock()
		if now.Before(end.Add(settleTime)) {
			break
		}
		waited := !now.Before(end.Add(wait)) && !now.Before(r.firstStep.Add(wait))
		if float64(answered) < minAnswered*float64(known) {
			if waited {
				r.cutOff = now
			}
			break
		}
		if answered < expected && (!waited || now.Before(r.cutOff.Add(r.collector.round()*3/2))) {
			break
		}
		if answered < expected {
			incomplete.Inc()
			r.o.Log.Warn("usage window incomplete", zap.Int64("window", next), zap.Int("answered", answered), zap.Int("expected", expected), zap.Int("known", known))
		}
		fresh[next] = &report{counts: sum(r.collector.sources, next)}
	}
	if len(fresh) == 0 || !r.holds(t) {
		return
	}
	era, _ := r.o.Era()
	if err := r.o.Record.Save(ctx, t.Fencing, r.record(era, fresh)); err != nil {
		recordsFailed.Inc()
		r.storeFailed("usage record not written", err)
		return
	}
	recordsWritten.Inc()
	r.failures = 0
	maps.Copy(r.reports, fresh)
	r.next = next
	r.collector.drop(next)
}

// record returns the record of the last windows with new ones added.
func (r *Reporter) record(era uint64, fresh map[int64]*report) Record {
	all := maps.Clone(r.reports)
	maps.Copy(all, fresh)
	windows := slices.Sorted(maps.Keys(all))
	out := Record{Era: era}
	for _, k := range windows[max(len(windows)-windowsKept, 0):] {
		w := RecordedWindow{Window: k, Accepted: all[k].accepted}
		if !w.Accepted {
			w.Counts = all[k].counts
		}
		out.Windows = append(out.Windows, w)
	}
	return out
}

// send sends the recorded reports that are not known to be accepted.
func (r *Reporter) send(ctx context.Context, t lease.Token) {
	sends := 0
	for _, k := range slices.Sorted(maps.Keys(r.reports)) {
		p, now := r.reports[k], r.clock()
		if p.accepted || p.givenUp || now.Before(p.nextTry) {
			continue
		}
		if !r.collector.trueTime(now).Before(EndOf(k+windowsKept, r.o.Window)) {
			p.givenUp = true
			windowsSkipped.Inc()
			r.o.Log.Error("usage report given up", zap.Int64("window", k), zap.Int("tries", p.tries))
			continue
		}
		if sends++; sends > maxSends || !r.holds(t) || !r.sendOne(ctx, t, k, p) {
			return
		}
	}
}

func (r *Reporter) sendOne(ctx context.Context, t lease.Token, k int64, p *report) bool {
	sendCtx, cancel := context.WithTimeout(ctx, SendTimeout)
	defer cancel()
	counts := p.counts
	if counts == nil {
		counts = Counts{}
	}
	p.tries++
	err := r.o.Send(sendCtx, t, k, counts)
	age := r.collector.now().Sub(EndOf(k, r.o.Window))
	fields := []zap.Field{zap.Int64("window", k), zap.Int("accounts", len(counts)), zap.Int("tries", p.tries), zap.Duration("after", age),
		zap.Uint64("fencing", t.Fencing)}
	if err == nil {
		p.accepted = true
		reportsAccepted.Inc()
		r.o.Log.Info("usage reported", fields...)
		return true
	}
	p.nextTry = r.clock().Add(backoff(p.tries))
	if errors.Is(err, ErrRateLimited) {
		reportsLimited.Inc()
	} else {
		reportsFailed.Inc()
	}
	r.o.Log.Warn("usage report not confirmed", append(fields, zap.Error(err))...)
	return false
}

// ErrRateLimited is the error of Send for a report that the platform has not taken because of its rate limit.
var ErrRateLimited = errors.New("usage report rate-limited")

// prune drops reports that no record needs any more.
func (r *Reporter) prune() {
	maps.DeleteFunc(r.reports, func(k int64, _ *report) bool { return k < r.next-2*windowsKept })
}
