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

// Peer calls other entry VMs. *peer.Client implements it.
type Peer interface {
	Claim(ctx context.Context, address string, r *peerv1.ClaimRequest) (*peerv1.ClaimResponse, error)
	IssuedKey(ctx context.Context, address string, r *peerv1.IssuedKeyRequest) (*peerv1.IssuedKeyResponse, error)
}

// Options configure a Service.
type Options struct {
	Store   store.Store
	Members membership.List
	Peer    Peer // nil: this VM handles every key itself
	// Boot is the incarnation at the start of the process; 0: that of Members.Self().
	Boot   uint64
	Now    func() time.Time // nil: time.Now; must have a monotonic reading
	Log    *zap.Logger
	Window time.Duration // between the writes of a shard; 0: DefaultWindow

	Retention         time.Duration // of caller keys; 0: DefaultRetention
	IssuedKeyLifetime time.Duration // of an unused issued key; 0: DefaultIssuedKeyLifetime
	MaxIssued         int           // 0: DefaultMaxIssued
	MaxIssuedBytes    int           // 0: DefaultIssuedBytes
}

// Defaults and limits of caller keys.
const (
	DefaultWindow    = 20 * time.Millisecond
	DefaultRetention = 24 * time.Hour
	// shardCount must be the same on all VMs and must never change, since a key must always map to the same object. With
	// one write per window, 8 shards make at most 400 writes a second.
	shardCount        = 8
	maxQueuedOps      = 4096 // ops queued for one shard
	maxKeyBytes       = 256
	maxSettleTries    = 250 // tries to record an outcome; with the back-off about two hours, enough for a long outage
	settleQueueLength = 8192
	settleWorkers     = 16
	retryAfter        = 2 * time.Second
	// A repeat of a running request polls for its outcome for about 0.4 s. Outcomes are recorded in the background, so a
	// caller that repeats immediately would otherwise be refused although the answer is about to be recorded.
	minRepeatWait = 25 * time.Millisecond
	maxRepeatWait = 200 * time.Millisecond
	// ownerTimeout leaves a request with a deadline of 2 s enough time to write to the store without the shard's owner.
	ownerTimeout = 700 * time.Millisecond
)

// Service implements Guard for one entry VM.
type Service struct {
	o           Options
	issuer      *issuer
	shards      [shardCount]*batcher
	settlements chan settlement

	mu     sync.Mutex
	active map[uint64]bool // marks of this VM's attempts whose outcome is not yet recorded

	lostOutcomes *metrics.Counter
}

var _ Guard = (*Service)(nil)

// New returns a Service. It records outcomes only while Run is running.
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
	o.IssuedKeyLifetime = defaultTo(o.IssuedKeyLifetime, DefaultIssuedKeyLifetime)
	o.MaxIssued = defaultTo(o.MaxIssued, DefaultMaxIssued)
	o.MaxIssuedBytes = defaultTo(o.MaxIssuedBytes, DefaultIssuedBytes)
	s := &Service{o: o, issuer: newIssuer(o, o.Members.Self().Name), settlements: make(chan settlement, settleQueueLength),
		active: map[uint64]bool{}, lostOutcomes: metrics.GetOrCreateCounter("bergamot_claims_lost_outcomes_total")}
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
	for wait := minRepeatWait; ; wait *= 2 {
		g, a, err := s.beginOnce(ctx, caller, key, fingerprint)
		if result.CodeOf(err) != result.KeyInProgress || wait > maxRepeatWait {
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

// beginOnce makes one attempt, with a new mark.
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
			s.enqueue(settlement{op: op{kind: opRelease, key: o.key, mark: mark}}) // the claim may have been stored
		}
		return nil, a, err
	}
	return &grant{s: s, settlement: settlement{op: o}}, nil, nil
}

// Issue implements Guard.
func (s *Service) Issue(caller string) (string, error) { return s.issuer.issue(caller) }

// InvalidateIssuedKeys invalidates the unused keys of this incarnation. Membership calls it when this VM was declared
// gone.
func (s *Service) InvalidateIssuedKeys() { s.issuer.dropUnused() }

// claim sends an op to the owner of the shard, and applies it on this VM when the owner does not answer. Both ways use the
// same mark and so count as one attempt: whichever write comes second finds the mark of the first.
func (s *Service) claim(ctx context.Context, o op) (peerv1.KeyVerdict, *Answer, error) {
	if m, remote := s.owner(o.key); remote {
		inner, cancel := context.WithTimeout(ctx, ownerTimeout)
		res, err := s.o.Peer.Claim(inner, m.PeerAddress, claimRequest(o))
		cancel()
		if err == nil {
			return decodeVerdict(res.GetVerdict(), res.GetAnswer(), res.GetResultCode())
		}
		s.o.Log.Debug("shard owner does not answer", zap.String("owner", m.Name), zap.Error(err))
	}
	return s.applyToShard(ctx, o)
}

// applyToShard runs an op on its shard. If the shard shows a claim of this VM as running but the attempt is no longer
// active, its outcome was recorded after the shard was read; a second try returns that outcome.
func (s *Service) applyToShard(ctx context.Context, o op) (peerv1.KeyVerdict, *Answer, error) {
	shard := s.shards[shardOf(o.key)]
	res := shard.submit(ctx, o)
	verdict, a, err := s.verdict(o, res)
	if result.CodeOf(err) == result.KeyOutcomeUnknown && res.entry.State == claimed && res.entry.Holder == s.o.Members.Self().Name {
		return s.verdict(o, shard.submit(ctx, o))
	}
	return verdict, a, err
}

// owner returns the VM that writes the shard of a key, chosen by rendezvous hashing over the live members. remote is false
// when that is this VM. Two VMs may both consider themselves the owner; the version of the object then decides.
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

// verdict translates the result of an op into a verdict, a recorded answer or an error for the caller.
func (s *Service) verdict(o op, res opResult) (peerv1.KeyVerdict, *Answer, error) {
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
	case e.State == claimed && s.mayBeRunning(e):
		return refused(inProgress())
	}
	return refused(result.New(result.KeyOutcomeUnknown, "the request may have run; its outcome is not known"))
}

func refused(err *result.Error) (peerv1.KeyVerdict, *Answer, error) {
	return peerv1.KeyVerdict_KEY_VERDICT_REFUSED, nil, err
}

// mayBeRunning reports whether the holder of a claim may still be running the request. The result only selects which of
// two refusals is returned.
func (s *Service) mayBeRunning(e *entry) bool {
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

// decodeVerdict decodes the answer of another VM.
func decodeVerdict(v peerv1.KeyVerdict, a *peerv1.RecordedAnswer, code int32) (peerv1.KeyVerdict, *Answer, error) {
	if v != peerv1.KeyVerdict_KEY_VERDICT_REFUSED {
		return v, decodeAnswer(a), nil
	}
	err := result.New(result.Code(code), "%s", result.Code(code).Info().Text)
	if result.Code(code).Info().Retry {
		err = err.WithRetryAfter(retryAfter)
	}
	return v, nil, err
}

// Claim handles a claim request of another VM. It is registered in peer.Handlers.
func (s *Service) Claim(ctx context.Context, r *peerv1.ClaimRequest) (*peerv1.ClaimResponse, error) {
	kinds := map[peerv1.KeyOperation]opKind{peerv1.KeyOperation_KEY_OPERATION_BEGIN: opBegin,
		peerv1.KeyOperation_KEY_OPERATION_FINISH: opFinish, peerv1.KeyOperation_KEY_OPERATION_RELEASE: opRelease}
	kind, ok := kinds[r.GetOperation()]
	if !ok || len(r.GetKey()) == 0 || r.GetMark() == 0 {
		return nil, trace.BadParameter("malformed claim")
	}
	o := op{kind: kind, key: string(r.GetKey()), fingerprint: r.GetFingerprint(), mark: r.GetMark(), holder: r.GetHolder(),
		boot: r.GetHolderBoot(), answer: decodeAnswer(r.GetAnswer())}
	v, a, err := s.applyToShard(ctx, o)
	res := &peerv1.ClaimResponse{Verdict: v, Answer: encodeAnswer(a)}
	if err != nil {
		res.ResultCode = int32(result.CodeOf(err))
	}
	return res, nil
}
