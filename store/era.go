package store

// A store that is set back to a copy loses the writes since the copy and gives out their revisions again. Each time, its era
// rises. An implementation of Store for such a store composes revisions and versions from the era and the store's own
// revision, so that they never decrease, and a version from an earlier era never matches.

// eraShift is the number of bits of the store's own revision, which suffices for 30 years of 1,000 writes a second.
const eraShift = 40

// ComposeRevision returns the revision in an era.
func ComposeRevision(era, revision uint64) uint64 { return era<<eraShift | revision&(1<<eraShift-1) }

// SplitRevision returns the parts of a composed revision.
func SplitRevision(composed uint64) (era, revision uint64) {
	return composed >> eraShift, composed & (1<<eraShift - 1)
}

// EraOf returns the era of a composed revision.
func EraOf(composed uint64) uint64 { return composed >> eraShift }
