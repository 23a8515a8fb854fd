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

// errBusy is returned when the queue of a shard is full.
var errBusy = errors.New("claims: too many operations wait for the shard")

// Size limits of a batch. A batch and an unsealed head together stay below the store's limit of 1 MB.
const (
	batchBytes = 400 << 10
	entryBytes = 250 // encoded size of an entry with a long VM name, without its answer
)

// Timeout of store calls, and back-off of a shard after the store has refused a call.
const (
	storeTimeout = 2 * time.Second
	minBackOff   = 100 * time.Millisecond
	maxBackOff   = 2 * time.Second
)

// batcher combines the ops of one shard into batches. One batch is written at a time, with at least window between
// writes; an op that arrives at an idle shard is written at once.
type batcher struct {
	window time.Duration
	now    func() time.Time

	mu      sync.Mutex
	queue   []waiter
	running bool
	nextAt  time.Time
	backOff time.Duration

	state *shardState // used by the running flush only

	ops, batches *metrics.Counter
}

type waiter struct {
	ctx context.Context
	op  op
	out chan opResult // buffered, so that a flush does not block when the waiter has given up
}

func newBatcher(o Options, name string) *batcher {
	return &batcher{window: o.Window, now: o.Now,
		state:   &shardState{name: name, store: o.Store, now: o.Now, retention: o.Retention},
		ops:     metrics.GetOrCreateCounter("bergamot_claims_operations_total"),
		batches: metrics.GetOrCreateCounter("bergamot_claims_batches_total")}
}

// submit adds an op to the queue and waits for its result.
func (b *batcher) submit(ctx context.Context, o op) opResult {
	w := waiter{ctx, o, make(chan opResult, 1)}
	b.mu.Lock()
	if len(b.queue) >= maxQueuedOps {
		b.mu.Unlock()
		return opResult{err: errBusy}
	}
	b.queue = append(b.queue, w)
	if !b.running {
		b.running = true
		go b.flush()
	}
	b.mu.Unlock()
	select {
	case res := <-w.out:
		return res
	case <-ctx.Done():
		return opResult{err: context.Cause(ctx), mayTakeEffect: true}
	}
}

// flush processes batches until the queue is empty.
func (b *batcher) flush() {
	for {
		b.mu.Lock()
		if len(b.queue) == 0 {
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
		n := fittingCount(b.queue)
		batch := b.queue[:n:n]
		b.queue = b.queue[n:]
		b.mu.Unlock()
		b.run(batch, offline)
	}
}

// fittingCount returns the number of queued ops that fit into one write, at least one.
func fittingCount(ws []waiter) int {
	size := 0
	for i, w := range ws {
		size += entryBytes
		if w.op.answer != nil {
			size += min(len(w.op.answer.Body)*4/3, 2*maxAnswerBytes) // JSON encodes bytes in base64
		}
		if size > batchBytes && i > 0 {
			return i
		}
	}
	return len(ws)
}

// run processes one batch. During the back-off after a refusal by the store (offline), ops that need no store write are
// answered from memory and the others are refused at once.
func (b *batcher) run(batch []waiter, offline bool) {
	live := batch[:0:0]
	var ops []op
	for _, w := range batch {
		if w.ctx.Err() == nil { // a grant to a waiter that has given up would never be used
			live, ops = append(live, w), append(ops, w.op)
		}
	}
	if len(ops) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	var results []opResult
	if offline {
		results = b.state.processOffline(ctx, ops)
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
		b.scheduleNextWrite(storeErr)
	}
}

// scheduleNextWrite sets the time of the next write. After a refusal the delay grows exponentially, with jitter, so that
// the VMs do not all write at the same time when the store is available again.
func (b *batcher) scheduleNextWrite(err error) {
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
