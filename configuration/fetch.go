package configuration

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"bergamotcroft.example/bergamot/membership"
	"bergamotcroft.example/bergamot/topo"
)

// Fetcher fetches the configuration of another entry VM. Package peer implements it with connect-go; the other VM answers
// with Node.Serve.
type Fetcher interface {
	Fetch(ctx context.Context, m membership.Member, r FetchRequest) (FetchAnswer, error)
}

// FetchRequest requests the changes since revision Have.
type FetchRequest struct {
	Have uint64 `json:"have"` // 0: everything
	// Wait is how long the answer may be held back until there is a higher revision or a newer confirmation.
	Wait time.Duration `json:"wait_ns"`
}

// FetchAnswer is the answer to a FetchRequest.
type FetchAnswer struct {
	Revision uint64 `json:"revision"` // in force at the answering member; 0: none yet
	// Confirmed is the age of the answering member's last confirmation, negative if it has none.
	Confirmed time.Duration `json:"confirmed_ns"`
	Held      time.Duration `json:"held_ns"` // how long the answer was held back
	// The following fields are set when Revision is higher than Have. Index is the whole index; it is empty when Refs
	// holds the references that differ from the index of Have. Chunks are those that the revision Have lacks.
	Entry  Entry             `json:"entry"`
	Index  []byte            `json:"index,omitempty"`
	Refs   map[int]string    `json:"refs,omitempty"`
	Chunks map[string][]byte `json:"chunks,omitempty"`
}

// Serve answers the request of another entry VM.
func (n *Node) Serve(ctx context.Context, r FetchRequest) (FetchAnswer, error) {
	start := n.opt.Clock.Now()
	s, confirmed, changed := n.state()
	if r.Wait > 0 && s != nil && s.entry.Revision <= r.Have {
		ctx, cancel := context.WithTimeout(ctx, min(r.Wait, maxWait))
		defer cancel()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		s, confirmed, _ = n.state()
	}
	now := n.opt.Clock.Now()
	a := FetchAnswer{Confirmed: -1, Held: now.Sub(start)}
	if !confirmed.IsZero() {
		a.Confirmed = now.Sub(confirmed)
	}
	if s == nil {
		return a, nil
	}
	a.Revision = s.entry.Revision
	if a.Revision > r.Have {
		n.fillDifference(&a, s, r.Have)
	}
	return a, nil
}

// fillDifference sets the fields of a that turn revision have into s.
func (n *Node) fillDifference(a *FetchAnswer, s *snapshot, have uint64) {
	a.Entry = s.entry
	old, ok := n.indexOf(have)
	if ok && old.sameShape(s.index) {
		a.Refs = map[int]string{}
		before := old.refs()
		for i, r := range s.index.refs() {
			if r != before[i] {
				a.Refs[i] = r
			}
		}
	} else {
		a.Index = s.indexRaw
	}
	a.Chunks = make(map[string][]byte)
	for _, r := range s.index.missingFrom(old) {
		a.Chunks[r] = s.chunks[r]
	}
}

// merge returns the revision that an answer makes of before, the revision stated in the request.
func merge(a FetchAnswer, before *snapshot) (*snapshot, error) {
	x, raw, err := mergeIndex(a, before)
	if err != nil {
		return nil, err
	}
	return assemble(a.Entry, x, raw, before, func(ref string) ([]byte, bool) {
		b, ok := a.Chunks[ref]
		return b, ok
	})
}

func mergeIndex(a FetchAnswer, before *snapshot) (index, []byte, error) {
	if len(a.Index) > 0 {
		x, err := topo.Decode[index](a.Index)
		return x, a.Index, err
	}
	if before == nil {
		return index{}, nil, trace.BadParameter("a difference was received without the revision that it applies to")
	}
	refs := before.index.refs()
	for _, i := range slices.Sorted(maps.Keys(a.Refs)) {
		if i < 0 || i >= len(refs) {
			return index{}, nil, trace.BadParameter("reference %d is out of range", i)
		}
		refs[i] = a.Refs[i]
	}
	x := before.index.withRefs(refs)
	raw, err := topo.Encode(x)
	return x, raw, err
}

// fetch asks a member for a newer revision, adopts it and takes over the member's confirmation. It returns the answer.
func (n *Node) fetch(ctx context.Context, m membership.Member, wait time.Duration) (FetchAnswer, error) {
	before, _, _ := n.state()
	sent := n.opt.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, wait+fetchTimeout)
	defer cancel()
	a, err := n.opt.Fetcher.Fetch(ctx, m, FetchRequest{Have: revisionOf(before), Wait: wait})
	if err != nil {
		fetchFailures.Inc()
		return a, trace.Wrap(err)
	}
	if a.Revision > revisionOf(before) {
		s, err := merge(a, before)
		if err != nil {
			return a, trace.Wrap(err, "answer of %s", m.Name)
		}
		n.adopt(s)
	}
	n.adoptConfirmation(a, sent)
	return a, nil
}

// adoptConfirmation takes over the member's confirmation. It counts the whole network time of the exchange, without the
// time that the answer was held back, as part of the confirmation's age.
func (n *Node) adoptConfirmation(a FetchAnswer, sent time.Time) {
	if a.Confirmed < 0 || a.Revision == 0 {
		return
	}
	networkTime := max(0, n.opt.Clock.Now().Sub(sent)-a.Held)
	n.confirm(a.Revision, n.opt.Clock.Now().Add(-a.Confirmed-networkTime))
}
