package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"bergamotcroft.example/bergamot/platform/standin"
)

const (
	maxTakeUps  = 100 // of one stream; its deadline usually ends them
	takeUpPause = 40 * time.Millisecond
)

// takeUp continues a broken stream as clients do, through random entry VMs, until it is whole or its deadline has passed. It returns
// the last outcome.
func (fl *fleet) takeUp(ctx context.Context, rng *rand.Rand, first standin.Outcome, began time.Time) standin.Outcome {
	last := first
	resumes := ""
	if first.Events > 0 {
		resumes = first.ID
	}
	for n := 1; n <= maxTakeUps && !last.Whole && ctx.Err() == nil; n++ {
		left := first.Deadline - time.Since(began)
		time.Sleep(max(takeUpPause, min(last.RetryAfter, left/3)))
		left = first.Deadline - time.Since(began)
		if left <= 0 {
			break
		}
		e := fl.entries[rng.IntN(len(fl.entries))]
		conn, err := standin.Dial(ctx, e.callers.address())
		if err != nil {
			continue // the entry VM is down
		}
		a := standin.Attempt{
			ID: fmt.Sprintf("%s-t%d", first.ID, n), Host: first.Host, Path: first.Path, Body: first.Text(), Deadline: left, Streams: true,
			After: last.Events, Resumes: resumes,
		}
		o := fl.call(conn, e, "resume", a)
		_ = conn.Close()
		if resumes == "" && o.Events > 0 {
			resumes = o.ID
		}
		o.Events, o.Whole = max(o.Events, last.Events), o.Whole && o.Status == http.StatusOK && o.Violation == ""
		last = o
	}
	return last
}

// brokenOff reports whether an outcome is a stream that the client may take up.
func brokenOff(o *standin.Outcome) bool {
	return o.Streams && o.Status == http.StatusOK && !o.Whole && !o.Disconnected && o.Violation == ""
}

// judgeVersions checks that the events of each stream come from servers of one version, over all attempts.
func (o *observations) judgeVersions(add addFinding) {
	versions := map[string][]string{} // by the attempt that brought the first event
	for i := range o.calls {
		c := &o.calls[i]
		stream := c.ID
		if c.Resumes != "" {
			stream = c.Resumes
		}
		versions[stream] = append(versions[stream], c.Versions...)
	}
	for stream, list := range versions {
		slices.Sort(list)
		if list = slices.Compact(list); len(list) > 1 {
			add("a stream has events of one version", "%s has events of %s", stream, strings.Join(list, ", "))
		}
	}
}

// releaseServers replaces two servers of streams by servers of the next version, or of the same one if the last release is still
// incomplete.
func (fl *fleet) releaseServers(f fault) {
	fl.mu.Lock()
	if f.target%2 == 0 {
		fl.releases++
	}
	version := fmt.Sprintf("v%d", 1+fl.releases)
	fl.mu.Unlock()
	for i := range 2 {
		n := fl.streamNode(f.target + i)
		turn := fl.targetLock("server", slices.Index(fl.nodes, n))
		turn.Lock()
		n.mu.Lock()
		n.version = version
		n.mu.Unlock()
		fl.stopServer(n, f.duration)
		turn.Unlock()
	}
}

// streamNode returns the k-th upstream that streams, modulo their number.
func (fl *fleet) streamNode(k int) *node {
	var streams []*node
	for _, n := range fl.nodes {
		if n.streams {
			streams = append(streams, n)
		}
	}
	return streams[k%len(streams)]
}

const herdDowntime = 300 * time.Millisecond

// killAllEntries kills all entry VMs at once and starts them again.
func (fl *fleet) killAllEntries() {
	for i := range fl.entries {
		turn := fl.targetLock("process", i)
		turn.Lock()
		defer turn.Unlock()
	}
	for _, e := range fl.entries {
		e.disturb(herdDowntime + settleTime)
		e.signal(syscall.SIGKILL)
	}
	time.Sleep(herdDowntime)
	for _, e := range fl.entries {
		fl.reportError(fl.startEntry(e))
	}
	time.Sleep(processStartup)
}
