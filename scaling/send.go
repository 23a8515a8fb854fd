package scaling

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/lease"
	"bergamotcroft.example/bergamot/policy"
)

// send writes the new figures to the store and sends at most one order for each subject, several at once.
func (c *Controller) send(ctx context.Context, now time.Time, list []Service, due []Order) {
	c.tokens = min(c.tokens+ordersPerS*now.Sub(c.filledAt).Seconds(), orderBurst)
	c.filledAt = now
	if now.Before(c.resumeAt) {
		return
	}
	batch := c.batch(list, due)
	if !c.write(ctx, now, batch) {
		batch = slices.DeleteFunc(batch, func(o Order) bool { return !c.recorded(o) })
	}
	if len(batch) == 0 {
		return
	}
	token, ok := c.duty().Holds() // the write may have taken long
	if !ok || token.Fencing != c.fencing {
		return
	}
	c.tokens -= float64(len(batch))
	c.receive(token, batch, c.sendAll(ctx, token, batch))
}

// batch returns the orders to send now: first those that are to be repeated, then those that are due.
func (c *Controller) batch(list []Service, due []Order) []Order {
	var out []Order
	taken := map[subject]bool{}
	add := func(o Order) {
		k := subject{o.Service, o.DataCentre}
		if !taken[k] && len(out) < int(c.tokens) {
			taken[k] = true
			out = append(out, o)
		}
	}
	for i := range list {
		for j := range list[i].DataCentres {
			if s := c.subject(list[i].Name, list[i].DataCentres[j].Name); len(s.repeat) > 0 {
				add(s.repeat[0])
			}
		}
	}
	for _, o := range due {
		if len(c.subject(o.Service, o.DataCentre).repeat) == 0 {
			add(o)
		}
	}
	return out
}

// recorded reports whether the record has the figure of o, and none of the other kind there that was refused or is over. A successor sends all
// figures of the record, which together must not exceed the maximum.
func (c *Controller) recorded(o Order) bool {
	s := c.subject(o.Service, o.DataCentre)
	for kind := range s.kinds {
		k := &s.kinds[kind]
		switch {
		case policy.ServerKind(kind) == o.Kind:
			if !k.isRecorded || k.uncertain || k.recorded != o.Desired {
				return false
			}
		case len(s.repeat) == 0 && k.isRecorded && (!k.inRecord() || k.recorded != k.ordered):
			return false
		}
	}
	return true
}

// write stores the figures of due that the record lacks, in one write. It reports whether the record has all of them.
func (c *Controller) write(ctx context.Context, now time.Time, due []Order) bool {
	if !slices.ContainsFunc(due, func(o Order) bool { return !c.recorded(o) }) {
		return true
	}
	if !c.load(ctx, now) {
		return false
	}
	next := State{Totals: maps.Clone(c.totals)}
	for name, s := range c.services {
		if s.plan.Total > 0 {
			next.Totals[name] = s.plan.Total
		}
	}
	figures := map[Order]int{} // by order with Desired 0
	for k, s := range c.subjects {
		for kind := range s.kinds {
			if len(s.repeat) > 0 && s.kinds[kind].known || s.kinds[kind].inRecord() {
				figures[Order{k.service, k.dataCentre, policy.ServerKind(kind), 0}] = s.kinds[kind].ordered
			}
		}
	}
	for _, o := range due {
		figures[Order{o.Service, o.DataCentre, o.Kind, 0}] = o.Desired
	}
	for o, n := range figures {
		o.Desired = n
		next.Orders = append(next.Orders, o)
	}
	slices.SortFunc(next.Orders, func(a, b Order) int {
		return strings.Compare(a.Service+" "+a.DataCentre+" "+a.Kind.String(), b.Service+" "+b.DataCentre+" "+b.Kind.String())
	})
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := c.record.Save(ctx, c.fencing, next); err != nil {
		c.opts.Log.Warn("capacity orders not written", zap.Error(err))
		for k, s := range c.subjects {
			for kind := range s.kinds {
				x := &s.kinds[kind]
				n, ok := figures[Order{k.service, k.dataCentre, policy.ServerKind(kind), 0}]
				x.uncertain = x.uncertain || ok != x.isRecorded || n != x.recorded
			}
		}
		c.loaded, c.loadAt = false, now.Add(time.Second)
		return false
	}
	for _, s := range c.subjects {
		for kind := range s.kinds {
			s.kinds[kind].isRecorded, s.kinds[kind].uncertain = false, false // a lost write can't take effect any more
		}
	}
	for _, o := range next.Orders {
		k := c.kind(o)
		k.recorded, k.isRecorded = o.Desired, true
	}
	c.totals = next.Totals
	return true
}

func (c *Controller) sendAll(ctx context.Context, t lease.Token, batch []Order) []error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	errs := make([]error, len(batch))
	var all sync.WaitGroup
	for i := range batch {
		all.Go(func() { errs[i] = c.opts.Send(ctx, t, batch[i]) })
	}
	all.Wait()
	return errs
}

// receive records the answers.
func (c *Controller) receive(t lease.Token, batch []Order, errs []error) {
	now := c.opts.Clock.Now()
	failed := false
	for i, o := range batch {
		s, k, err := c.subject(o.Service, o.DataCentre), c.kind(o), errs[i]
		repeated := len(s.repeat) > 0 // o is the first of them
		answer := "accepted"
		switch {
		case err == nil:
			k.order(now, o.Desired)
			k.accepted, k.isAccepted = o.Desired, true
		case errors.Is(err, ErrNoServers):
			answer = "no_servers"
			k.unavailable = laterOf(k.unavailable, now.Add(noServersPause))
		case errors.Is(err, ErrRateLimited):
			answer, failed = "rate_limited", true
		case errors.Is(err, ErrRejected):
			answer = "rejected"
			if o.Desired < k.present {
				k.keptUntil = now.Add(rejectedPause)
			} else {
				k.unavailable = laterOf(k.unavailable, now.Add(rejectedPause))
			}
		default:
			answer, failed = "unknown", true
			k.order(now, o.Desired)
			if !repeated {
				s.repeat = append(s.repeat, o)
			}
		}
		if repeated && answer != "unknown" && answer != "rate_limited" {
			s.repeat = s.repeat[1:]
			if err != nil { // the servers that were counted on will not start
				k.refused()
			}
		}
		if p := c.services[o.Service]; p != nil {
			p.plannedAt = time.Time{}
		}
		countOrder(answer)
		c.opts.Log.Info("capacity order", zap.String("service", o.Service), zap.String("data_centre", o.DataCentre), zap.String("kind", o.Kind.String()),
			zap.Int("desired", o.Desired), zap.Bool("repeated", repeated), zap.String("answer", answer), zap.Uint64("fencing", t.Fencing), zap.Error(err))
	}
	if !failed {
		c.failures = 0
		return
	}
	c.failures++
	c.resumeAt = now.Add(min(minBackoff<<min(c.failures-1, 10), maxBackoff))
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
