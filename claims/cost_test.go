package claims

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bergamotcroft.example/bergamot/store"
)

var highRate = flag.Bool("claims.high", false, "measure 4,500 bookings a second as well")

// slowStore adds the latency of the platform's store to each call.
type slowStore struct{ *memoryStore }

const storeLatency = 5 * time.Millisecond

func (s *slowStore) Get(ctx context.Context, kind, name string) (store.Object, error) {
	time.Sleep(storeLatency)
	return s.memoryStore.Get(ctx, kind, name)
}

func (s *slowStore) Put(ctx context.Context, o store.Object) (uint64, error) {
	time.Sleep(storeLatency)
	return s.memoryStore.Put(ctx, o)
}

// Guards against store writes that grow with the request rate: each shard writes at most once per window.
func TestStoreCallsPerBooking(t *testing.T) {
	const seconds, seed = 5, 4
	rates := []int{45, 450, 900}
	if *highRate {
		rates = append(rates, 4500)
	}
	for _, rate := range rates {
		synctest.Test(t, func(t *testing.T) {
			store, net := newMemoryStore(), newFakeNetwork()
			guards := newGuards(&slowStore{store}, net, "a", "b", "c", "d", "e", "f", "g", "h", "i")
			ctx, cancel := context.WithCancel(t.Context())
			var running sync.WaitGroup
			for _, g := range guards {
				running.Go(func() { _ = g.Run(ctx) })
			}
			rng := rand.New(rand.NewPCG(seed, 0))
			var bookings sync.WaitGroup
			var mu sync.Mutex
			waited := time.Duration(0)
			for i := range rate * seconds {
				time.Sleep(time.Duration(rng.ExpFloat64() * float64(time.Second) / float64(rate)))
				g := guards[rng.IntN(len(guards))]
				bookings.Go(func() {
					began := time.Now()
					gr, _, err := g.Begin(t.Context(), "c", fmt.Sprint("k", i), 1)
					if err != nil {
						t.Error(err)
						return
					}
					mu.Lock()
					waited += time.Since(began)
					mu.Unlock()
					time.Sleep(40 * time.Millisecond) // service time
					gr.Finish(&Answer{Status: 200, Body: make([]byte, 200)})
				})
			}
			bookings.Wait()
			time.Sleep(time.Second)
			synctest.Wait()
			ops, batches := 2*rate*seconds, 0
			for _, g := range guards {
				for _, b := range g.shards {
					batches += b.state.writes
				}
			}
			fmt.Printf("measure=claims seed=%d bookings_per_s=%d writes_per_s=%.0f reads_per_s=%.1f operations_per_write=%.2f claim_ms=%.1f\n",
				seed, rate, float64(batches)/seconds, float64(store.gets)/seconds, float64(ops)/float64(batches),
				waited.Seconds()*1000/float64(rate*seconds))
			if most := shardCount * float64(time.Second/DefaultWindow) * (seconds + 1.1); float64(batches) > most {
				t.Errorf("%d writes, at most %.0f are allowed", batches, most)
			}
			cancel()
			running.Wait()
			time.Sleep(time.Second)
		})
	}
}
