package orders

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"
)

// end is how an order ended.
type end struct {
	state     topo.OrderState
	reason    string
	code      result.Code
	execution result.Execution
	mark      bool // the operator has to look at the engine
	displaced bool // the engine took another order after this one
	lost      bool // the order did not reach the engine
}

func failed(code result.Code, execution result.Execution, reason string) end {
	return end{state: topo.OrderFailed, reason: reason, code: code, execution: execution}
}

// current asks the engine for its state.
func (s *Service) current(ctx context.Context, u topo.Upstream) (topo.EngineStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opt.SendTimeout)
	defer cancel()
	return s.opt.Engine.Current(ctx, u.Address)
}

// idle waits until the engine works on no order, and returns its state. An engine that never becomes idle gets no order.
func (s *Service) idle(ctx context.Context, u topo.Upstream) (topo.EngineStatus, error) {
	deadline := s.opt.Clock.Now().Add(s.opt.Limit)
	for {
		status, err := s.current(ctx, u)
		if err == nil && status.State != topo.EngineRunning {
			return status, nil
		}
		if _, lost := s.check(u); lost != nil {
			return status, lost
		}
		if !s.opt.Clock.Now().Before(deadline) {
			if err != nil {
				return status, result.New(result.UpstreamFailed, "engine %s can't be reached", u.Name).
					WithExecution(result.NotRun).WithCause(err)
			}
			return status, result.New(result.OrderOpen, "engine %s still works on order %s", u.Name, status.OrderID)
		}
		if err := s.opt.Clock.Sleep(ctx, s.opt.Poll); err != nil {
			return status, canceled(err)
		}
	}
}

// send delivers a recorded order and follows it to its end. An error means that the order stays open.
func (s *Service) send(ctx context.Context, u topo.Upstream, o topo.Order, boot uint64) (end, error) {
	// The last look at the lease before the order leaves. Whoever takes the lease next waits longer than the send may take.
	t, err := s.check(u)
	if err != nil {
		return end{}, err
	}
	if t.Fencing != o.Fencing {
		return end{}, result.New(result.LeaseLost, "the lease for %s has changed since the order was recorded", u.Name)
	}
	ordersSent.Inc()
	sending, cancel := context.WithTimeout(ctx, s.opt.SendTimeout)
	status, err := s.opt.Engine.Send(sending, u.Address, o)
	cancel()
	switch code := result.CodeOf(err); {
	case err == nil && status.OrderID == o.ID:
		return s.follow(ctx, u, o, status.Boot, true)
	case code == result.FencingStale, err == nil && status.Fencing > o.Fencing:
		return failed(result.FencingStale, result.NotRun, "the engine has seen a newer fencing number"), nil
	case code == result.OrderRefused, err == nil:
		return failed(result.OrderRefused, result.NotRun, refusal(status, err)), nil
	}
	return s.follow(ctx, u, o, boot, false) // no answer: the engine tells
}

func refusal(status topo.EngineStatus, err error) string {
	var coded *result.Error
	switch {
	case errors.As(err, &coded) && coded.Message != "":
		return coded.Message
	case status.Message != "":
		return status.Message
	default:
		return "the engine refused the order"
	}
}

// follow asks the engine until the order has ended. taken says that the engine is known to have taken it.
func (s *Service) follow(ctx context.Context, u topo.Upstream, o topo.Order, boot uint64, taken bool) (end, error) {
	start := s.opt.Clock.Now()
	limit := start.Add(time.Duration(o.LimitMS) * time.Millisecond)
	arrived := start.Add(s.opt.SendTimeout) // a send without an answer has arrived by then or never will
	for {
		status, err := s.current(ctx, u)
		if err == nil {
			if status.OrderID == o.ID {
				taken, boot = true, status.Boot
			}
			if e, ended := judge(status, o, boot, taken, s.opt.Clock.Now().After(arrived)); ended {
				return e, nil
			}
		}
		if s.opt.Clock.Now().After(limit) {
			e := failed(result.OrderTimedOut, result.Unknown, "no end within the limit")
			e.mark = true
			return e, nil
		}
		if _, err := s.opt.Authority.Check(o.Group, 0); err != nil {
			return end{}, result.New(result.LeaseLost, "order %s is left to the next holder", o.ID).WithExecution(result.Unknown)
		}
		if err := s.opt.Clock.Sleep(ctx, s.opt.Poll); err != nil {
			return end{}, canceled(err)
		}
	}
}

// judge decides from one answer of the engine whether the order has ended.
func judge(status topo.EngineStatus, o topo.Order, boot uint64, taken, arrived bool) (end, bool) {
	switch {
	case status.OrderID == o.ID && status.State == topo.EngineDone:
		return end{state: topo.OrderDone}, true
	case status.OrderID == o.ID && status.State == topo.EngineFailed:
		return failed(result.OrderRefused, result.Ran, "the engine failed the order: "+status.Message), true
	case status.OrderID == o.ID:
		return end{}, false
	case taken && status.Boot != boot:
		e := failed(result.UpstreamFailed, result.Unknown, "the engine restarted during the order")
		e.mark = true
		return e, true
	case taken:
		ordersDisplaced.Inc()
		e := failed(result.OrderOpen, result.Unknown, "displaced by order "+status.OrderID)
		e.displaced = true
		return e, true
	case arrived && status.Boot != boot:
		e := failed(result.UpstreamFailed, result.Unknown, "the engine restarted while the order was sent")
		e.lost = true
		return e, true
	case arrived:
		e := failed(result.OrderTimedOut, result.Unknown, "the order did not reach the engine")
		e.lost = true
		return e, true
	}
	return end{}, false
}

// settleOpen ends an open order, of a predecessor or of an earlier call that was cut short. An order that the engine has is
// followed to its end. One that it doesn't have is sent again under the present fencing number: from then on an engine that
// checks the number refuses the old one, wherever it still is.
func (s *Service) settleOpen(ctx context.Context, u topo.Upstream, r *record) error {
	status, has, err := s.has(ctx, u, r.order.ID)
	if err != nil {
		return err
	}
	if !has {
		// Until the new number has reached the engine, a predecessor's order may still arrive, so a lost one stays open.
		_, err := s.carry(ctx, u, r, true)
		if r.order.State != topo.OrderOpen {
			return nil // settled, though perhaps as failed
		}
		return err
	}
	o := r.order
	o.Group = s.opt.Authority.GroupOf(u.Name)
	e, err := s.follow(ctx, u, o, status.Boot, true)
	if err != nil {
		return err
	}
	r.order.State, r.order.Result = e.state, e.reason
	if err := s.write(ctx, r); err != nil {
		return err
	}
	_ = s.report(ctx, u, r.order, e)
	return nil
}

// has reports whether the engine took an order. It asks again after the time that a send may be under way.
func (s *Service) has(ctx context.Context, u topo.Upstream, id string) (topo.EngineStatus, bool, error) {
	for _, wait := range []time.Duration{0, s.opt.SendTimeout} {
		if err := s.opt.Clock.Sleep(ctx, wait); err != nil {
			return topo.EngineStatus{}, false, canceled(err)
		}
		status, err := s.current(ctx, u)
		if err == nil && status.OrderID == id {
			return status, true, nil
		}
	}
	status, err := s.idle(ctx, u)
	return status, err == nil && status.OrderID == id, err
}

// reassert sends the last finished order again when the engine has taken another one since. This happens only with an engine
// that ignores fencing numbers, when a former holder was paused between its last look at the lease and the send.
func (s *Service) reassert(ctx context.Context, u topo.Upstream, r *record) error {
	if r.order.State != topo.OrderDone {
		return nil
	}
	status, err := s.current(ctx, u)
	if err != nil {
		return result.New(result.UpstreamFailed, "engine %s can't be reached", u.Name).WithExecution(result.NotRun).WithCause(err)
	}
	if status.OrderID == "" || status.OrderID == r.order.ID {
		return nil // restarted since, or as recorded
	}
	ordersDisplaced.Inc()
	s.opt.Logger.Warn("engine has an order that is not the recorded one",
		zap.String("upstream", u.Name), zap.String("order", status.OrderID), zap.String("recorded", r.order.ID))
	_, err = s.carry(ctx, u, r, false)
	return err
}

// Mark is the status object of an upstream that the operator has to look at, of kind topo.KindUpstream.
type Mark struct {
	Upstream string    `json:"upstream"`
	Order    string    `json:"order"`
	Problem  string    `json:"problem"`
	Since    time.Time `json:"since"`
}

// mark writes the status object. It is a hint to the operator, so a failure is only logged.
func (s *Service) mark(ctx context.Context, u topo.Upstream, o topo.Order, problem string) {
	now, err := s.opt.Store.Get(ctx, topo.KindUpstream, u.Name)
	if err == nil || errors.Is(err, store.ErrNotFound) {
		var value []byte
		value, err = topo.Encode(Mark{u.Name, o.ID, problem, time.Now().UTC()})
		if err == nil {
			_, err = s.opt.Store.Put(ctx, store.Object{
				Kind: topo.KindUpstream, Name: u.Name, Version: now.Version, Value: value,
			})
		}
	}
	if err != nil {
		s.opt.Logger.Warn("upstream not marked", zap.String("upstream", u.Name), zap.Error(err))
	}
}
