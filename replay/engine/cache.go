package engine

// cache holds complete pieces of prompts by their chained hash. Pieces that active jobs use are pinned; the others are
// evicted in order of their last use.
type cache struct {
	nodes    map[uint64]*node
	idle     node // ring of unpinned nodes, least recently used first
	inserted []uint64
	removed  []uint64
}

type node struct {
	hash       uint64
	pins       int
	prev, next *node
}

func newCache() *cache {
	c := &cache{nodes: map[uint64]*node{}}
	c.idle.prev, c.idle.next = &c.idle, &c.idle
	return c
}

func (c *cache) match(prefix []uint64) int {
	for i, h := range prefix {
		if c.nodes[h] == nil {
			return i
		}
	}
	return len(prefix)
}

func (n *node) unlink() {
	if n.prev != nil {
		n.prev.next, n.next.prev = n.next, n.prev
		n.prev, n.next = nil, nil
	}
}

// pin protects cached pieces from eviction.
func (c *cache) pin(prefix []uint64) {
	for _, h := range prefix {
		n := c.nodes[h]
		n.pins++
		n.unlink()
	}
}

// unpin releases pieces from last to first, so that the ends of prompts are evicted before their beginnings.
func (c *cache) unpin(prefix []uint64) {
	for i := len(prefix) - 1; i >= 0; i-- {
		n := c.nodes[prefix[i]]
		if n.pins--; n.pins == 0 {
			c.pushIdle(n)
		}
	}
}

func (c *cache) pushIdle(n *node) {
	n.prev, n.next = c.idle.prev, &c.idle
	n.prev.next, n.next.prev = n, n
}

// insert adds computed pieces and pins them.
func (c *cache) insert(pieces []uint64) {
	for _, h := range pieces {
		n := c.nodes[h]
		if n == nil {
			n = &node{hash: h}
			c.nodes[h] = n
			c.inserted = append(c.inserted, h)
		}
		n.pins++
		n.unlink()
	}
}

// evict removes the least recently used piece that is not pinned, and reports whether there was one.
func (c *cache) evict() bool {
	n := c.idle.next
	if n == &c.idle {
		return false
	}
	n.unlink()
	delete(c.nodes, n.hash)
	c.removed = append(c.removed, n.hash)
	return true
}
