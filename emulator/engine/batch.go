package engine

import (
	"context"
	"slices"
	"time"

	"bergamotcroft.example/bergamot/policy"
)

// maxUnsentTokens bounds the generated tokens of a job that are not yet written to the client.
const maxUnsentTokens = 256

// job is a request in the batch, waiting or running.
type job struct {
	id, attempt, vm string
	prompt          string
	seed            uint64
	priority        int
	tokens          int // of the prompt and of the part that is resumed
	cached          int // tokens found in the prefix cache
	prefix          []uint64
	prefillLeft     float64 // prompt tokens that are still to be computed
	running         bool    // the prompt is computed
	credit          float64 // fraction of a token carried over to the next step
	generated, sent int     // tokens generated and written, counted from the start of the answer
	totalTokens     int     // tokens of the whole answer
	prefillOnly     bool
	aborted         bool // cancelled, or aborted by an order
	notify          chan struct{}
}

func (j *job) wake() {
	select {
	case j.notify <- struct{}{}:
	default:
	}
}

// add inserts a job into the batch by priority.
func (e *Engine) add(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j.cached = min(e.cache.match(j.prefix)*policy.PieceTokens, j.tokens-1)
	j.prefillLeft = float64(j.tokens - j.cached)
	e.cache.insert(time.Now(), j.prefix)
	e.counts.Starts[j.id]++
	if j.generated > 0 {
		e.counts.Resumed++
	}
	i, _ := slices.BinarySearchFunc(e.jobs, j.priority+1, func(other *job, p int) int { return other.priority - p })
	e.jobs = slices.Insert(e.jobs, i, j)
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *Engine) remove(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if i := slices.Index(e.jobs, j); i >= 0 {
		e.jobs = slices.Delete(e.jobs, i, i+1)
	}
}

// run steps the batch until ctx ends. While the batch is empty it waits for a new job.
func (e *Engine) run(ctx context.Context, wake <-chan struct{}, stopped chan<- struct{}) {
	defer close(stopped)
	tick := time.NewTicker(e.opts.Step)
	defer tick.Stop()
	last := time.Now()
	for {
		idle := e.step(time.Since(last))
		last = time.Now()
		next := tick.C
		if idle {
			next = nil
		}
		select {
		case <-ctx.Done():
			return
		case <-next:
		case <-wake:
		}
	}
}

// step advances the batch by dt and reports whether the batch is empty.
func (e *Engine) step(dt time.Duration) (idle bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	seconds := min(dt, 20*e.opts.Step).Seconds() / e.slow
	budget := e.spec.PrefillTokensPerSecond * seconds
	running := 0
	for _, j := range e.jobs {
		if j.running {
			running++
		}
	}
	rate := e.streamRate(running)
	for _, j := range e.jobs {
		switch {
		case j.running:
			j.generate(rate * seconds)
		case running < max(e.spec.MaxBatch, 1):
			used := min(budget, j.prefillLeft)
			budget -= used
			j.prefillLeft -= used
			if j.prefillLeft <= 0 {
				j.running = true
				running++
				j.generate(1)
			}
		}
	}
	e.recordSample(time.Now(), running)
	return len(e.jobs) == 0
}

// smallBatchGain is the maximum speed of a stream relative to its speed in a full batch.
const smallBatchGain = 4

func (e *Engine) streamRate(running int) float64 {
	perStream := e.spec.DecodeTokensPerSecond / float64(max(e.spec.MaxBatch, 1))
	return min(e.spec.DecodeTokensPerSecond/float64(max(running, 1)), smallBatchGain*perStream)
}

func (j *job) generate(tokens float64) {
	j.credit += tokens
	n := min(int(j.credit), j.totalTokens-j.generated, maxUnsentTokens-(j.generated-j.sent))
	j.credit -= float64(int(j.credit))
	if n > 0 {
		j.generated += n
	}
	if n > 0 || j.generated == j.totalTokens {
		j.wake()
	}
}

// loadSample is a measurement of the load. Reports include it only after the report lag.
type loadSample struct {
	at          time.Time
	running     int
	queued      int
	prefill     float64            // prompt tokens that are still to be computed
	pieces      int                // of the KV cache in use
	jobsByVM    map[string]int     // jobs by entry VM
	prefillByVM map[string]float64 // prefill by entry VM
}

// sampleInterval and maxSamples bound the history of samples. Under load they cover report lags of several seconds.
const (
	sampleInterval = 50 * time.Millisecond
	maxSamples     = 200
)

func (e *Engine) recordSample(now time.Time, running int) {
	if n := len(e.samples); n > 0 && now.Sub(e.samples[n-1].at) < sampleInterval && len(e.jobs) > 0 {
		return
	}
	s := loadSample{at: now, running: running, queued: len(e.jobs) - running, jobsByVM: map[string]int{}, prefillByVM: map[string]float64{}}
	for _, j := range e.jobs {
		s.jobsByVM[j.vm]++
		s.prefillByVM[j.vm] += j.prefillLeft
		s.prefill += j.prefillLeft
		s.pieces += (j.tokens+j.generated)/policy.PieceTokens + 1
	}
	e.samples = append(e.samples, s)
	if len(e.samples) > maxSamples {
		e.samples = slices.Delete(e.samples, 0, len(e.samples)-maxSamples)
	}
}

// laggedSample returns the newest sample that is at least as old as the report lag.
func (e *Engine) laggedSample(now time.Time) loadSample {
	lag := time.Duration(e.spec.ReportLagMS) * time.Millisecond
	for _, s := range slices.Backward(e.samples) {
		if now.Sub(s.at) >= lag {
			return s
		}
	}
	return loadSample{at: now.Add(-lag)}
}
