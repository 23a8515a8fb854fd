package control

import (
	"context"
	"slices"

	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"
)

// conditionalTries bounds the tries of a conditional update against other writers. Confirmations are rare, so that a
// writer which loses this often has met a fault rather than a race.
const conditionalTries = 8

func (o *Options) confirmations(ctx context.Context) (record[topo.Confirmations], error) {
	return read[topo.Confirmations](ctx, o.Store, topo.KindConfirmations, topo.ConfirmationsName)
}

func (o *Options) writeConfirmations(ctx context.Context, r record[topo.Confirmations], contains store.Contains) error {
	_, err := write(ctx, o, topo.KindConfirmations, topo.ConfirmationsName, r, contains)
	return err
}

// find returns the entry of a plan, or nil.
func find(c topo.Confirmations, planName string) *topo.Confirmation {
	i := slices.IndexFunc(c.Active, func(x topo.Confirmation) bool { return x.Plan == planName })
	if i < 0 {
		return nil
	}
	return &c.Active[i]
}

// holder returns the entry that holds one of the upstreams, and the upstream.
func holder(c topo.Confirmations, upstreams []string) (*topo.Confirmation, string) {
	for i := range c.Active {
		for _, n := range upstreams {
			if slices.Contains(c.Active[i].Upstreams, n) {
				return &c.Active[i], n
			}
		}
	}
	return nil, ""
}

// marked says whether a later value of the object still has the entry with this mark. An entry that is gone can't be told
// from one that never was.
func marked(mark string) store.Contains {
	return func(now store.Object) (applied, known bool) {
		c, err := topo.Decode[topo.Confirmations](now.Value)
		if err != nil {
			return false, false
		}
		found := slices.ContainsFunc(c.Active, func(x topo.Confirmation) bool { return x.Mark == mark })
		return found, found
	}
}

// release removes a finished plan. It does nothing when the plan is not there.
func (o *Options) release(ctx context.Context, planName string) error {
	for range conditionalTries {
		r, err := o.confirmations(ctx)
		if err != nil {
			return err
		}
		n := slices.DeleteFunc(slices.Clone(r.value.Active), func(x topo.Confirmation) bool { return x.Plan == planName })
		if len(n) == len(r.value.Active) {
			return nil
		}
		r.value.Active = n
		if err = o.writeConfirmations(ctx, r, nil); err == nil || !reread(err) {
			return err
		}
	}
	return result.New(result.StoreConflict, "the list of confirmed plans keeps changing")
}
