package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/platform/standin"
)

const (
	steadyKey, unknownKey = "key-steady", "key-in-no-configuration"
	keyRounds             = 6
	keyRoundTime          = 1200 * time.Millisecond
	// timedVariable is set for manual runs, in which the bound on the time to a key's removal is judged.
	timedVariable = "BERGAMOT_SOAK_TIMED"
)

// keyCall is a request with a key.
type keyCall struct {
	standin.Outcome
	entry *entryVM
	began time.Time
}

// keyTimes are the times at which an operator added and removed a key.
type keyTimes struct{ adding, added, removing, removed time.Time }

// keyRotation is an account whose key is replaced by new configurations.
type keyRotation struct {
	fl    *fleet
	mu    sync.Mutex
	keys  []string // the last one is in force
	times map[string]keyTimes
	calls []keyCall
}

func (k *keyRotation) configuration(raw json.RawMessage) json.RawMessage {
	var c map[string]any
	if err := json.Unmarshal(raw, &c); err != nil {
		panic(err) // can't happen: standin.Config makes it
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	c["tenants"] = []any{
		map[string]any{"name": "steady", "api_keys": []string{steadyKey}},
		map[string]any{"name": "rotating", "api_keys": k.keys[len(k.keys)-1:], "priority": 0},
	}
	out, err := json.Marshal(c)
	if err != nil {
		panic(err) // can't happen: the value was JSON
	}
	return out
}

// rotate replaces the key in force.
func (k *keyRotation) rotate() {
	k.mu.Lock()
	old, key := k.keys[len(k.keys)-1], fmt.Sprint("key-rotating-", len(k.keys))
	k.keys = append(k.keys, key)
	before := time.Now()
	k.mu.Unlock()
	k.fl.writeConfiguration()
	k.mu.Lock()
	defer k.mu.Unlock()
	now, t := time.Now(), k.times[old]
	t.removing, t.removed = before, now
	k.times[old], k.times[key] = t, keyTimes{adding: before, added: now}
}

// runClient sends requests with all kinds of keys to one entry VM until ctx ends, over one connection as long as it is open.
func (k *keyRotation) runClient(ctx context.Context, number int) {
	rng := rand.New(rand.NewPCG(k.fl.options.Seed, uint64(number)))
	e := k.fl.entries[number%len(k.fl.entries)]
	var conn *standin.Conn
	for n := 0; ctx.Err() == nil; n++ {
		if conn == nil {
			var err error
			if conn, err = standin.Dial(ctx, e.callers.address()); err != nil {
				conn = nil
				time.Sleep(50 * time.Millisecond)
				continue
			}
		}
		k.mu.Lock()
		key := []string{steadyKey, unknownKey, k.keys[len(k.keys)-1], k.keys[rng.IntN(len(k.keys))]}[rng.IntN(4)]
		k.mu.Unlock()
		class := classes[rng.IntN(len(classes))]
		began := time.Now()
		o := conn.Do(standin.Attempt{
			ID: fmt.Sprintf("%s-%d-%d", class, number, n), Host: host, Path: "/" + class + "/x", Key: key, Deadline: clientDeadline,
			Streams: class == "stream" || class == "resume",
		})
		if !o.Reusable {
			_ = conn.Close()
			conn = nil
		}
		k.mu.Lock()
		k.calls = append(k.calls, keyCall{o, e, began})
		k.mu.Unlock()
		time.Sleep(time.Duration(2+rng.IntN(10)) * time.Millisecond)
	}
	if conn != nil {
		_ = conn.Close()
	}
}

// awaitRefusal sends requests with a removed key to an entry VM until one is refused for the key.
func awaitRefusal(ctx context.Context, e *entryVM, key string) error {
	for n := 0; ; n++ {
		conn, err := standin.Dial(ctx, e.callers.address())
		if err == nil {
			o := conn.Do(standin.Attempt{ID: fmt.Sprint("read-removed-", n), Host: host, Path: "/read/x", Key: key, Deadline: clientDeadline})
			_ = conn.Close()
			if o.Status == http.StatusUnauthorized {
				return nil
			}
		}
		if ctx.Err() != nil {
			return trace.Wrap(ctx.Err(), "%s still serves %s", e.name, key)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// judge reports what the calls and the runs at the servers show of the keys.
func (k *keyRotation) judge(t *testing.T, timed bool) {
	type lane struct{ key, entry string }
	accepted, refusedAgain := map[lane]time.Time{}, map[lane]time.Time{}
	slices.SortFunc(k.calls, func(a, b keyCall) int { return a.Ended.Compare(b.Ended) })
	k.fl.observed.mu.Lock()
	defer k.fl.observed.mu.Unlock()
	counts, last := map[int]int{}, time.Duration(0)
	for _, c := range k.calls {
		counts[c.Status]++
		times, l := k.times[c.Key], lane{c.Key, c.entry.name}
		rotates := c.Key != steadyKey && c.Key != unknownKey
		bound := configWithin + timedMargin
		calm := timed && c.entry.undisturbed(c.began.Add(-bound), c.Ended)
		switch c.Status {
		case http.StatusOK:
			if c.Key == unknownKey {
				t.Errorf("%s at %s: an unknown key was served", c.ID, c.entry.name)
			}
			if at, ok := refusedAgain[l]; ok && c.began.After(at) {
				t.Errorf("%s at %s: %s was served after its removal was in force", c.ID, c.entry.name, c.Key)
			}
			if accepted[l].IsZero() {
				accepted[l] = c.Ended
			}
		case http.StatusUnauthorized:
			if c.Key == steadyKey {
				t.Errorf("%s at %s: a key that all configurations contain was refused", c.ID, c.entry.name)
			}
			at := accepted[l]
			kept := times.removing.IsZero() || c.Ended.Before(times.removing)
			if rotates && kept && (!at.IsZero() && c.began.After(at) || calm && c.began.After(times.added.Add(bound))) {
				t.Errorf("%s at %s: %s was refused before it was removed", c.ID, c.entry.name, c.Key)
			}
			if !at.IsZero() && c.began.After(at) && refusedAgain[l].IsZero() {
				refusedAgain[l] = c.Ended
			}
			if slices.ContainsFunc(k.fl.observed.runs[c.ID], func(r standin.Run) bool { return !r.Started.IsZero() }) {
				t.Errorf("%s at %s: a refused request has run", c.ID, c.entry.name)
			}
		}
		for _, r := range k.fl.observed.runs[c.ID] {
			if want := map[bool]string{true: "rotating", false: "steady"}[rotates]; r.HasKey || r.Account != want {
				t.Errorf("%s: the server got the account %q, want %q, and a key: %v", c.ID, r.Account, want, r.HasKey)
			}
			if rotates && !times.removed.IsZero() {
				after := r.Arrived.Sub(times.removed)
				if last = max(last, after); calm && r.After == 0 && after > bound {
					t.Errorf("%s at %s: sent %s after its key was removed", c.ID, c.entry.name, after)
				}
			}
		}
	}
	t.Logf("seed %d: %d calls, by status %v; last run of a removed key %s after its removal", k.fl.options.Seed, len(k.calls), counts, last)
	if counts[http.StatusOK] == 0 || counts[http.StatusUnauthorized] == 0 {
		t.Error("keys were not served, or not refused")
	}
}

// Guards against keys that are served after their removal, at a VM that restarts or loses the store for a time too, against refusals of
// keys that are in force, and against servers that get keys.
func TestRemovedKeysAreNotServed(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	is := is.New(t)
	k := &keyRotation{keys: []string{"key-rotating-0"}, times: map[string]keyTimes{}}
	fl, err := newFleet(Options{Seed: 1, Program: buildProgram(t), Dir: t.TempDir(), Entries: 4, Servers: 3, Output: t.Output(), editConfiguration: k.configuration})
	defer fl.close()
	is.NoErr(err)
	t.Cleanup(func() { keepLogs(t, fl.options.Dir) })
	k.fl, k.times[k.keys[0]] = fl, keyTimes{adding: time.Now(), added: time.Now()}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	is.NoErr(fl.waitReady(ctx))
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	var clients, disturbances sync.WaitGroup
	for i := range 3 * len(fl.entries) {
		clients.Go(func() { k.runClient(traffic, i) })
	}
	for round := range keyRounds {
		time.Sleep(keyRoundTime)
		k.rotate()
		switch round {
		case 1:
			disturbances.Go(func() { kinds["entry-kill"](fl, fault{target: 0, duration: 300 * time.Millisecond}) })
		case 2:
			disturbances.Go(func() { kinds["store-cut"](fl, fault{target: 3, duration: 2 * time.Second}) })
		}
	}
	time.Sleep(configWithin + timedMargin + keyRoundTime)
	stop()
	clients.Wait()
	disturbances.Wait()
	for _, e := range fl.entries {
		for _, key := range k.keys[:len(k.keys)-1] {
			is.NoErr(awaitRefusal(ctx, e, key))
		}
	}
	time.Sleep(timedMargin) // lets the runs of the last requests end
	k.judge(t, os.Getenv(timedVariable) != "")
	for _, e := range fl.entries {
		out, err := os.ReadFile(filepath.Join(fl.options.Dir, e.name+".log"))
		is.NoErr(err)
		for _, key := range append(k.keys, steadyKey, unknownKey) {
			if bytes.Contains(out, []byte(key)) {
				t.Errorf("%s logs %s", e.name, key)
			}
		}
	}
}
