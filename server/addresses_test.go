package server

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/settings"
	"bergamotcroft.example/bergamot/topo"
)

// Guards against address answers with other entry VMs than those that share the caller's limits, which happens when the group
// is derived from the API key or differs between two keys of one account.
func TestAddressesUseTheAccountName(t *testing.T) {
	is := is.New(t)
	hash := func(key string) string {
		sum := sha256.Sum256([]byte(key))
		return hex.EncodeToString(sum[:])
	}
	set := settings.Default()
	set.Name, set.DataCentre, set.Callers.Listen, set.Metrics.Listen = "vm1", "a", "127.0.0.1:0", "127.0.0.1:0"
	set.Shutdown = settings.Shutdown{Drain: topo.Duration(time.Second), Unlisted: true}
	s, err := New(Options{Settings: set, Source: NewStaticSource(&topo.Configuration{
		Revision: 1, Accounts: []topo.Account{{Caller: "c1", KeySHA: []string{hash("old"), hash("new")}}},
	})})
	is.NoErr(err)
	ended := make(chan error, 1)
	go func() { ended <- s.Run() }()
	caller := func(key string) string {
		r := httptest.NewRequest("GET", "/v1/addresses", nil)
		r.Header.Set("Authorization", "Bearer "+key)
		return s.addressOptions().Caller(r)
	}
	for end := time.Now().Add(30 * time.Second); caller("old") == "" && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(caller("old"), "c1")
	is.Equal(caller("new"), "c1")
	is.Equal(caller("unknown"), "")
	s.Stop()
	is.NoErr(<-ended)
}
