package configuration

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"
)

// applyAttempts bounds the attempts at a change that does not depend on a certain revision and conflicts with other writers.
const applyAttempts = 5

// Apply makes c the next revision and returns its number. c.Revision is the revision that c is based on; when another one has
// been accepted since, nothing changes and the error names that one. Revision 0 replaces any revision.
func (n *Node) Apply(ctx context.Context, author string, c topo.Configuration) (uint64, error) {
	if err := validate(&c); err != nil {
		return 0, err
	}
	for range applyAttempts {
		revision, err := n.tryApply(ctx, author, c)
		if err == nil || c.Revision != 0 || result.CodeOf(err) != result.StoreConflict {
			return revision, err
		}
	}
	return 0, result.New(result.StoreConflict, "the configuration keeps changing")
}

// Update applies a change to the newest revision. When another writer was first, it tries again on the new revision.
func (n *Node) Update(ctx context.Context, author string, change func(*topo.Configuration) error) (uint64, error) {
	for range applyAttempts {
		if err := n.readStore(ctx); err != nil {
			return 0, storeError(err)
		}
		base := topo.Configuration{}
		if now := n.Current(); now != nil {
			base = *now
			base.Models, base.Classes, base.Services = slices.Clone(now.Models), slices.Clone(now.Classes), slices.Clone(now.Services)
			base.Upstreams, base.Accounts = slices.Clone(now.Upstreams), slices.Clone(now.Accounts)
		}
		if err := change(&base); err != nil {
			return 0, err
		}
		revision, err := n.Apply(ctx, author, base)
		if result.CodeOf(err) != result.StoreConflict {
			return revision, err
		}
	}
	return 0, result.New(result.StoreConflict, "the configuration keeps changing")
}

// draft is a revision that is about to be written.
type draft struct {
	head   head // with the new entry first
	object store.Object
	before index
	index  index
	raw    []byte
	chunks map[string][]byte
}

func (n *Node) tryApply(ctx context.Context, author string, c topo.Configuration) (uint64, error) {
	d, err := n.prepare(ctx, author, c)
	if err != nil {
		return 0, err
	}
	e := d.head.entry()
	chunksBefore := n.listChunks(ctx, e.Revision)
	for _, ref := range d.index.missingFrom(d.before) {
		if err := n.writeChunk(ctx, ref, d.chunks[ref]); err != nil {
			return 0, storeError(err)
		}
	}
	if err := n.writeChunk(ctx, e.Index, d.raw); err != nil {
		return 0, storeError(err)
	}
	asked := n.opt.Clock.Now()
	if err := n.writeHead(ctx, d.head, d.object); err != nil {
		return 0, err
	}
	n.enqueueCollection(collection{chunksBefore, d.head.History})
	s, err := assemble(e, d.index, d.raw, nil, func(ref string) ([]byte, bool) { b, ok := d.chunks[ref]; return b, ok })
	if err == nil && n.adopt(s) {
		n.confirm(e.Revision, asked)
		n.broadcast(e.Revision)
	}
	return e.Revision, nil
}

// prepare reads the head and encodes the revision that follows it.
func (n *Node) prepare(ctx context.Context, author string, c topo.Configuration) (d draft, err error) {
	h, object, err := n.readHead(ctx)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return d, storeError(err)
	}
	last := h.entry()
	if c.Revision != 0 && c.Revision != last.Revision {
		return d, conflictError(c.Revision, last)
	}
	if last.Revision < n.Revision() {
		return d, result.New(result.StoreConflict, "the store answered with revision %d, older than the one in force", last.Revision)
	}
	d.object = object
	if d.before, err = n.readIndex(ctx, last); err != nil {
		return d, storeError(err)
	}
	if d.index, d.chunks, err = encode(&c, d.before); err != nil {
		return d, trace.Wrap(err)
	}
	if d.raw, err = topo.Encode(d.index); err != nil {
		return d, trace.Wrap(err)
	}
	e := Entry{
		Revision: last.Revision + 1, Accepted: time.Now().UTC().Truncate(time.Millisecond), Author: author,
		Index: hash(d.raw), Mark: store.NewWriterMark(n.opt.Name), Chunks: len(d.index.missingFrom(d.before)),
	}
	d.head.History = append([]Entry{e}, h.History...)
	d.head.History = d.head.History[:min(len(d.head.History), maxHistory)]
	return d, nil
}

// writeHead writes the head, which accepts the revision. The history keeps the writer's mark, so that a lost answer can
// be settled even after later revisions.
func (n *Node) writeHead(ctx context.Context, h head, object store.Object) error {
	e := h.entry()
	value, err := topo.Encode(h)
	if err != nil {
		return trace.Wrap(err)
	}
	o := store.Object{Kind: topo.KindConfiguration, Name: headName, Version: object.Version, Writer: e.Mark, Value: value}
	_, err = store.PutSettled(ctx, n.opt.WriteStore, o, func(now store.Object) (applied, known bool) {
		return findMark(now, e)
	})
	if errors.Is(err, store.ErrConflict) {
		now, _, readErr := n.readHead(ctx)
		if readErr == nil {
			return conflictError(e.Revision-1, now.entry())
		}
		return result.New(result.StoreConflict, "another revision was accepted first").WithCause(err)
	}
	return storeError(err)
}

// findMark reports whether a head contains the entry e with its mark, and whether that is known. Revisions are
// contiguous, so the entry with the number of e decides.
func findMark(now store.Object, e Entry) (applied, known bool) {
	h, err := topo.Decode[head](now.Value)
	if err != nil {
		return false, false
	}
	for _, x := range h.History {
		if x.Revision == e.Revision {
			return x.Mark == e.Mark, true
		}
	}
	return false, false
}

func conflictError(base uint64, now Entry) error {
	return result.New(result.StoreConflict, "made from revision %d, but revision %d by %q was accepted at %s",
		base, now.Revision, now.Author, now.Accepted.Format(time.RFC3339))
}

// storeError adds the result code to a store error. A value above the store's limit is a fault of the configuration.
func storeError(err error) error {
	if errors.Is(err, store.ErrTooLarge) {
		return result.New(result.ConfigurationInvalid, "an object exceeds the store's limit").WithCause(err)
	}
	return store.WithCode(err)
}

// History returns the accepted revisions in the store, newest first.
func (n *Node) History(ctx context.Context) ([]Entry, error) {
	h, _, err := n.readHead(ctx)
	if errors.Is(err, store.ErrNotFound) {
		return nil, nil
	}
	return h.History, storeError(err)
}

// validate reports all faults that would make a configuration ambiguous: missing and repeated names, and upstreams without
// a valid kind or a known service.
func validate(c *topo.Configuration) error {
	var faults []string
	faults = append(faults, checkNames("account", c.Accounts, accountName)...)
	faults = append(faults, checkNames("upstream", c.Upstreams, upstreamName)...)
	faults = append(faults, checkNames("model", c.Models, func(m topo.Model) string { return m.Name })...)
	faults = append(faults, checkNames("class", c.Classes, func(x topo.Class) string { return x.Name })...)
	faults = append(faults, checkNames("service", c.Services, func(s topo.Service) string { return s.Name })...)
	services := map[string]bool{}
	for _, s := range c.Services {
		services[s.Name] = true
	}
	for _, u := range c.Upstreams {
		switch {
		case u.Kind != topo.KindEngine && u.Kind != topo.KindService:
			faults = append(faults, "upstream "+u.Name+" has no valid kind")
		case u.Kind == topo.KindService && !services[u.Service]:
			faults = append(faults, "upstream "+u.Name+" belongs to an unknown service")
		}
	}
	if len(faults) > 0 {
		return result.New(result.ConfigurationInvalid, "%s", strings.Join(faults, "; "))
	}
	return nil
}

// checkNames returns a fault for each empty or repeated name.
func checkNames[T any](what string, items []T, name func(T) string) []string {
	var faults []string
	seen := map[string]bool{}
	for _, it := range items {
		switch {
		case name(it) == "":
			faults = append(faults, what+" without a name")
		case seen[name(it)]:
			faults = append(faults, what+" "+name(it)+" is given twice")
		}
		seen[name(it)] = true
	}
	return faults
}
