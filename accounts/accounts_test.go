package accounts_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/accounts"
	"bergamotcroft.example/bergamot/topo"
)

// Guards against a key that finds no account or another one, and against an empty or faulty entry that admits callers.
func TestLookup(t *testing.T) {
	is := is.New(t)
	x, err := accounts.New([]topo.Account{
		{Caller: "a", KeySHA: []string{accounts.HashKey("k1"), accounts.HashKey("k2"), accounts.HashKey("")}},
		{Caller: "b", KeySHA: []string{strings.ToUpper(accounts.HashKey("k3")), accounts.HashKey("k2")}},
		{Caller: "faulty", KeySHA: []string{"k4", "", accounts.HashKey("k5")[:62]}},
	})
	is.True(err != nil && strings.Contains(err.Error(), "faulty") && !strings.Contains(err.Error(), "k4"))
	for key, want := range map[string]string{"k1": "a", "k2": "b", "k3": "b", "": "", "k4": "", "k5": "", "K1": "", "k1 ": "", accounts.HashKey("k1"): ""} {
		got := ""
		if a, ok := x.Lookup(key); ok {
			got = a.Caller
		}
		is.Equal(got, want)
	}
	_, ok := (*accounts.Index)(nil).Lookup("k1")
	is.True(!ok)
}

// Guards against credentials of another scheme that are taken as a key.
func TestBearerKey(t *testing.T) {
	is := is.New(t)
	for value, want := range map[string]string{"Bearer k": "k", "Bearer ": "", "Bearer": "", "Basic k": "", "k": "", "": "", "Bearerk": ""} {
		is.Equal(accounts.BearerKey(value), want)
	}
}
