package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"bergamotcroft.example/bergamot/platform/standin"
)

const (
	slowClients  = 96                     // at one entry VM; two in five hold an answer of 4 MB, together more than memoryMB
	slowMinTime  = 3 * time.Second        // of the fault
	slowLeaveMin = 500 * time.Millisecond // after which slow readers leave at the earliest
	slowLeaveMax = 5 * time.Second        // above routeTimeout
	slowRate     = 4 << 10                // bytes per second
	slowStop     = 64 << 10               // bytes after which a client stops reading
	largeBytes   = 4<<20 - 1<<10          // of an answer or an upload, below max_body_bytes
	smallUpload  = 8 << 10                // bytes that a slow upstream reads before the route's timeout
	// slowSettle is the time from the start of the fault from which ordinary requests are judged.
	slowSettle = 500 * time.Millisecond
	// ordinarySample is the least number of requests of which a share is judged.
	ordinarySample = 50

	slowClass   = "slow"   // clients that read slowly, or not to the end
	uploadClass = "upload" // clients that send a body to servers that may read it slowly
)

// slowReaders lets clients of one entry VM read large answers and streams slowly or stop reading, while every second upstream reads
// bodies slowly.
func (fl *fleet) slowReaders(f fault) {
	e := fl.targetEntry(f)
	from := time.Now()
	end := from.Add(slowMinTime + f.duration)
	for i, n := range fl.nodes {
		if i%2 == f.target%2 {
			s := fl.currentServer(n)
			s.SetReadRate(slowRate)
			defer s.SetReadRate(0)
		}
	}
	var all sync.WaitGroup
	for k := range slowClients {
		all.Go(func() {
			rng := rand.New(rand.NewPCG(fl.options.Seed^uint64(f.at), uint64(k)))
			for n := 0; time.Now().Before(end); n++ {
				fl.callSlowly(e, rng, fmt.Sprintf("slow-%d-%d-%d-%d", f.target, f.at.Milliseconds(), k, n))
			}
		})
	}
	all.Wait()
	fl.observed.mu.Lock()
	defer fl.observed.mu.Unlock()
	fl.observed.slowPeriods = append(fl.observed.slowPeriods, interval{from, time.Now()})
}

// callSlowly makes one request with a large answer or body.
func (fl *fleet) callSlowly(e *entryVM, rng *rand.Rand, name string) {
	class, kind := slowClass, []string{"once", "read", "stream", standin.LongAnswerPrefix, uploadClass}[rng.IntN(5)]
	rate, stopAfter := slowRate, largeBytes
	if rng.IntN(2) == 0 {
		rate, stopAfter = 16*slowRate, slowStop
	}
	leave := slowLeaveMin + time.Duration(rng.Int64N(int64(slowLeaveMax-slowLeaveMin)))
	path, streams, upload, answer := "/"+kind+"/x", kind == "stream", 0, largeBytes
	switch kind {
	case standin.LongAnswerPrefix:
		path, streams = "/resume/x", true
	case uploadClass:
		class, kind, path = uploadClass, "once", "/once/x"
		rate, stopAfter, leave = 1<<30, 1<<30, 0
		upload, answer = []int{smallUpload, largeBytes}[rng.IntN(2)], 0
	}
	conn, err := standin.DialSlow(context.Background(), e.callers.address(), rate, stopAfter)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return // the entry VM is down
	}
	defer conn.Close()
	id := kind + "-" + name
	o := fl.call(conn, e, class, standin.Attempt{
		ID: id, Host: host, Path: path, Body: standin.LargeBody(upload, answer, id), Deadline: clientDeadline, Streams: streams, LeaveAfter: leave,
	})
	if o.Status != http.StatusOK {
		time.Sleep(100 * time.Millisecond)
	}
}

// judgeSlowReaders checks that ordinary requests were served while others were read slowly and nothing else was disturbed.
func (o *observations) judgeSlowReaders(add addFinding) {
	for _, p := range o.slowPeriods {
		p.from = p.from.Add(slowSettle)
		undisturbed := o.entriesUndisturbed(p.from, p.to) && len(o.quietPeriods)+len(o.limitPeriods) == 0
		for _, list := range []map[string][]interval{o.linkDisturbances, o.crashOutages} {
			for _, l := range list {
				undisturbed = undisturbed && !overlaps(l, p.from, p.to)
			}
		}
		asked, served := 0, 0
		for i := range o.calls {
			c := &o.calls[i]
			if c.class == slowClass || c.class == uploadClass || c.Disconnected || c.began.Before(p.from) || c.began.After(p.to) {
				continue
			}
			if asked++; c.Status == http.StatusOK && c.Whole {
				served++
			}
		}
		if undisturbed && asked >= ordinarySample && float64(served) < minServedShare*float64(asked) {
			add("ordinary requests are answered beside slow clients", "%d of %d were", served, asked)
		}
	}
}
