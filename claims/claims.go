package claims

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/addresses"
	"bergamotcroft.example/bergamot/membership"
	"bergamotcroft.example/bergamot/peer/peerv1"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/store"
)

// Peer reaches other entry VMs. *peer.Client is one.
type Peer interface {
	Claim(ctx context.Context, address string, r *peerv1.ClaimRequest) (*peerv1.ClaimResponse, error)
	IssuedKey(ctx context.Context, address string, r *peerv1.IssuedKeyRequest) (*peerv1.IssuedKeyResponse, error)
}

// Options configure a Service.
type Options struct {
	Store   store.Store
	Members membership.List
	Peer    Peer // nil: every key is handled here
	// Boot is the incarnation at the start of the process; 0: that of the member list.
	Boot   uint64
	Now    func() time.Time // nil: time.Now; must have a monotonic reading
	Log    *zap.Logger
	Window time.Duration // between the writes of a shard; 0: DefaultWindow

	Retention      time.Duration // of caller keys; 0: DefaultRetention
	IssuedLife     time.Duration // of an unused issued key; 0: DefaultIssuedLife
	MaxIssued      int           // 0: DefaultMaxIssued
	MaxIssuedBytes int           // 0: DefaultIssuedBytes
}

// Defaults and bounds of caller keys.
const (
	DefaultWindow    = 20 * time.Millisecond
	DefaultRetention = 24 * time.Hour
	// shardCount is the same on all VMs and never changes, since a key must always meet the same object. With one write in
	// each window, 8 shards write at most 400 times a second.
	shardCount   = 8
	maxWaiting   = 4096 // ops of one shard
	maxKeyBytes  = 256
	settleTries  = 250 // of recording an outcome; with the back-off this goes on for about two hours, a long outage
	settleQueue  = 8192
	settleWorker = 16
	retryAfter   = 2 * time.Second
	// A repeat of a running request waits for its outcome for about 0.4 s. Outcomes are recorded in the background, so a caller
	// that repeats at once would otherwise be refused although its answer is about to be there.
	firstWait = 25 * time.Millisecond
	lastWait  = 200 * time.Millisecond
	// ownerTimeout leaves a booking with a deadline of 2 s the time to go to the store itself.
	ownerTimeout = 700 * time.Millisecond
)

// Service is the Guard of one entry VM.
type Service struct {
	o      Options
	issuer *issuer
	shards [shardCount]*batcher
	settle chan settlement

	mu     sync.Mutex
	active map[uint64]bool // marks of grants held by this VM

	lost *metrics.Counter
}

var _ Guard = (*Service)(nil)

// New returns a guard. Outcomes are recorded while Run runs.
func New(o Options) (*Service, error) {
	if o.Store == nil || o.Members == nil {
		return nil, trace.BadParameter("claims: the store and the member list are required")
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Boot == 0 {
		o.Boot = o.Members.Self().Boot
	}
	o.Window = defaultTo(o.Window, DefaultWindow)
	o.Retention = defaultTo(o.Retention, DefaultRetention)
	o.IssuedLife = defaultTo(o.IssuedLife, DefaultIssuedLife)
	o.MaxIssued = defaultTo(o.MaxIssued, DefaultMaxIssued)
	o.MaxIssuedBytes = defaultTo(o.MaxIssuedBytes, DefaultIssuedBytes)
	s := &Service{o: o, issuer: newIssuer(o, o.Members.Self().Name), settle: make(chan settlement, settleQueue),
		active: map[uint64]bool{}, lost: metrics.GetOrCreateCounter("bergamot_claims_lost_outcomes_total")}
	for i := range s.shards {
		s.shards[i] = newBatcher(o, shardName(i))
	}
	return s, nil
}

func defaultTo[T int | time.Duration](v, d T) T {
	if v <= 0 {
		return d
	}
	return v
}

func shardName(i int) string { return "s" + strconv.Itoa(i) }

func shardOf(key string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(key))
	return int(h.Sum32() % shardCount)
}

// Begin implements Guard.
func (s *Service) Begin(ctx context.Context, caller, key string, fingerprint uint64) (Grant, *Answer, error) {
	if key == "" || len(key) > maxKeyBytes {
		return nil, nil, result.New(result.KeyMalformed, "an idempotency key has 1 to %d bytes", maxKeyBytes)
	}
	for wait := firstWait; ; wait *= 2 {
		g, a, err := s.beginOnce(ctx, caller, key, fingerprint)
		if result.CodeOf(err) != result.KeyInProgress || wait > lastWait {
			return g, a, err
		}
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return g, a, err
		}
	}
}

// beginOnce is one attempt with its own mark.
func (s *Service) beginOnce(ctx context.Context, caller, key string, fingerprint uint64) (Grant, *Answer, error) {
	mark := rand.Uint64() | 1 // 0 means none
	if strings.HasPrefix(key, issuedPrefix) {
		return s.beginIssued(ctx, caller, key, fingerprint, mark)
	}
	o := op{kind: opBegin, key: keyHash(caller, key), fingerprint: fingerprint, mark: mark,
		holder: s.o.Members.Self().Name, boot: s.o.Boot}
	s.setActive(mark, true)
	verdict, a, err := s.claim(ctx, o)
	if verdict != peerv1.KeyVerdict_KEY_VERDICT_GRANTED {
		s.setActive(mark, false)
		if result.CodeOf(err) == result.ClaimUnavailable {
			s.later(settlement{op: op{kind: opRelease, key: o.key, mark: mark}}) // the claim may be in the store
		}
		return nil, a, err
	}
	return &grant{s: s, settlement: settlement{op: o}}, nil, nil
}

// Issue implements Guard.
func (s *Service) Issue(caller string) (string, error) { return s.issuer.issue(caller) }

// EndIssued makes the unused keys of this incarnation unusable. Membership calls it when this VM was declared gone.
func (s *Service) EndIssued() { s.issuer.end() }

// claim asks the owner of the shard, and goes to the store itself when the owner does not answer. The mark makes the two
// ways one attempt: whichever write comes first, the other finds the mark.
func (s *Service) claim(ctx context.Context, o op) (peerv1.KeyVerdict, *Answer, error) {
	if m, remote := s.owner(o.key); remote {
		inner, cancel := context.WithTimeout(ctx, ownerTimeout)
		res, err := s.o.Peer.Claim(inner, m.PeerAddress, claimRequest(o))
		cancel()
		if err == nil {
			return verdictOf(res.GetVerdict(), res.GetAnswer(), res.GetResultCode())
		}
		s.o.Log.Debug("shard owner does not answer", zap.String("owner", m.Name), zap.Error(err))
	}
	return s.apply(ctx, o)
}

// apply runs an op on its shard. A claim of this VM that the shard shows as running, and that has ended meanwhile, was
// recorded between the two looks; the second try finds its outcome.
func (s *Service) apply(ctx context.Context, o op) (peerv1.KeyVerdict, *Answer, error) {
	shard := s.shards[shardOf(o.key)]
	res := shard.submit(ctx, o)
	verdict, a, err := s.verdict(o, res)
	if result.CodeOf(err) == result.KeyOutcomeUnknown && res.entry.State == claimed && res.entry.Holder == s.o.Members.Self().Name {
		return s.verdict(o, shard.submit(ctx, o))
	}
	return verdict, a, err
}

// owner returns the VM that writes the shard of a key, by rendezvous hash over the live members. Two VMs may both
// believe to be it; the object's version decides then.
func (s *Service) owner(key string) (m membership.Member, remote bool) {
	if s.o.Peer == nil {
		return m, false
	}
	var live []membership.Member
	for _, m := range s.o.Members.Members() {
		if m.State == membership.Alive {
			live = append(live, m)
		}
	}
	names := addresses.HomeGroup(live, "claims/"+shardName(shardOf(key)), 1)
	if len(names) == 0 || names[0] == s.o.Members.Self().Name {
		return m, false
	}
	for _, m := range live {
		if m.Name == names[0] {
			return m, true
		}
	}
	return m, false
}

// verdict turns the outcome of a batch into an answer for the caller.
func (s *Service) verdict(o op, res outcome) (peerv1.KeyVerdict, *Answer, error) {
	switch {
	case res.err != nil:
		return refused(result.New(result.ClaimUnavailable, "the claim could not be recorded; a key from POST /v1/keys works meanwhile").
			WithRetryAfter(retryAfter).WithCause(res.err))
	case res.granted:
		return peerv1.KeyVerdict_KEY_VERDICT_GRANTED, nil, nil
	case res.entry == nil:
		return peerv1.KeyVerdict_KEY_VERDICT_RECORDED, nil, nil
	}
	e := res.entry
	switch {
	case e.Fingerprint != o.fingerprint:
		return refused(result.New(result.KeyMismatch, "the key was used with a different request"))
	case e.State == answered:
		return peerv1.KeyVerdict_KEY_VERDICT_ANSWERED, &Answer{e.Answer.Status, e.Answer.Header, e.Answer.Body}, nil
	case e.State == tooLarge:
		return refused(result.New(result.KeyOutcomeUnknown, "the request ran; its answer was too large to keep").WithExecution(result.Ran))
	case e.State == claimed && s.mayRun(e):
		return refused(inProgress())
	}
	return refused(result.New(result.KeyOutcomeUnknown, "the request may have run; its outcome is not known"))
}

func refused(err *result.Error) (peerv1.KeyVerdict, *Answer, error) {
	return peerv1.KeyVerdict_KEY_VERDICT_REFUSED, nil, err
}

// mayRun says whether the holder of a claim may still be running it. It only chooses between two refusals.
func (s *Service) mayRun(e *entry) bool {
	self := s.o.Members.Self()
	if e.Holder == self.Name {
		s.mu.Lock()
		defer s.mu.Unlock()
		return e.Boot == s.o.Boot && s.active[e.Mark]
	}
	for _, m := range s.o.Members.Members() {
		if m.Name == e.Holder {
			return m.Boot <= e.Boot
		}
	}
	return false
}

func (s *Service) setActive(mark uint64, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on {
		s.active[mark] = true
	} else {
		delete(s.active, mark)
	}
}

func claimRequest(o op) *peerv1.ClaimRequest {
	kinds := map[opKind]peerv1.KeyOperation{opBegin: peerv1.KeyOperation_KEY_OPERATION_BEGIN,
		opFinish: peerv1.KeyOperation_KEY_OPERATION_FINISH, opRelease: peerv1.KeyOperation_KEY_OPERATION_RELEASE}
	return &peerv1.ClaimRequest{Operation: kinds[o.kind], Key: []byte(o.key), Fingerprint: o.fingerprint, Holder: o.holder,
		HolderBoot: o.boot, Mark: o.mark, Answer: encodeAnswer(o.answer)}
}

func encodeAnswer(a *Answer) *peerv1.RecordedAnswer {
	if a == nil {
		return nil
	}
	return &peerv1.RecordedAnswer{Status: int32(a.Status), Header: a.Header, Body: a.Body}
}

func decodeAnswer(a *peerv1.RecordedAnswer) *Answer {
	if a == nil {
		return nil
	}
	return &Answer{Status: int(a.GetStatus()), Header: a.GetHeader(), Body: a.GetBody()}
}

// verdictOf reads another VM's answer.
func verdictOf(v peerv1.KeyVerdict, a *peerv1.RecordedAnswer, code int32) (peerv1.KeyVerdict, *Answer, error) {
	if v != peerv1.KeyVerdict_KEY_VERDICT_REFUSED {
		return v, decodeAnswer(a), nil
	}
	err := result.New(result.Code(code), "%s", result.Code(code).Info().Text)
	if result.Code(code).Info().Retry {
		err = err.WithRetryAfter(retryAfter)
	}
	return v, nil, err
}

// Claim answers another VM. It belongs into peer.Handlers.
func (s *Service) Claim(ctx context.Context, r *peerv1.ClaimRequest) (*peerv1.ClaimResponse, error) {
	kinds := map[peerv1.KeyOperation]opKind{peerv1.KeyOperation_KEY_OPERATION_BEGIN: opBegin,
		peerv1.KeyOperation_KEY_OPERATION_FINISH: opFinish, peerv1.KeyOperation_KEY_OPERATION_RELEASE: opRelease}
	kind, ok := kinds[r.GetOperation()]
	if !ok || len(r.GetKey()) == 0 || r.GetMark() == 0 {
		return nil, trace.BadParameter("malformed claim")
	}
	o := op{kind: kind, key: string(r.GetKey()), fingerprint: r.GetFingerprint(), mark: r.GetMark(), holder: r.GetHolder(),
		boot: r.GetHolderBoot(), answer: decodeAnswer(r.GetAnswer())}
	v, a, err := s.apply(ctx, o)
	res := &peerv1.ClaimResponse{Verdict: v, Answer: encodeAnswer(a)}
	if err != nil {
		res.ResultCode = int32(result.CodeOf(err))
	}
	return res, nil
}
