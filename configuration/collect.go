package configuration

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"
)

// collectEvery is the number of revisions between two removals of chunks that no remembered revision refers to. A removal
// begins with a list of all chunks, about 12 MB at full size; at 6,800 changes a day there is one every 13 minutes.
const collectEvery = 64

// listed are the chunks in the store before those of a revision were written. A chunk that a later revision refers to anew is written again
// and gets another version, so that its removal under the listed version fails.
type listed []store.Object

// listChunks prepares a removal if revision is due for one.
func (n *Node) listChunks(ctx context.Context, revision uint64) listed {
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

// collection is a removal that has been prepared and whose head has been written.
type collection struct {
	chunks  listed
	history []Entry
}

// schedule hands a removal to Run. It is dropped while another one runs; the chunks are found again next time.
func (n *Node) schedule(c collection) {
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

// collect removes the chunks that no revision of the history refers to. A chunk whose write is under way at the same time has a
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
		switch err := n.opt.Accept.Delete(ctx, o.Kind, o.Name, o.Version); {
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

// errOldList means that the list of chunks comes from before a revision that the head remembers.
var errOldList = errors.New("the list of chunks is older than the history")

// references returns the names of all chunks that the history refers to. The newest index was written after the list; what it
// refers to anew was written again then, so that its listed version no longer holds. Any other index must be in the list.
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
