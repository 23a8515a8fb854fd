package capacity

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"bergamotcroft.example/bergamot/emulator/engine"
	"bergamotcroft.example/bergamot/server"
	"bergamotcroft.example/bergamot/settings"
	"bergamotcroft.example/bergamot/topo"
	"bergamotcroft.example/bergamot/upstream"
)

const (
	tokensPerS   = 27 // of a stream: 37 ms between tokens
	streamTokens = 60
	relayKey     = "key"
)

// probeRelay measures streams with the token spacing of the design page, directly from an emulated engine and through an entry VM. Engine,
// entry VM and caller run in this process; the difference of the two slopes is the cost of the entry VM and its connections.
func probeRelay(ctx context.Context) ([]Series, error) {
	direct := Series{Role: "serving", Cost: "spaced_direct_cpu", Unit: "s", SizeName: "tokens"}
	relayed := Series{Role: "serving", Cost: "spaced_relayed_cpu", Unit: "s", SizeName: "tokens"}
	for _, streams := range []int{20, 80, 320} {
		d, r, err := measureRelay(ctx, streams)
		if err != nil {
			return nil, fmt.Errorf("relay of %d streams: %w", streams, err)
		}
		direct.add(streams*streamTokens, d)
		relayed.add(streams*streamTokens, r)
	}
	return []Series{direct, relayed}, nil
}

// measureRelay returns the processor time of the streams without and with the entry VM.
func measureRelay(ctx context.Context, streams int) (direct, relayed float64, err error) {
	e := engine.New(engine.Options{Step: time.Millisecond, Spec: topo.Upstream{
		Name: "e1", DataCentre: "a", Models: []string{"m@1"}, PrefillTokensPerSecond: 1e8, DecodeTokensPerSecond: tokensPerS * float64(streams),
		MaxBatch: streams, KVPieces: 2 * streams,
	}})
	if err := e.Start("127.0.0.1:0"); err != nil {
		return 0, 0, err
	}
	defer e.Close()
	sum := sha256.Sum256([]byte(relayKey))
	config := &topo.Configuration{Revision: 1, Models: []topo.Model{{Name: "m", Version: "1"}}, Classes: []topo.Class{{Name: "long", Priority: 1}},
		Accounts: []topo.Account{{Caller: "c1", KeySHA: []string{hex.EncodeToString(sum[:])}}}, Upstreams: []topo.Upstream{e.Spec()}}
	s := settings.Default()
	s.Name, s.DataCentre, s.Callers.Listen, s.Metrics.Listen = "vm1", "a", "127.0.0.1:0", "127.0.0.1:0"
	s.Shutdown = settings.Shutdown{Drain: topo.Duration(time.Second), Unlisted: true}
	v, err := server.New(server.Options{Settings: s, Source: server.NewStaticSource(config)})
	if err != nil {
		return 0, 0, err
	}
	stopped := make(chan error, 1)
	go func() { stopped <- v.Run() }()
	defer func() { v.Stop(); <-stopped }()
	if direct, err = streamAll(ctx, streams, e.Spec().Address, "m@1"); err != nil {
		return 0, 0, err
	}
	relayed, err = streamAll(ctx, streams, v.CallerAddress(), "m")
	return direct, relayed, err
}

// streamAll reads streams concurrently and returns the processor time that the process spends meanwhile.
func streamAll(ctx context.Context, streams int, address, model string) (float64, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}
	defer client.CloseIdleConnections()
	errs := make(chan error, streams)
	began := processorTime()
	var wg sync.WaitGroup
	for i := range streams {
		wg.Go(func() {
			body := fmt.Sprintf(`{"model":%q,"prompt":"stream %d","max_tokens":%d,"stream":true}`, model, i, streamTokens)
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(body))
			if err != nil {
				errs <- err
				return
			}
			req.Header.Set("Authorization", "Bearer "+relayKey)
			req.Header.Set(upstream.HeaderRequestID, fmt.Sprint("d", i))
			res, err := client.Do(req)
			if err != nil {
				errs <- err
				return
			}
			defer func() { _ = res.Body.Close() }()
			raw, err := io.ReadAll(res.Body)
			if got := strings.Count(string(raw), "data:"); err != nil || res.StatusCode != http.StatusOK || got < streamTokens {
				errs <- fmt.Errorf("stream %d: status %d, %d events: %v", i, res.StatusCode, got, err)
			}
		})
	}
	wg.Wait()
	if len(errs) > 0 {
		return 0, <-errs
	}
	return (processorTime() - began).Seconds(), nil
}
