package lease

// View is what this process knows of the lease of a group.
type View struct {
	Holder  string // as last read or written; empty: none is known
	Fencing uint64
	// Released is set if the holder has given the lease back.
	Released bool
	// StoreFailures counts the consecutive calls to the store that failed.
	StoreFailures int
}

// View returns what this process knows of the lease of group g. A VM that is not among the candidates may know of a former holder, or
// of none.
func (m *Manager) View(g int) View {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := View{StoreFailures: int(m.storeFailures.Load())}
	if g >= 0 && g < len(m.groups) {
		l := &m.groups[g].lease
		v.Holder, v.Fencing, v.Released = l.Holder, l.Fencing, l.Released
	}
	return v
}
