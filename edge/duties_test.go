package edge

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/platform"
	"bergamotcroft.example/bergamot/platform/standin"
)

// total returns the requests of an account in all reports.
func total(api *standin.Duties, account string) (n int) {
	for _, counts := range api.Reports() {
		n += counts[account]
	}
	return n
}

// await waits until a condition holds.
func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(2 * time.Minute); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// Guards against counts that a planned stop of the holder loses or counts twice, between VMs that speak over the network, and against
// a deployment without accounts that reports.
func TestUsageOfAVMThatStopsIsReported(t *testing.T) {
	is := is.New(t)
	store := standin.NewStore()
	var configuration map[string]any
	is.NoErr(json.Unmarshal(standin.Config(1, "h", "app", time.Second), &configuration))
	configuration["tenants"] = []any{map[string]any{"name": "a", "api_keys": []string{"k"}}, map[string]any{"name": "b"}}
	is.NoErr(store.Put("config", "main", configuration))
	storeServer := httptest.NewServer(store)
	defer storeServer.Close()
	api := standin.NewDuties(300 * time.Millisecond)
	apiServer := httptest.NewServer(api)
	defer apiServer.Close()
	edges := map[string]*Edge{}
	ended := map[string]chan error{}
	subnet := os.Getpid() % 250
	l, err := net.Listen("tcp4", fmt.Sprintf("127.77.%d.1:0", subnet))
	is.NoErr(err)
	port := l.Addr().(*net.TCPAddr).Port
	is.NoErr(l.Close())
	for i := range 3 {
		ip := fmt.Sprintf("127.77.%d.%d", subnet, i+1)
		name := fmt.Sprint("vm", i)
		var seeds []string
		for _, e := range edges {
			seeds = append(seeds, e.peerAddress())
		}
		b, err := json.Marshal(map[string]any{
			"node": name, "ip": ip, "zone": "z", "port_range": []int{port, port + 8}, "seeds": seeds,
			"listen": map[string]string{"front": net.JoinHostPort(ip, fmt.Sprint(port+5)), "ready": net.JoinHostPort(ip, fmt.Sprint(port+6))},
			"bounds": map[string]any{"grace_s": 5, "lease_ms": 300, "window_s": 2, "usage_late_s": 4, "ttl_max_s": 1}, "heartbeat_ms": 1000,
			"platform": map[string]any{"address": storeServer.Listener.Addr().String()},
			"cloud":    map[string]any{"address": apiServer.Listener.Addr().String(), "duties": []string{"usage"}, "duty_per_s": 50},
		})
		is.NoErr(err)
		settings, err := platform.ParseSettings(b)
		is.NoErr(err)
		e, err := New(Options{Settings: settings, Log: zap.NewNop()})
		is.NoErr(err)
		done := make(chan error, 1)
		edges[name], ended[name] = e, done
		go func() { done <- e.Run() }()
	}
	defer func() {
		for name, e := range edges {
			e.Stop(time.Now())
			is.NoErr(<-ended[name])
		}
	}()
	await(t, "the VMs know one another", func() bool {
		for _, e := range edges {
			if len(e.usageMembers()) != 2 || e.catalog.Table() == nil {
				return false
			}
		}
		return true
	})
	for _, e := range edges {
		for range 10 {
			e.duties.counter.Began("a")
		}
	}
	await(t, "30 requests are reported", func() bool { return total(api, "a") == 30 })
	holder := api.Holder()
	stopped := edges[holder]
	delete(edges, holder)
	stopped.Stop(time.Now())
	await(t, "the stop has begun", stopped.leaving.Load)
	time.Sleep(minDrainTime - time.Second) // the counts come late in the stop
	for range 7 {
		stopped.duties.counter.Began("a")
	}
	is.NoErr(<-ended[holder])
	await(t, "37 requests are reported", func() bool { return total(api, "a") == 37 && api.Holder() != holder })
	for _, e := range edges {
		e.duties.counter.Began("b")
	}
	await(t, "reports go on", func() bool { return total(api, "b") == 2 })
	is.Equal(total(api, "a"), 37)
	is.Equal(len(api.Breaches()), 0)
}
