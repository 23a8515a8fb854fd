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

// orderEnd is the outcome of an order.
type orderEnd struct {
	state         topo.OrderState
	reason        string
	code          result.Code
	execution     result.Execution
	needsOperator bool // the operator has to inspect the engine
	displaced     bool // the engine accepted another order after this one
	undelivered   bool // the order did not reach the engine
}

func failedEnd(code result.Code, execution result.Execution, reason string) orderEnd {
	return orderEnd{state: topo.OrderFailed, reason: reason, code: code, execution: execution}
}

// engineStatus requests the engine's state.
func (s *Service) engineStatus(ctx context.Context, u topo.Upstream) (topo.EngineStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opt.SendTimeout)
	defer cancel()
	return s.opt.Engine.Current(ctx, u.Address)
}

// waitIdle waits until the engine works on no order, and returns its state. It fails if the engine is not idle within the
// limit.
func (s *Service) waitIdle(ctx context.Context, u topo.Upstream) (topo.EngineStatus, error) {
	deadline := s.opt.Clock.Now().Add(s.opt.Limit)
	for {
		status, err := s.engineStatus(ctx, u)
		if err == nil && status.State != topo.EngineRunning {
			return status, nil
		}
		if _, lost := s.checkLease(u); lost != nil {
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
			return status, canceledError(err)
		}
	}
}

// sendAndFollow sends a recorded order and waits for its end. An error means that the order stays open.
func (s *Service) sendAndFollow(ctx context.Context, u topo.Upstream, o topo.Order, boot uint64) (orderEnd, error) {
	// This is the last check of the lease before the send. The next holder of the lease waits longer than the send may take.
	t, err := s.checkLease(u)
	if err != nil {
		return orderEnd{}, err
	}
	if t.Fencing != o.Fencing {
		return orderEnd{}, result.New(result.LeaseLost, "the lease for %s has changed since the order was recorded", u.Name)
	}
	ordersSent.Inc()
	sending, cancel := context.WithTimeout(ctx, s.opt.SendTimeout)
	status, err := s.opt.Engine.Send(sending, u.Address, o)
	cancel()
	switch code := result.CodeOf(err); {
	case err == nil && status.OrderID == o.ID:
		return s.follow(ctx, u, o, status.Boot, true)
	case code == result.FencingStale, err == nil && status.Fencing > o.Fencing:
		return failedEnd(result.FencingStale, result.NotRun, "the engine has seen a newer fencing number"), nil
	case code == result.OrderRefused, err == nil:
		return failedEnd(result.OrderRefused, result.NotRun, refusalMessage(status, err)), nil
	}
	return s.follow(ctx, u, o, boot, false) // no answer: the engine's status decides
}

func refusalMessage(status topo.EngineStatus, err error) string {
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

// follow polls the engine until the order has ended. taken means that the engine is known to have accepted the order.
func (s *Service) follow(ctx context.Context, u topo.Upstream, o topo.Order, boot uint64, taken bool) (orderEnd, error) {
	start := s.opt.Clock.Now()
	limit := start.Add(time.Duration(o.LimitMS) * time.Millisecond)
	arrived := start.Add(s.opt.SendTimeout) // a send without an answer arrives by then or never
	for {
		status, err := s.engineStatus(ctx, u)
		if err == nil {
			if status.OrderID == o.ID {
				taken, boot = true, status.Boot
			}
			if e, ended := evaluate(status, o, boot, taken, s.opt.Clock.Now().After(arrived)); ended {
				return e, nil
			}
		}
		if s.opt.Clock.Now().After(limit) {
			e := failedEnd(result.OrderTimedOut, result.Unknown, "no end within the limit")
			e.needsOperator = true
			return e, nil
		}
		if _, err := s.opt.Authority.Check(o.Group, 0); err != nil {
			return orderEnd{}, result.New(result.LeaseLost, "order %s is left to the next holder", o.ID).WithExecution(result.Unknown)
		}
		if err := s.opt.Clock.Sleep(ctx, s.opt.Poll); err != nil {
			return orderEnd{}, canceledError(err)
		}
	}
}

// evaluate reports whether the order has ended according to one status of the engine, and its outcome. arrived means that the
// order can no longer be in flight.
func evaluate(status topo.EngineStatus, o topo.Order, boot uint64, taken, arrived bool) (orderEnd, bool) {
	switch {
	case status.OrderID == o.ID && status.State == topo.EngineDone:
		return orderEnd{state: topo.OrderDone}, true
	case status.OrderID == o.ID && status.State == topo.EngineFailed:
		return failedEnd(result.OrderRefused, result.Ran, "the engine failed the order: "+status.Message), true
	case status.OrderID == o.ID:
		return orderEnd{}, false
	case taken && status.Boot != boot:
		e := failedEnd(result.UpstreamFailed, result.Unknown, "the engine restarted during the order")
		e.needsOperator = true
		return e, true
	case taken:
		ordersDisplaced.Inc()
		e := failedEnd(result.OrderOpen, result.Unknown, "displaced by order "+status.OrderID)
		e.displaced = true
		return e, true
	case arrived && status.Boot != boot:
		e := failedEnd(result.UpstreamFailed, result.Unknown, "the engine restarted while the order was sent")
		e.undelivered = true
		return e, true
	case arrived:
		e := failedEnd(result.OrderTimedOut, result.Unknown, "the order did not reach the engine")
		e.undelivered = true
		return e, true
	}
	return orderEnd{}, false
}

// settleOpen settles an open order of a former holder or of an earlier call that was interrupted. If the engine has the order,
// settleOpen waits for its end. Otherwise it resends the order under the present fencing number: from then on an engine that
// checks the number refuses the old order, which may still be in flight.
func (s *Service) settleOpen(ctx context.Context, u topo.Upstream, r *record) error {
	status, has, err := s.hasOrder(ctx, u, r.order.ID)
	if err != nil {
		return err
	}
	if !has {
		// Until the new number has reached the engine, a former holder's order may still arrive, so an undelivered order stays open.
		_, err := s.execute(ctx, u, r, true)
		if r.order.State != topo.OrderOpen {
			return nil // settled, possibly as failed
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
	_ = s.reportEnd(ctx, u, r.order, e)
	return nil
}

// hasOrder reports whether the engine accepted an order. It asks again after the time for which a send may be in flight.
func (s *Service) hasOrder(ctx context.Context, u topo.Upstream, id string) (topo.EngineStatus, bool, error) {
	for _, wait := range []time.Duration{0, s.opt.SendTimeout} {
		if err := s.opt.Clock.Sleep(ctx, wait); err != nil {
			return topo.EngineStatus{}, false, canceledError(err)
		}
		status, err := s.engineStatus(ctx, u)
		if err == nil && status.OrderID == id {
			return status, true, nil
		}
	}
	status, err := s.waitIdle(ctx, u)
	return status, err == nil && status.OrderID == id, err
}

// resendIfReplaced resends the last finished order if the engine has accepted another order since. This happens only with an
// engine that ignores fencing numbers, when a former holder was paused between its last check of the lease and the send.
func (s *Service) resendIfReplaced(ctx context.Context, u topo.Upstream, r *record) error {
	if r.order.State != topo.OrderDone {
		return nil
	}
	status, err := s.engineStatus(ctx, u)
	if err != nil {
		return result.New(result.UpstreamFailed, "engine %s can't be reached", u.Name).WithExecution(result.NotRun).WithCause(err)
	}
	if status.OrderID == "" || status.OrderID == r.order.ID {
		return nil // the engine has restarted since, or has the recorded order
	}
	ordersDisplaced.Inc()
	s.opt.Logger.Warn("engine has an order that is not the recorded one",
		zap.String("upstream", u.Name), zap.String("order", status.OrderID), zap.String("recorded", r.order.ID))
	_, err = s.execute(ctx, u, r, false)
	return err
}

// ProblemStatus is the status object, of kind topo.KindUpstream, of an upstream that the operator has to inspect.
type ProblemStatus struct {
	Upstream string    `json:"upstream"`
	Order    string    `json:"order"`
	Problem  string    `json:"problem"`
	Since    time.Time `json:"since"`
}

// writeProblem writes the status object. It only informs the operator, so a failure is logged and not returned.
func (s *Service) writeProblem(ctx context.Context, u topo.Upstream, o topo.Order, problem string) {
	now, err := s.opt.Store.Get(ctx, topo.KindUpstream, u.Name)
	if err == nil || errors.Is(err, store.ErrNotFound) {
		var value []byte
		value, err = topo.Encode(ProblemStatus{u.Name, o.ID, problem, time.Now().UTC()})
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
