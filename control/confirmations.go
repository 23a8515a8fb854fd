package control

import (
	"context"
	"slices"

	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"
)

// maxConditionalTries bounds the attempts of a conditional update against concurrent writers. Confirmations are rare,
// so a writer that loses this often indicates a fault rather than a race.
const maxConditionalTries = 8

func (o *Options) readConfirmations(ctx context.Context) (record[topo.Confirmations], error) {
	return read[topo.Confirmations](ctx, o.Store, topo.KindConfirmations, topo.ConfirmationsName)
}

func (o *Options) writeConfirmations(ctx context.Context, r record[topo.Confirmations], contains store.Contains) error {
	_, err := write(ctx, o, topo.KindConfirmations, topo.ConfirmationsName, r, contains)
	return err
}

// findConfirmation returns the confirmation of a plan, or nil.
func findConfirmation(c topo.Confirmations, planName string) *topo.Confirmation {
	i := slices.IndexFunc(c.Active, func(x topo.Confirmation) bool { return x.Plan == planName })
	if i < 0 {
		return nil
	}
	return &c.Active[i]
}

// findHolder returns the first confirmation that holds one of the upstreams, and that upstream.
func findHolder(c topo.Confirmations, upstreams []string) (*topo.Confirmation, string) {
	for i := range c.Active {
		for _, n := range upstreams {
			if slices.Contains(c.Active[i].Upstreams, n) {
				return &c.Active[i], n
			}
		}
	}
	return nil, ""
}

// containsMark returns a function that checks whether a later value of the confirmations object contains the entry with this
// mark. A missing entry leaves the outcome unknown: it may have been removed or never written.
func containsMark(mark string) store.Contains {
	return func(now store.Object) (applied, known bool) {
		c, err := topo.Decode[topo.Confirmations](now.Value)
		if err != nil {
			return false, false
		}
		found := slices.ContainsFunc(c.Active, func(x topo.Confirmation) bool { return x.Mark == mark })
		return found, found
	}
}

// releasePlan removes the confirmation of a finished plan, if there is one.
func (o *Options) releasePlan(ctx context.Context, planName string) error {
	for range maxConditionalTries {
		r, err := o.readConfirmations(ctx)
		if err != nil {
			return err
		}
		n := slices.DeleteFunc(slices.Clone(r.value.Active), func(x topo.Confirmation) bool { return x.Plan == planName })
		if len(n) == len(r.value.Active) {
			return nil
		}
		r.value.Active = n
		if err = o.writeConfirmations(ctx, r, nil); err == nil || !needsReread(err) {
			return err
		}
	}
	return result.New(result.StoreConflict, "the list of confirmed plans keeps changing")
}
