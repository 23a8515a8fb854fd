package forward

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/conns"
	"bergamotcroft.example/bergamot/routes"
	"bergamotcroft.example/bergamot/topo"
)

// Guards against a request that counts twice, counts though it was never sent, or does not count though it may have run.
func TestARequestCountsOnce(t *testing.T) {
	sent := time.Unix(100, 0)
	lost := &conns.Error{Stage: conns.Answered}
	for i, c := range []struct {
		account string
		kind    routes.Kind
		stage   Stage
		errs    []error // of the sends, in order
		want    int
	}{
		{"a", routes.Idempotent, Whole, []error{nil}, 1},
		{"a", routes.Idempotent, Whole, []error{lost}, 1},
		{"a", routes.Idempotent, Whole, []error{errors.New("unknown")}, 1},
		{"a", routes.Idempotent, Whole, []error{lost, nil}, 1},
		{"a", routes.Idempotent, Whole, []error{&conns.Error{Stage: conns.NotSent}}, 0},
		{"a", routes.Idempotent, Whole, []error{&conns.Error{Stage: conns.NotSent}, nil}, 1},
		{"", routes.Idempotent, Whole, []error{nil}, 0},
		{"a", routes.Idempotent, PromptOnly, []error{nil}, 0},
		{"a", routes.Stream, Whole, []error{nil, lost}, 0}, // it counts with its first event
	} {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			is := is.New(t)
			var got []time.Time
			f := New(Options{OnBegan: func(account string, at time.Time) {
				is.Equal(account, c.account)
				got = append(got, at)
			}})
			x := &exchange{f: f, route: &routes.Route{Kind: c.kind}}
			if c.account != "" {
				x.account = &topo.Account{Caller: c.account}
			}
			for _, err := range c.errs {
				x.countSend(sent, &Send{Stage: c.stage}, err)
			}
			is.Equal(len(got), c.want)
			if c.want > 0 {
				is.Equal(got[0], sent)
			}
			x.countRun(sent)
			x.countRun(sent)
			is.Equal(len(got) == 1, c.account != "")
		})
	}
}
