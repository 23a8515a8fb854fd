package client

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"bergamotcroft.example/bergamot/addresses"
)

// addressCache holds the entry VM addresses until they expire.
type addressCache struct {
	o Options

	mu      sync.Mutex // held while the addresses are fetched, so that one fetch serves all waiting requests
	list    []addresses.Address
	expires time.Time
	rng     *rand.Rand
	rngMu   sync.Mutex
}

const fetchTimeout = 2 * time.Second

// current returns the cached addresses, or fetches new ones when they have expired. If no entry VM answers, it
// returns the configured first addresses: an expired address is never used, since its VM may have been stopped after
// the cache time.
func (b *addressCache) current(ctx context.Context) []addresses.Address {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.o.Now().Before(b.expires) {
		return b.list
	}
	for _, a := range b.fetchOrder() {
		requested := b.o.Now()
		res, err := b.fetch(ctx, a)
		if err != nil || len(res.Addresses) == 0 {
			continue
		}
		b.list, b.expires = res.Addresses, requested.Add(time.Duration(res.KeepMS)*time.Millisecond)
		return b.list
	}
	b.list, b.expires = nil, time.Time{}
	out := make([]addresses.Address, len(b.o.InitialAddresses))
	for i, a := range b.o.InitialAddresses {
		out[i] = addresses.Address{Address: a, Weight: 1}
	}
	return out
}

// invalidate makes the next request fetch the addresses again, after an address failed or its VM refused because it is
// leaving.
func (b *addressCache) invalidate() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expires = time.Time{}
}

// fetchOrder returns the cached addresses, then the configured first ones in random order, so that callers don't all
// ask the same VM.
func (b *addressCache) fetchOrder() []string {
	var out []string
	for _, a := range b.list {
		out = append(out, a.Address)
	}
	first := append([]string(nil), b.o.InitialAddresses...)
	b.rngMu.Lock()
	b.rng.Shuffle(len(first), func(i, j int) { first[i], first[j] = first[j], first[i] })
	b.rngMu.Unlock()
	return append(out, first...)
}

func (b *addressCache) fetch(ctx context.Context, address string) (addresses.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var res addresses.Response
	u := b.o.Scheme + "://" + address + "/v1/addresses?data_centre=" + url.QueryEscape(b.o.DataCentre)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return res, trace.Wrap(err)
	}
	r.Header.Set("Authorization", "Bearer "+b.o.Key)
	answer, err := b.o.HTTP.Do(r)
	if err != nil {
		return res, trace.Wrap(err)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return res, trace.BadParameter("address answer has status %d", answer.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(answer.Body, 1<<20)).Decode(&res)
	return res, trace.Wrap(err)
}

// pick returns a random address that is not in tried, chosen by weight. Addresses of weight 0 are used only when no
// other is left. When all addresses were tried, pick clears tried and starts over.
func (b *addressCache) pick(list []addresses.Address, tried map[string]bool) string {
	sum, unweighted, lastAddress := 0.0, "", ""
	for _, a := range list {
		lastAddress = a.Address
		if tried[a.Address] {
			continue
		}
		sum += a.Weight
		if a.Weight <= 0 && unweighted == "" {
			unweighted = a.Address
		}
	}
	if sum <= 0 {
		if unweighted != "" || lastAddress == "" {
			return unweighted
		}
		clear(tried)
		return b.pick(list, tried)
	}
	remaining := b.random() * sum
	last := ""
	for _, a := range list {
		if tried[a.Address] || a.Weight <= 0 {
			continue
		}
		last = a.Address
		if remaining -= a.Weight; remaining < 0 {
			break
		}
	}
	return last
}

func (b *addressCache) random() float64 {
	b.rngMu.Lock()
	defer b.rngMu.Unlock()
	return b.rng.Float64()
}
