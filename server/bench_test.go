package server_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"bergamotcroft.example/bergamot/settings"
	"bergamotcroft.example/bergamot/topo"
	"bergamotcroft.example/bergamot/upstream"
)

// openStreams is the number of streams that stay open while requests are timed.
const openStreams = 1000

// steadyEngine describes an engine that sends each stream about 20 tokens a second, the reading speed of a person.
func steadyEngine(name string) topo.Upstream {
	s := fastEngine(name)
	s.MaxBatch = openStreams
	s.DecodeTokensPerSecond = 20 * openStreams / smallBatchSpeedup
	return s
}

// smallBatchSpeedup compensates for the emulator's higher speed per stream in batches that are not full.
const smallBatchSpeedup = 4

// keepStreamsOpen opens streams that last until the benchmark ends.
func keepStreamsOpen(b *testing.B, n int, send func(i int) *http.Request) {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: n}}
	var first sync.WaitGroup
	var refused atomic.Int32
	for i := range n {
		first.Add(1)
		go func() {
			resp, err := client.Do(send(i).WithContext(ctx))
			if err != nil || resp.StatusCode != http.StatusOK {
				refused.Add(1)
				first.Done()
				return
			}
			defer func() { _ = resp.Body.Close() }()
			buf := make([]byte, 4096)
			_, err = resp.Body.Read(buf)
			first.Done()
			for err == nil {
				_, err = resp.Body.Read(buf)
			}
		}()
	}
	first.Wait()
	if refused.Load() > 0 {
		b.Fatalf("%d of %d streams are not open", refused.Load(), n)
	}
}

// BenchmarkAddedTime measures a one-token request through the entry VM and, alternating with it, directly to the engine, with
// no and with 1,000 streams open through the entry VM. The targets are 0.3 ms at the median and 2 ms at p99.
func BenchmarkAddedTime(b *testing.B) {
	for _, open := range []int{0, openStreams} {
		b.Run(fmt.Sprint("open=", open), func(b *testing.B) { benchmarkAddedTime(b, open) })
	}
}

func benchmarkAddedTime(b *testing.B, open int) {
	f := newFleet(b, steadyEngine("e1"), steadyEngine("e2"))
	v := f.start(func(s *settings.Settings) {
		s.Policies.Admission.ID = "admission.fifo" // streams that never end cannot meet a deadline
	})
	keepStreamsOpen(b, open, func(i int) *http.Request {
		return v.request("POST", "/v1/completions", prompt(fmt.Sprint("held ", i), 1<<20, true))
	})
	engineAddress := f.engines[0].Spec().Address
	client := &http.Client{}
	timeRequest := func(req *http.Request) time.Duration {
		start := time.Now()
		resp, err := client.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		return time.Since(start)
	}
	var relayedTimes, directTimes []time.Duration
	for i := range max(b.N, 1000) {
		text := fmt.Sprint("timed ", i)
		relayedTimes = append(relayedTimes, timeRequest(v.request("POST", "/v1/completions", prompt(text, 1, true))))
		req, _ := http.NewRequest("POST", "http://"+engineAddress+"/v1/completions",
			strings.NewReader(strings.Replace(prompt(text, 1, true), `"m"`, `"m@1"`, 1)))
		req.Header.Set(upstream.HeaderRequestID, fmt.Sprint("d", i))
		directTimes = append(directTimes, timeRequest(req))
	}
	slices.Sort(relayedTimes)
	slices.Sort(directTimes)
	for _, q := range []struct {
		name     string
		quantile float64
	}{{"p50", 0.5}, {"p99", 0.99}} {
		relayed, direct := relayedTimes[int(q.quantile*float64(len(relayedTimes)))], directTimes[int(q.quantile*float64(len(directTimes)))]
		b.ReportMetric(float64(relayed-direct)/1e6, "added_ms_"+q.name)
		b.ReportMetric(float64(direct)/1e6, "direct_ms_"+q.name)
	}
}

// BenchmarkRelayedToken relays streams of b.N tokens in total and reports CPU time and allocations for each token, with the
// emulator and the caller in the same process.
func BenchmarkRelayedToken(b *testing.B) {
	for _, path := range []string{"direct", "relayed"} {
		b.Run(path, func(b *testing.B) {
			f := newFleet(b, fastEngine("e1"))
			v := f.start(nil)
			const streams = 8
			tokens := max(b.N/streams, 1)
			b.ReportAllocs()
			b.ResetTimer()
			before := cpuTime()
			var wg sync.WaitGroup
			for i := range streams {
				wg.Go(func() {
					req := v.request("POST", "/v1/completions", prompt(fmt.Sprint(i), tokens, true))
					if path == "direct" {
						body := strings.Replace(prompt(fmt.Sprint(i), tokens, true), `"m"`, `"m@1"`, 1)
						req, _ = http.NewRequest("POST", "http://"+f.engines[0].Spec().Address+"/v1/completions", strings.NewReader(body))
						req.Header.Set(upstream.HeaderRequestID, fmt.Sprint("d", i))
					}
					resp, err := http.DefaultClient.Do(req)
					if err != nil {
						b.Error(err)
						return
					}
					defer func() { _ = resp.Body.Close() }()
					_, _ = io.Copy(io.Discard, resp.Body)
				})
			}
			wg.Wait()
			b.ReportMetric(float64(cpuTime()-before)/float64(tokens*streams), "cpu_ns/token")
		})
	}
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
