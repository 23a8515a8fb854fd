package configuration

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"
)

// listAbove is the number of missing chunks above which one list call replaces individual reads.
const listAbove = 16

func (n *Node) readHead(ctx context.Context) (head, store.Object, error) {
	o, err := n.opt.Store.Get(ctx, topo.KindConfiguration, headName)
	if err != nil {
		return head{}, store.Object{}, err
	}
	n.mu.Lock()
	h, same := n.head, o.Version == n.headVersion
	n.mu.Unlock()
	if same {
		return h, o, nil
	}
	h, err = topo.Decode[head](o.Value)
	if err == nil {
		n.mu.Lock()
		n.head, n.headVersion = h, o.Version
		n.mu.Unlock()
	}
	return h, o, err
}

// readIndex returns the index of an accepted revision, from memory if it is the revision in force.
func (n *Node) readIndex(ctx context.Context, e Entry) (index, error) {
	if e.Revision == 0 {
		return index{}, nil
	}
	if s, _, _ := n.state(); s != nil && s.entry.Index == e.Index {
		return s.index, nil
	}
	raw, err := n.readChunk(ctx, e.Index)
	if err != nil {
		return index{}, err
	}
	return topo.Decode[index](raw)
}

func (n *Node) readChunk(ctx context.Context, ref string) ([]byte, error) {
	o, err := n.opt.Store.Get(ctx, topo.KindConfiguration, chunkPrefix+ref)
	if err != nil {
		return nil, err
	}
	if hash(o.Value) != ref {
		return nil, trace.BadParameter("chunk %s does not match its hash", ref)
	}
	return o.Value, nil
}

// writeChunk stores a chunk under its hash. A chunk that exists already is written again, which changes its version: a
// concurrent removal under the old version then fails.
func (n *Node) writeChunk(ctx context.Context, ref string, value []byte) error {
	o := store.Object{Kind: topo.KindConfiguration, Name: chunkPrefix + ref, Value: value}
	for range applyAttempts {
		_, err := store.PutSettled(ctx, n.opt.WriteStore, o, func(now store.Object) (bool, bool) {
			return hash(now.Value) == ref, true
		})
		if !errors.Is(err, store.ErrConflict) {
			return err
		}
		now, err := n.opt.Store.Get(ctx, topo.KindConfiguration, o.Name)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return err
		}
		o.Version, o.Writer = now.Version, ""
	}
	return trace.Wrap(store.ErrConflict)
}

// readStore reads the head, adopts a higher revision and confirms the one in force.
func (n *Node) readStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	asked := n.opt.Clock.Now()
	h, _, err := n.readHead(ctx)
	if errors.Is(err, store.ErrNotFound) {
		return nil // no revision accepted yet
	}
	if err != nil {
		return err
	}
	return n.adoptHead(ctx, h.entry(), asked)
}

// adoptHead puts the store's revision in force if it is higher, and confirms it. A lower one comes from a stale read and
// confirms nothing.
func (n *Node) adoptHead(ctx context.Context, e Entry, asked time.Time) error {
	before, _, _ := n.state()
	if e.Revision > revisionOf(before) {
		s, err := n.loadRevision(ctx, e, before)
		if err != nil {
			return trace.Wrap(err, "revision %d", e.Revision)
		}
		if n.adopt(s) && before != nil {
			n.broadcast(e.Revision)
		}
	}
	n.confirm(e.Revision, asked)
	return nil
}

// loadRevision reads the chunks of a revision that before lacks.
func (n *Node) loadRevision(ctx context.Context, e Entry, before *snapshot) (*snapshot, error) {
	raw, err := n.readChunk(ctx, e.Index)
	if err != nil {
		return nil, err
	}
	x, err := topo.Decode[index](raw)
	if err != nil {
		return nil, err
	}
	var beforeIndex index
	if before != nil {
		beforeIndex = before.index
	}
	chunks, err := n.readChunks(ctx, x.missingFrom(beforeIndex))
	if err != nil {
		return nil, err
	}
	return assemble(e, x, raw, before, func(ref string) ([]byte, bool) { b, ok := chunks[ref]; return b, ok })
}

func (n *Node) readChunks(ctx context.Context, refs []string) (map[string][]byte, error) {
	chunks := map[string][]byte{}
	if len(refs) > listAbove {
		objects, _, err := n.opt.Store.List(ctx, topo.KindConfiguration, chunkPrefix)
		if err != nil {
			return nil, err
		}
		for _, o := range objects {
			chunks[o.Name[len(chunkPrefix):]] = o.Value
		}
		return chunks, nil
	}
	for _, ref := range refs {
		b, err := n.readChunk(ctx, ref)
		if err != nil {
			return nil, err
		}
		chunks[ref] = b
	}
	return chunks, nil
}

// WatchOnce waits for one answer of the store's watch and adopts a higher revision in it. It returns the revision to
// watch from next. Run calls it in a loop.
func (n *Node) WatchOnce(ctx context.Context, from uint64) (uint64, error) {
	events, next, err := n.opt.Store.Watch(ctx, topo.KindConfiguration, from)
	if errors.Is(err, store.ErrWatchGap) {
		return n.watchStart(ctx)
	}
	if err != nil {
		return from, err
	}
	for _, e := range events {
		if e.Object.Name != headName || e.Deleted {
			continue
		}
		h, err := topo.Decode[head](e.Object.Value)
		if err != nil {
			return next, err
		}
		// The event may be old, so the zero time keeps it from confirming the revision.
		if err := n.adoptHead(ctx, h.entry(), time.Time{}); err != nil {
			return next, err
		}
	}
	return next, nil
}

// watchStart returns the store revision to watch from, and reads the head, since a watch reports only later changes.
func (n *Node) watchStart(ctx context.Context) (uint64, error) {
	_, from, err := n.opt.Store.List(ctx, topo.KindConfiguration, headName)
	if err != nil {
		return 0, err
	}
	return from, n.readStore(ctx)
}
