package claims

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bergamotcroft.example/bergamot/store"
)

// errBusy refuses an op when too many wait for the same shard.
var errBusy = errors.New("claims: too many operations wait for the shard")

// Bounds of a batch. Together with a head that is not yet sealed it stays below the store's 1 MB.
const (
	batchBytes = 400 << 10
	entryBytes = 250 // of an entry without its answer, with a long VM name
)

// Back-off of a shard after the store has refused.
const (
	storeTimeout = 2 * time.Second
	minBackOff   = 100 * time.Millisecond
	maxBackOff   = 2 * time.Second
)

// batcher gathers the ops of one shard into one write at a time, with at least a window between writes. An op that finds
// the shard idle is written at once.
type batcher struct {
	window time.Duration
	now    func() time.Time

	mu      sync.Mutex
	waiting []waiter
	running bool
	nextAt  time.Time
	backOff time.Duration

	state *shardState // used by the running flush only

	ops, batches *metrics.Counter
}

type waiter struct {
	ctx context.Context
	op  op
	out chan outcome // buffered, so that a flush never waits for one who has left
}

func newBatcher(o Options, name string) *batcher {
	return &batcher{window: o.Window, now: o.Now,
		state:   &shardState{name: name, store: o.Store, now: o.Now, retention: o.Retention},
		ops:     metrics.GetOrCreateCounter("bergamot_claims_operations_total"),
		batches: metrics.GetOrCreateCounter("bergamot_claims_batches_total")}
}

// submit adds an op to the next batch and waits for its outcome.
func (b *batcher) submit(ctx context.Context, o op) outcome {
	w := waiter{ctx, o, make(chan outcome, 1)}
	b.mu.Lock()
	if len(b.waiting) >= maxWaiting {
		b.mu.Unlock()
		return outcome{err: errBusy}
	}
	b.waiting = append(b.waiting, w)
	if !b.running {
		b.running = true
		go b.flush()
	}
	b.mu.Unlock()
	select {
	case res := <-w.out:
		return res
	case <-ctx.Done():
		return outcome{err: context.Cause(ctx), maybe: true}
	}
}

// flush handles batches until none wait.
func (b *batcher) flush() {
	for {
		b.mu.Lock()
		if len(b.waiting) == 0 {
			b.running = false
			b.mu.Unlock()
			return
		}
		wait := b.nextAt.Sub(b.now())
		offline := wait > 0 && b.backOff > 0
		b.mu.Unlock()
		if wait > 0 && !offline {
			time.Sleep(wait)
		}
		b.mu.Lock()
		n := fitting(b.waiting)
		batch := b.waiting[:n:n]
		b.waiting = b.waiting[n:]
		b.mu.Unlock()
		b.run(batch, offline)
	}
}

// fitting returns how many of the waiting ops one write may carry, at least one.
func fitting(ws []waiter) int {
	size := 0
	for i, w := range ws {
		size += entryBytes
		if w.op.answer != nil {
			size += min(len(w.op.answer.Body)*4/3, 2*maxAnswerBytes) // JSON has bytes in base64
		}
		if size > batchBytes && i > 0 {
			return i
		}
	}
	return len(ws)
}

// run handles one batch. While the store is left alone after a refusal, keys that are known are still answered and the
// others are refused at once.
func (b *batcher) run(batch []waiter, offline bool) {
	live := batch[:0:0]
	var ops []op
	for _, w := range batch {
		if w.ctx.Err() == nil { // nobody waits for the others, and a grant must not be given to nobody
			live, ops = append(live, w), append(ops, w.op)
		}
	}
	if len(ops) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	var results []outcome
	if offline {
		results = b.state.offline(ctx, ops)
	} else {
		b.ops.Add(len(ops))
		b.batches.Inc()
		results = b.state.process(ctx, ops)
	}
	var storeErr error
	for i, w := range live {
		if results[i].err != nil {
			storeErr = results[i].err
		}
		w.out <- results[i]
	}
	if !offline {
		b.pace(storeErr)
	}
}

// pace sets the time of the next write. After a refusal the pause grows, with jitter, so that a returning store is not
// met by all VMs at once.
func (b *batcher) pace(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case err == nil:
		b.backOff = 0
	case errors.Is(err, store.ErrRateLimited), errors.Is(err, store.ErrUnavailable):
		b.backOff = min(max(2*b.backOff, minBackOff), maxBackOff)
	}
	pause := b.window
	if b.backOff > 0 {
		pause = max(pause, b.backOff/2+time.Duration(rand.Int64N(int64(b.backOff))))
	}
	b.nextAt = b.now().Add(pause)
}
