package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"go.uber.org/zap"
)

// blockingWriter blocks writes until unblock is closed, if it is set.
type blockingWriter struct {
	mu      sync.Mutex
	b       bytes.Buffer
	unblock chan struct{}
}

func (o *blockingWriter) Write(b []byte) (int, error) {
	if o.unblock != nil {
		<-o.unblock
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.Write(b)
}

// Guards against events that take more than one line or lose their fields.
func TestOneLineForEachEvent(t *testing.T) {
	is := is.New(t)
	o := &blockingWriter{}
	log, w := New("info", o, 100)
	log.With(zap.String("vm", "v1")).Info("send", zap.String("request", "abc"), zap.Duration("waited", 1500*time.Microsecond), zap.String("text", "two\nlines"))
	log.Debug("left out")
	w.Close(time.Minute)
	lines := strings.Split(strings.TrimSpace(o.b.String()), "\n")
	is.Equal(len(lines), 1)
	for _, field := range []string{"msg=send", "vm=v1", "request=abc", "level=info"} {
		is.True(strings.Contains(lines[0], field))
	}
}

// Guards against a stuck output that blocks the logging goroutine, and against dropped lines that are not counted.
func TestAStuckOutputBlocksNobody(t *testing.T) {
	is := is.New(t)
	o := &blockingWriter{unblock: make(chan struct{})}
	log, w := New("info", o, 10)
	counter := metrics.GetOrCreateCounter(`bergamot_log_lines_dropped_total{message="flood"}`)
	before := counter.Get()
	for range 5000 {
		log.Info("flood")
	}
	is.True(counter.Get()-before >= 5000-10-1-batchBytes/20) // what the queue and one batch hold is not dropped
	close(o.unblock)
	w.Close(time.Minute)
}

// Guards against a stuck output behind which a few thousand long lines, whose texts clients choose, take tens of megabytes.
func TestAStuckOutputHoldsFewBytes(t *testing.T) {
	is := is.New(t)
	o := &blockingWriter{unblock: make(chan struct{})}
	log, w := New("info", o, 0)
	counter := metrics.GetOrCreateCounter(`bergamot_log_lines_dropped_total{message="long"}`)
	before := counter.Get()
	const lines, lineBytes = 2000, 15000
	text := strings.Repeat("x", lineBytes)
	for range lines {
		log.Info("long", zap.String("text", text))
	}
	const most = (maxQueuedBytes+2*batchBytes)/lineBytes + 2 // in the queue, in one batch, and the one before it
	is.True(counter.Get()-before >= lines-most)
	close(o.unblock)
	w.Close(0)
}

// Guards against written lines that count as queued for ever, so that later ones are dropped.
func TestWrittenLinesMakeRoom(t *testing.T) {
	is := is.New(t)
	log, w := New("info", &blockingWriter{}, 0)
	for range 10 {
		log.Info("line")
	}
	w.Close(time.Minute)
	is.Equal(w.queuedBytes.Load(), int64(0))
}
