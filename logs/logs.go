// Package logs writes one key=value line for each event without blocking the goroutine that logs it.
//
// Lines go through a bounded queue to a goroutine that writes them. When the queue is full, a line is dropped and
// counted by its message, so that a stuck output costs lines, never requests.
package logs

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/buffer"
	"go.uber.org/zap/zapcore"
)

const (
	// DefaultQueue holds about a second of lines at the highest rate of one entry VM.
	DefaultQueue    = 4096
	maxQueuedBytes  = 4 << 20               // of all lines in the queue; typical lines have 300 bytes
	batchBytes      = 32 << 10              // of one write
	batchDelay      = 50 * time.Millisecond // wait before a write, so that further lines share it
	maxDropCounters = 64                    // messages with a counter of their own
)

// Writer is the bounded queue of lines and the goroutine that writes them.
type Writer struct {
	lines        chan *buffer.Buffer
	queuedBytes  atomic.Int64
	done         chan struct{}
	closed       atomic.Bool
	mu           sync.Mutex
	dropCounters map[string]*metrics.Counter
}

// New returns a logger at a level such as "info" and its writer. An unknown level counts as info.
func New(level string, out io.Writer, queue int) (*zap.Logger, *Writer) {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		minLevel = zapcore.InfoLevel
	}
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	c.EncodeDuration = zapcore.MillisDurationEncoder
	if queue <= 0 {
		queue = DefaultQueue
	}
	w := &Writer{lines: make(chan *buffer.Buffer, queue), done: make(chan struct{}), dropCounters: map[string]*metrics.Counter{}}
	go w.run(out)
	return zap.New(&core{LevelEnabler: minLevel, encoder: zaplogfmt.NewEncoder(c), w: w}), w
}

// run writes lines in batches until Close.
func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	var batch []byte
	for line := range w.lines {
		if line == nil {
			return
		}
		time.Sleep(batchDelay)
		batch = w.take(batch[:0], line)
		ended := false
		for more := true; more && len(batch) < batchBytes; {
			select {
			case line := <-w.lines:
				if ended = line == nil; ended {
					more = false
					break
				}
				batch = w.take(batch, line)
			default:
				more = false
			}
		}
		_, _ = out.Write(batch) // an error of the log output can't be logged
		if ended {
			return
		}
	}
}

// take appends a line from the queue to a batch.
func (w *Writer) take(batch []byte, line *buffer.Buffer) []byte {
	batch = append(batch, line.Bytes()...)
	w.queuedBytes.Add(-int64(line.Len()))
	line.Free()
	return batch
}

// Close writes the queued lines, waiting at most for timeout.
func (w *Writer) Close(timeout time.Duration) {
	if w.closed.Swap(true) {
		return
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case w.lines <- nil:
	case <-timer.C:
		return
	}
	select {
	case <-w.done:
	case <-timer.C:
	}
}

// enqueue queues a line, or drops it if the queue is full or closed.
func (w *Writer) enqueue(message string, line *buffer.Buffer) {
	if w.closed.Load() || !w.offer(line) {
		line.Free()
		w.dropCounter(message).Inc()
	}
}

// offer queues a line unless the queue is full.
func (w *Writer) offer(line *buffer.Buffer) bool {
	size := int64(line.Len())
	if w.queuedBytes.Add(size) <= maxQueuedBytes {
		select {
		case w.lines <- line:
			return true
		default:
		}
	}
	w.queuedBytes.Add(-size)
	return false
}

// dropCounter returns the counter of dropped lines with a message; messages beyond maxDropCounters share one.
func (w *Writer) dropCounter(message string) *metrics.Counter {
	w.mu.Lock()
	defer w.mu.Unlock()
	c, ok := w.dropCounters[message]
	if !ok {
		if len(w.dropCounters) >= maxDropCounters {
			message = "other"
		}
		c = metrics.GetOrCreateCounter(`bergamot_log_lines_dropped_total{message="` + message + `"}`)
		w.dropCounters[message] = c
	}
	return c
}

// core is a zapcore.Core that encodes a line in the logging goroutine and queues it.
type core struct {
	zapcore.LevelEnabler
	encoder zapcore.Encoder
	w       *Writer
}

// With implements zapcore.Core.
func (c *core) With(fields []zapcore.Field) zapcore.Core {
	e := c.encoder.Clone()
	for i := range fields {
		fields[i].AddTo(e)
	}
	return &core{c.LevelEnabler, e, c.w}
}

// Check implements zapcore.Core.
func (c *core) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return ce.AddCore(e, c)
	}
	return ce
}

// Write implements zapcore.Core.
func (c *core) Write(e zapcore.Entry, fields []zapcore.Field) error {
	line, err := c.encoder.EncodeEntry(e, fields)
	if err != nil {
		return err
	}
	c.w.enqueue(e.Message, line)
	return nil
}

// Sync implements zapcore.Core.
func (c *core) Sync() error { return nil }
