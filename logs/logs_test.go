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
