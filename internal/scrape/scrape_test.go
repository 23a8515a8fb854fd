package scrape

import (
	"io"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against clients that, all at once, make the process open the files that its metrics are read from.
func TestMetricsAreCollectedForOneClientAtATime(t *testing.T) {
	is := is.New(t)
	var now, most atomic.Int32
	own := func(w io.Writer) {
		if n := now.Add(1); n > most.Load() {
			most.Store(n)
		}
		time.Sleep(time.Millisecond)
		now.Add(-1)
		_, _ = io.WriteString(w, "own 1\n")
	}
	var all sync.WaitGroup
	for range 20 {
		all.Go(func() {
			w := httptest.NewRecorder()
			Write(w, own)
			is.True(strings.Contains(w.Body.String(), "process_cpu_seconds_total"))
			is.True(strings.HasSuffix(w.Body.String(), "own 1\n"))
		})
	}
	all.Wait()
	is.Equal(most.Load(), int32(1))
}
