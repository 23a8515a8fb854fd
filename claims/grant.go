package claims

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"bergamotcroft.example/bergamot/membership"
	"bergamotcroft.example/bergamot/peer/peerv1"
	"bergamotcroft.example/bergamot/result"
)

// settlement is the outcome of a grant that is still to be recorded.
type settlement struct {
	op op // for an issued key only kind, mark and answer are set

	// Set for issued keys only.
	caller, token string
	member        string // issuing VM
	key           string // complete key, which contains the token

	tries int // failed tries to record the outcome
}

// grant implements Grant.
type grant struct {
	s *Service
	settlement
	ended atomic.Bool
}

// Finish implements Grant.
func (g *grant) Finish(a *Answer) { g.end(opFinish, a) }

// Release implements Grant.
func (g *grant) Release() { g.end(opRelease, nil) }

func (g *grant) end(kind opKind, a *Answer) {
	if g.ended.Swap(true) {
		return
	}
	g.op.kind, g.op.answer = kind, a
	if g.token != "" && g.member == g.s.issuer.name {
		g.s.settleIssued(g.settlement)
		return
	}
	g.s.enqueue(g.settlement)
}

func (s *Service) settleIssued(t settlement) {
	if t.op.kind == opFinish {
		s.issuer.finish(t.token, t.op.mark, t.op.answer)
	} else {
		s.issuer.release(t.token, t.op.mark)
	}
}

// enqueue queues an outcome to be recorded in the background. When the queue is full, the outcome is lost and repeats of
// the request are refused with an unknown outcome.
func (s *Service) enqueue(t settlement) {
	select {
	case s.settlements <- t:
	default:
		s.lostOutcomes.Inc()
		s.setActive(t.op.mark, false)
	}
}

// Run records outcomes until ctx ends, and then drains the queue for a bounded time.
func (s *Service) Run(ctx context.Context) error {
	uncancelled := context.WithoutCancel(ctx) // shutdown does not interrupt a recording in progress
	g := errgroup.Group{}
	for range settleWorkers {
		g.Go(func() error {
			for {
				select {
				case t := <-s.settlements:
					s.record(uncancelled, t)
				case <-ctx.Done():
					s.drain(uncancelled)
					return nil
				}
			}
		})
	}
	return trace.Wrap(g.Wait())
}

func (s *Service) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	for {
		select {
		case t := <-s.settlements:
			s.record(ctx, t)
		default:
			return
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// record tries once to record an outcome, and queues it again after a back-off if that fails. The back-off does not block
// a worker.
func (s *Service) record(ctx context.Context, t settlement) {
	if s.recordOnce(ctx, t) {
		s.setActive(t.op.mark, false)
		return
	}
	t.tries++
	if t.tries >= maxSettleTries {
		s.lostOutcomes.Inc()
		s.setActive(t.op.mark, false)
		return
	}
	time.AfterFunc(min(time.Duration(t.tries)*maxBackOff, 30*time.Second), func() { s.enqueue(t) })
}

func (s *Service) recordOnce(ctx context.Context, t settlement) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if t.token == "" {
		_, _, err := s.claim(ctx, t.op)
		return err == nil
	}
	m, ok := s.issuingMember(t.member)
	if !ok {
		return true // the issuing VM, which holds the key's state, is gone
	}
	operation := peerv1.KeyOperation_KEY_OPERATION_FINISH
	if t.op.kind == opRelease {
		operation = peerv1.KeyOperation_KEY_OPERATION_RELEASE
	}
	_, err := s.o.Peer.IssuedKey(ctx, m.PeerAddress, &peerv1.IssuedKeyRequest{Operation: operation, Key: t.key, Caller: t.caller,
		Mark: t.op.mark, Answer: encodeAnswer(t.op.answer)})
	return err == nil
}

func (s *Service) issuingMember(name string) (membership.Member, bool) {
	if s.o.Peer == nil {
		return membership.Member{}, false
	}
	for _, m := range s.o.Members.Members() {
		if m.Name == name {
			return m, true
		}
	}
	return membership.Member{}, false
}

// maxForwardTries is the number of tries of a forwarded begin. All have the same mark, so the issuing VM treats them as one
// attempt.
const maxForwardTries = 2

// beginIssued begins a request with an issued key, on this VM or by a call to the VM that issued the key.
func (s *Service) beginIssued(ctx context.Context, caller, key string, fingerprint, mark uint64) (Grant, *Answer, error) {
	name, boot, token, err := parseIssued(key)
	if err != nil {
		return nil, nil, err
	}
	g := &grant{s: s, settlement: settlement{op: op{mark: mark}, caller: caller, token: token, member: name, key: key}}
	if name == s.issuer.name {
		granted, a, refusal := s.beginLocal(boot, token, caller, fingerprint, mark)
		if refusal != nil {
			return nil, nil, refusal
		}
		if granted {
			return g, nil, nil
		}
		return nil, a, nil
	}
	m, ok := s.issuingMember(name)
	if !ok || m.Boot > boot {
		return nil, nil, result.New(result.KeyOutcomeUnknown, "the entry VM that issued the key has ended; the request may have run")
	}
	r := &peerv1.IssuedKeyRequest{Operation: peerv1.KeyOperation_KEY_OPERATION_BEGIN, Key: key, Caller: caller, Fingerprint: fingerprint, Mark: mark}
	var callErr error
	for range maxForwardTries {
		var res *peerv1.IssuedKeyResponse
		if res, callErr = s.o.Peer.IssuedKey(ctx, m.PeerAddress, r); callErr == nil {
			v, a, err := decodeVerdict(res.GetVerdict(), res.GetAnswer(), res.GetResultCode())
			if v == peerv1.KeyVerdict_KEY_VERDICT_GRANTED {
				return g, nil, nil
			}
			return nil, a, err
		}
	}
	// The issuing VM may have granted the request although no answer arrived.
	g.Release()
	return nil, nil, result.New(result.IssuedKeyHolderUnreachable, "the entry VM that issued the key does not answer").
		WithRetryAfter(retryAfter).WithCause(callErr)
}

func (s *Service) beginLocal(boot uint64, token, caller string, fingerprint, mark uint64) (bool, *Answer, *result.Error) {
	if boot != s.issuer.boot {
		return false, nil, result.New(result.KeyOutcomeUnknown, "the process that issued the key has ended; the request may have run")
	}
	return s.issuer.begin(token, caller, fingerprint, mark)
}

// IssuedKey handles an issued-key request of another VM. It is registered in peer.Handlers.
func (s *Service) IssuedKey(_ context.Context, r *peerv1.IssuedKeyRequest) (*peerv1.IssuedKeyResponse, error) {
	name, boot, token, err := parseIssued(r.GetKey())
	if err != nil || name != s.issuer.name || r.GetMark() == 0 {
		return nil, trace.BadParameter("the key was not issued here")
	}
	res := &peerv1.IssuedKeyResponse{Verdict: peerv1.KeyVerdict_KEY_VERDICT_RECORDED}
	switch r.GetOperation() {
	case peerv1.KeyOperation_KEY_OPERATION_BEGIN:
		granted, a, refusal := s.beginLocal(boot, token, r.GetCaller(), r.GetFingerprint(), r.GetMark())
		switch {
		case refusal != nil:
			res.Verdict, res.ResultCode = peerv1.KeyVerdict_KEY_VERDICT_REFUSED, int32(refusal.Code)
		case granted:
			res.Verdict = peerv1.KeyVerdict_KEY_VERDICT_GRANTED
		default:
			res.Verdict, res.Answer = peerv1.KeyVerdict_KEY_VERDICT_ANSWERED, encodeAnswer(a)
		}
	case peerv1.KeyOperation_KEY_OPERATION_FINISH, peerv1.KeyOperation_KEY_OPERATION_RELEASE:
		kind := opFinish
		if r.GetOperation() == peerv1.KeyOperation_KEY_OPERATION_RELEASE {
			kind = opRelease
		}
		if boot == s.issuer.boot {
			s.settleIssued(settlement{op: op{kind: kind, mark: r.GetMark(), answer: decodeAnswer(r.GetAnswer())}, token: token})
		}
	}
	return res, nil
}
