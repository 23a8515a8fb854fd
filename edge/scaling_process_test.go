package edge

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/platform"
	"bergamotcroft.example/bergamot/platform/standin"
)

// freePort returns a port that was free a moment ago on the address.
func freePort(t *testing.T, ip string) int {
	t.Helper()
	l, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port
}

// Guards against an entry VM that is not wired to the platform's API: it replaces servers by preemptible ones, and orders the former
// down only when the latter are registered. The platform takes no orders without the duty's headers.
func TestAnEntryVMReplacesServers(t *testing.T) {
	is := is.New(t)
	objects := standin.NewStore()
	storeServer := httptest.NewServer(objects)
	defer storeServer.Close()
	is.NoErr(objects.Put(platform.Kinds.Configuration, platform.Kinds.Name, json.RawMessage(`{"version":1,"routes":[],"services":[
		{"name":"app","scaling":{"min":1,"max":10,"startup_s":0.1,"spot_price":0.22,"zone_prices":{"a":1,"b":0.8}}}]}`)))
	register := func(n int, zone string, preemptible bool) {
		is.NoErr(objects.Put(platform.Kinds.Upstreams, fmt.Sprintf("i-%s-%v-%d", zone, preemptible, n), map[string]any{
			"service": "app", "address": "127.0.0.1:9", "zone": zone, "slots": 6, "state": "ready", "born": 1, "preemptible": preemptible,
		}))
	}
	for i := range 3 {
		register(i, "a", false)
		register(i, "b", false)
	}
	var mu sync.Mutex
	servers := map[string]int{"a false": 3, "b false": 3}
	done := make(chan struct{})
	cloud := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		body, _ := io.ReadAll(r.Body) // an incomplete body does not decode
		var o struct {
			Service, Zone string
			Desired       int
			Preemptible   bool
		}
		if r.URL.Path != "/scale" || r.Header.Get("Duty-Holder") != "vm1" || r.Header.Get("Fencing-Token") != "1" || json.Unmarshal(body, &o) != nil {
			t.Errorf("unknown call %s %s %s", r.URL.Path, body, r.Header)
			return
		}
		t.Log(string(body))
		if !o.Preemptible && o.Desired < 3 && servers["a true"]+servers["b true"] < 4 {
			t.Errorf("ordered down with %v", servers)
		}
		key := fmt.Sprint(o.Zone, " ", o.Preemptible)
		for i := servers[key]; i < o.Desired; i++ {
			register(i, o.Zone, o.Preemptible)
		}
		for i := o.Desired; i < servers[key]; i++ {
			objects.Delete(platform.Kinds.Upstreams, fmt.Sprintf("i-%s-%v-%d", o.Zone, o.Preemptible, i))
		}
		servers[key] = o.Desired
		if servers["a false"] == 1 && servers["b false"] == 1 && servers["a true"]+servers["b true"] == 4 {
			select {
			case <-done:
			default:
				close(done)
			}
		}
	}))
	defer cloud.Close()
	const ip = "127.0.0.1"
	port := freePort(t, ip)
	settings, err := platform.ParseSettings([]byte(fmt.Sprintf(`{"node":"vm1","ip":%q,"zone":"a","port_range":[%d,%d],"listen":{"front":"%s:%d","ready":"%s:%d"},
		"bounds":{"grace_s":1,"lease_ms":3000},"platform":{"address":%q},"cloud":{"address":%q,"duties":["autoscale"],"duty_per_s":50}}`,
		ip, port, port+9, ip, freePort(t, ip), ip, freePort(t, ip), storeServer.Listener.Addr(), cloud.Listener.Addr())))
	is.NoErr(err)
	e, err := New(Options{Settings: settings})
	is.NoErr(err)
	ended := make(chan error, 1)
	go func() { ended <- e.Run() }()
	select {
	case <-done:
	case <-time.After(time.Minute): // only a failure waits for so long
		t.Errorf("servers are not replaced: %v", servers)
	}
	e.Stop(time.Now())
	is.NoErr(<-ended)
}
