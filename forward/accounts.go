package forward

import (
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/routes"
	"bergamotcroft.example/bergamot/topo"
)

// Reasons for which a request is refused because of its API key, as labels of the metric.
const (
	keyMissing     = "missing"
	keyUnknown     = "unknown"
	keyRemoved     = "removed" // the configuration had the key when the request arrived
	keyUnconfirmed = "unconfirmed"
)

// identify identifies the account of the request, if the configuration has accounts. From then on the account's name stands for the
// caller, so that no key gets into fingerprints and logs.
func (x *exchange) identify() *result.Error {
	if x.table.Accounts == nil {
		return nil
	}
	x.call.Caller = ""
	reason := keyUnknown
	if x.call.Key == "" && (x.query == nil || x.query.Account == "") {
		reason = keyMissing
	}
	var err *result.Error
	if x.account, err = x.lookUp(x.table, reason); x.account != nil {
		x.call.Caller = x.account.Caller
	}
	return err
}

// lookUp returns the account of the request's key in a table with accounts; nil: none, and the route needs none. reason is why the key
// is refused if no account has it.
func (x *exchange) lookUp(t *routes.Table, reason string) (*topo.Account, *result.Error) {
	if a, ok := x.accountIn(t); ok {
		return a, nil
	}
	if x.isPublic(t) {
		return nil, nil
	}
	if !x.f.opts.ConfigurationConfirmed() {
		x.countRefusedKey(keyUnconfirmed)
		return nil, errUnconfirmed()
	}
	// The table in force now is at least as new as the confirmation; t may have been replaced before it.
	if now := x.f.opts.Table(); now != nil && now != t {
		if a, ok := x.accountIn(now); ok || now.Accounts == nil || x.isPublic(now) {
			return a, nil
		}
	}
	x.countRefusedKey(reason)
	return nil, result.New(result.KeyRefused, "the API key is %s", reason)
}

// accountIn returns the account of the request's key, or of a query's account name, in a table.
func (x *exchange) accountIn(t *routes.Table) (*topo.Account, bool) {
	if x.query != nil {
		return t.Accounts.Named(x.query.Account)
	}
	return t.Accounts.Lookup(x.call.Key)
}

func (x *exchange) countRefusedKey(reason string) {
	if x.query == nil {
		x.f.metrics.refusedKeys(reason).Inc()
	}
}

// isPublic reports whether a request of the exchange's route needs no key in a table that may be newer than the request.
func (x *exchange) isPublic(t *routes.Table) bool {
	if t != x.table {
		if r := t.Match(x.r.Host, x.path()); r != nil {
			return r.Public
		}
	}
	return x.route.Public
}

// checkAccount checks the request's key again before a send, unless the answer has begun, and sets the account that the send
// states. The configuration may have changed since the request arrived.
func (x *exchange) checkAccount(s *Send) error {
	t := x.f.opts.Table()
	if t == nil || t == x.table || t.Accounts == nil {
		s.HasAccounts = x.table.Accounts != nil
		s.setAccount(x.account)
		return nil
	}
	s.HasAccounts = true
	if x.begun.Load() {
		a := x.account
		if a == nil {
			a, _ = t.Accounts.Lookup(x.call.Key)
		}
		s.setAccount(a)
		return nil
	}
	a, err := x.lookUp(t, keyRemoved)
	if err != nil {
		return err
	}
	s.setAccount(a)
	return nil
}

func (s *Send) setAccount(a *topo.Account) {
	if a != nil {
		s.Account = a.Caller
	}
}

// priority returns the priority of the request, 0 for the highest: the account's if it states one, or else the route's.
func (x *exchange) priority() int {
	if a := x.account; a != nil && !a.NoPriority {
		return a.Priority
	}
	return x.route.Priority
}

func errUnconfirmed() *result.Error {
	return result.New(result.StaleEntryVM, "this entry VM can't confirm its configuration").WithRetryAfter(notReadyRetryAfter)
}
