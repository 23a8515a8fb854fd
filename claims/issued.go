package claims

import (
	"container/list"
	"crypto/rand"
	"encoding/base64"
	"strconv"
	"strings"
	"sync"
	"time"

	"bergamotcroft.example/bergamot/result"
)

// issuedPrefix is the prefix of every issued key. Caller keys must not have it.
const issuedPrefix = "ik1."

// Limits on the state that an entry VM holds of the keys that it has issued.
const (
	DefaultIssuedKeyLifetime = 10 * time.Minute // lifetime of an unused key
	DefaultMaxIssued         = 100_000          // keys; about 30 MB without answers
	DefaultIssuedBytes       = 32 << 20         // total size of the recorded answers
	// runTimeout is the time after which the outcome of a running request counts as unknown.
	runTimeout = 15 * time.Minute
)

type issuedState int

const (
	issuedUnused issuedState = iota
	issuedRunning
	issuedDone
)

type issuedKey struct {
	token       string
	caller      string
	fingerprint uint64
	mark        uint64
	state       issuedState
	answer      *Answer
	since       time.Time
	size        int
	element     *list.Element // in issuer.unused or issuer.done
}

// issuer holds the state of the keys that this incarnation has issued. A key without state is never granted: an earlier
// process issued it, or its state was evicted.
type issuer struct {
	name     string
	boot     uint64
	now      func() time.Time
	lifetime time.Duration
	maxKeys  int
	maxBytes int

	mu     sync.Mutex
	keys   map[string]*issuedKey // by token
	unused *list.List            // oldest first
	done   *list.List            // oldest first
	bytes  int                   // size of the recorded answers
}

func newIssuer(o Options, name string) *issuer {
	return &issuer{name: name, boot: o.Boot, now: o.Now, lifetime: o.IssuedKeyLifetime, maxKeys: o.MaxIssued, maxBytes: o.MaxIssuedBytes,
		keys: map[string]*issuedKey{}, unused: list.New(), done: list.New()}
}

// issue returns a new key with a random token.
func (s *issuer) issue(caller string) (string, error) {
	var b [16]byte
	if _, err := rand.Read(b[:]); err != nil {
		return "", result.New(result.Internal, "no randomness for a key").WithCause(err)
	}
	token := base64.RawURLEncoding.EncodeToString(b[:])
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for len(s.keys) >= s.maxKeys {
		if s.done.Len() == 0 {
			return "", result.New(result.Overloaded, "too many issued keys are open").WithExecution(result.NotRun).WithRetryAfter(time.Second)
		}
		s.evict(s.done.Front().Value.(*issuedKey))
	}
	k := &issuedKey{token: token, caller: caller, since: s.now()}
	k.element = s.unused.PushBack(k)
	s.keys[token] = k
	return issuedPrefix + s.name + "." + strconv.FormatUint(s.boot, 36) + "." + token, nil
}

// expire evicts unused keys past their lifetime.
func (s *issuer) expire() {
	now := s.now()
	for e := s.unused.Front(); e != nil; e = s.unused.Front() {
		k := e.Value.(*issuedKey)
		if now.Sub(k.since) < s.lifetime {
			return
		}
		s.evict(k)
	}
}

func (s *issuer) evict(k *issuedKey) {
	delete(s.keys, k.token)
	switch k.state {
	case issuedUnused:
		s.unused.Remove(k.element)
	case issuedDone:
		s.done.Remove(k.element)
		s.bytes -= k.size
	}
}

// dropUnused evicts the unused keys. Other VMs may already have refused the keys of this incarnation, and no such key may
// run afterwards.
func (s *issuer) dropUnused() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for e := s.unused.Front(); e != nil; e = s.unused.Front() {
		s.evict(e.Value.(*issuedKey))
	}
}

// begin grants a key once. A retry of the granted attempt, identified by its mark, gets the grant again, since the first
// answer may have been lost.
func (s *issuer) begin(token, caller string, fingerprint, mark uint64) (granted bool, a *Answer, err *result.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	k := s.keys[token]
	switch {
	case k == nil:
		return false, nil, result.New(result.IssuedKeyExpired, "the key has expired or was not issued here")
	case k.caller != caller:
		return false, nil, result.New(result.KeyMismatch, "the key was issued to another caller")
	case k.state == issuedUnused:
		s.unused.Remove(k.element)
		k.state, k.fingerprint, k.mark, k.since = issuedRunning, fingerprint, mark, s.now()
		return true, nil, nil
	case k.fingerprint != fingerprint:
		return false, nil, result.New(result.KeyMismatch, "the key was used with a different request")
	case k.state == issuedRunning && k.mark == mark:
		return true, nil, nil
	case k.state == issuedRunning && s.now().Sub(k.since) < runTimeout:
		return false, nil, inProgress()
	case k.answer == nil:
		return false, nil, result.New(result.KeyOutcomeUnknown, "the request may have run; its outcome is not known")
	}
	return false, k.answer, nil
}

// finish records the outcome of an attempt. A nil answer means that the outcome is unknown.
func (s *issuer) finish(token string, mark uint64, a *Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.keys[token]
	if k == nil || k.state != issuedRunning || k.mark != mark {
		return
	}
	k.state, k.answer, k.since = issuedDone, a, s.now()
	k.size = 0
	if a != nil {
		k.size = len(a.Body)
		for n, v := range a.Header {
			k.size += len(n) + len(v)
		}
	}
	k.element = s.done.PushBack(k)
	s.bytes += k.size
	for s.bytes > s.maxBytes && s.done.Len() > 0 {
		s.evict(s.done.Front().Value.(*issuedKey))
	}
}

// release marks the key of an attempt as unused again.
func (s *issuer) release(token string, mark uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.keys[token]
	if k == nil || k.state != issuedRunning || k.mark != mark {
		return
	}
	k.state, k.since = issuedUnused, s.now()
	k.element = s.unused.PushBack(k)
}

// parseIssued splits an issued key. The VM name may contain dots; boot and token do not.
func parseIssued(key string) (name string, boot uint64, token string, err error) {
	bad := result.New(result.KeyMalformed, "the issued key is malformed")
	rest, ok := strings.CutPrefix(key, issuedPrefix)
	if !ok {
		return "", 0, "", bad
	}
	i := strings.LastIndexByte(rest, '.')
	if i < 0 {
		return "", 0, "", bad
	}
	rest, token = rest[:i], rest[i+1:]
	if i = strings.LastIndexByte(rest, '.'); i <= 0 {
		return "", 0, "", bad
	}
	if boot, err = strconv.ParseUint(rest[i+1:], 36, 64); err != nil || len(token) != 22 {
		return "", 0, "", bad
	}
	return rest[:i], boot, token, nil
}

func inProgress() *result.Error {
	return result.New(result.KeyInProgress, "the request with this key is running").WithRetryAfter(time.Second)
}
