package configuration

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"
)

// collectEvery is the number of revisions between two removals of chunks that no revision in the head's history refers
// to. A removal begins with a list of all chunks, about 12 MB at full size; at 6,800 changes a day there is one every 13
// minutes.
const collectEvery = 64

// chunkList holds the chunks that were in the store before those of a revision were written. A chunk that a later
// revision refers to again is written again and gets another version, so that its removal under the listed version fails.
type chunkList []store.Object

// listChunks lists the chunks if a removal is due with revision; otherwise it returns none.
func (n *Node) listChunks(ctx context.Context, revision uint64) chunkList {
	if revision%collectEvery != 0 {
		return nil
	}
	objects, _, err := n.opt.Store.List(ctx, topo.KindConfiguration, chunkPrefix)
	if err != nil {
		n.opt.Logger.Warn("chunks not listed", zap.Error(err))
		return nil
	}
	return objects
}

// collection is a removal of unused chunks. It may begin, since the head with history has been written.
type collection struct {
	chunks  chunkList
	history []Entry
}

// enqueueCollection passes a removal to Run. While another one is pending it is dropped; the next one finds the chunks again.
func (n *Node) enqueueCollection(c collection) {
	if len(c.chunks) == 0 {
		return
	}
	select {
	case n.collections <- c:
	default:
	}
}

func (n *Node) runCollect(ctx context.Context) error {
	for {
		select {
		case c := <-n.collections:
			removed, err := n.collect(ctx, c)
			n.opt.Logger.Info("unused chunks removed", zap.Int("removed", removed), zap.Error(err))
		case <-ctx.Done():
			return nil
		}
	}
}

// collect removes the chunks that no revision of the history refers to. A chunk that is written concurrently has a
// newer version and stays.
func (n *Node) collect(ctx context.Context, c collection) (removed int, err error) {
	used, err := references(c)
	if err != nil {
		return 0, err
	}
	for _, o := range c.chunks {
		if used[o.Name] {
			continue
		}
		switch err := n.opt.WriteStore.Delete(ctx, o.Kind, o.Name, o.Version); {
		case err == nil, errors.Is(err, store.ErrOutcomeUnknown):
			removed++
		case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrNotFound):
		case errors.Is(err, store.ErrRateLimited):
			if err := n.opt.Clock.Sleep(ctx, n.opt.ConfirmEvery); err != nil {
				return removed, err
			}
		default:
			return removed, err
		}
	}
	return removed, nil
}

// errOldList is returned when the list of chunks is older than a revision in the history.
var errOldList = errors.New("the list of chunks is older than the history")

// references returns the names of all chunks that the history refers to. The newest index was written after the list;
// chunks that it refers to again were written again as well, so that their listed versions are outdated. Any other index
// must be in the list.
func references(c collection) (map[string]bool, error) {
	byName := make(map[string][]byte, len(c.chunks))
	for _, o := range c.chunks {
		byName[o.Name] = o.Value
	}
	used := map[string]bool{}
	for i, e := range c.history {
		name := chunkPrefix + e.Index
		used[name] = true
		raw, ok := byName[name]
		switch {
		case !ok && i == 0:
			continue
		case !ok:
			return nil, errOldList
		}
		x, err := topo.Decode[index](raw)
		if err != nil {
			return nil, err
		}
		for _, r := range x.refs() {
			used[chunkPrefix+r] = true
		}
	}
	return used, nil
}
