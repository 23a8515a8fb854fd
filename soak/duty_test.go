package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/platform/standin"
)

const accountKey = "key-of-an-account"

func withAccount(b json.RawMessage) json.RawMessage {
	var c map[string]any
	if json.Unmarshal(b, &c) != nil {
		return b
	}
	c["tenants"] = []any{map[string]any{"name": "account", "api_keys": []string{accountKey}}}
	out, err := json.Marshal(c)
	if err != nil {
		return b
	}
	return out
}

// sendCounted sends requests of the account, spread over a window, to the entry VMs except one, and returns how many were answered.
func (fl *fleet) sendCounted(t *testing.T, label string, n int, except string) (answered int) {
	for i := range n {
		e := fl.entries[i%len(fl.entries)]
		if e.name == except {
			continue
		}
		conn, err := standin.Dial(t.Context(), fl.address(e, portCallers))
		if err != nil {
			t.Fatal(err)
		}
		o := conn.Do(standin.Attempt{ID: fmt.Sprint("once-", label, i), Host: host, Path: "/once/x", Key: accountKey, Deadline: 4 * time.Second})
		conn.Close()
		if o.Status == http.StatusOK {
			answered++
		} else if o.Status/100 == 5 {
			t.Logf("%s: status %d", label, o.Status)
		}
		time.Sleep(usageWindow / time.Duration(n))
	}
	return answered
}

// Guards against windows that are reported twice with different counts, by holders that alternate, or not at all, when the VM that
// reports usage is killed, suspended or cut off from the store, and against requests that are lost or counted twice meanwhile.
func TestTheHolderOfADutyIsLost(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	program := buildProgram(t)
	for name, lose := range map[string]func(fl *fleet, e *entryVM) (end func()){
		"killed": func(fl *fleet, e *entryVM) func() { e.signal(syscall.SIGKILL); return func() { fl.restartEntry(e) } },
		"suspended": func(_ *fleet, e *entryVM) func() {
			e.signal(syscall.SIGSTOP)
			return func() { e.signal(syscall.SIGCONT) }
		},
		"cut off from the store": func(_ *fleet, e *entryVM) func() { e.store.setCut(cutBoth); return func() { e.store.setCut(cutNone) } },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			api := standin.NewDuties(leaseBound)
			server := httptest.NewServer(api)
			defer server.Close()
			fl, err := newFleet(Options{Program: program, Dir: t.TempDir(), Entries: 4, Servers: 2, editConfiguration: withAccount, dutiesAddress: server.Listener.Addr().String()})
			defer fl.close()
			is.NoErr(err)
			is.NoErr(fl.waitReady(t.Context()))
			await := func(what string, ok func() bool) {
				for end := time.Now().Add(90 * time.Second); !ok(); time.Sleep(100 * time.Millisecond) {
					if time.Now().After(end) {
						t.Fatalf("%s: reports %v of %s; breaches %v", what, api.Reports(), api.Holder(), api.Breaches())
					}
				}
			}
			reported := func() (n int) {
				for _, counts := range api.Reports() {
					n += counts["account"]
				}
				return n
			}
			sent := fl.sendCounted(t, "before", 24, "")
			is.True(sent > 0)
			await("before the fault", func() bool { return reported() == sent })
			holder := api.Holder()
			i := slices.IndexFunc(fl.entries, func(e *entryVM) bool { return e.name == holder })
			end := lose(fl, fl.entries[i])
			sent += fl.sendCounted(t, "during", 24, holder)
			await("during the fault", func() bool { return reported() == sent && api.Holder() != holder })
			end()
			sent += fl.sendCounted(t, "after", 24, holder)
			await("after the fault", func() bool { return reported() == sent })
			windows := api.Reports()
			first, last := int64(1)<<62, int64(0)
			for k := range windows {
				first, last = min(first, k), max(last, k)
			}
			is.Equal(last-first+1, int64(len(windows))) // none is left out
			is.Equal(len(api.Breaches()), 0)
		})
	}
}
