package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// record returns the record of a part, which it creates if there is room. The lock is held.
func (p *PartLedger) record(part PartID) *partRecord {
	r := p.parts[part]
	if r == nil && len(p.parts) < maxPartRecords {
		r = &partRecord{blamed: map[uint32]struct{}{}, sound: map[uint32]soundness{}}
		p.parts[part] = r
	}
	return r
}

// blame records that a crash broke off a run with these parts before its answer had begun. The lock is held.
func (p *PartLedger) blame(u *partUpdate, crash uint32, at time.Time, parts []PartID) {
	c := p.crashes[crash]
	if c == nil {
		p.makeRoomForCrash()
		c = &crashRecord{at: at}
		p.crashes[crash] = c
		p.active.Store(true)
	} else if at.Before(c.at) {
		c.at = at
	}
	if len(c.runs) < maxRunsPerCrash && !slices.ContainsFunc(c.runs, func(run []PartID) bool { return slices.Equal(run, parts) }) {
		c.runs = append(c.runs, slices.Clone(parts))
	}
	for _, part := range parts {
		r := p.record(part)
		if r == nil {
			continue
		}
		r.blamed[crash] = struct{}{}
		if at, ok := p.completed[part]; ok && !r.proven && u.now.Sub(at) < p.opts.Expiry {
			r.proven, r.provenHere, u.evidence = true, true, true
			u.send(PartNotice{Kind: PartProven}, part)
		}
		if s, ok := r.sound[crash]; ok && s.observed {
			u.evidence = true
			u.send(PartNotice{Kind: PartSound, Crash: crash}, part)
		}
		u.touch(part)
	}
}

// makeRoomForCrash drops the oldest crash that no refused part is blamed for if there are too many. The lock is held.
func (p *PartLedger) makeRoomForCrash() {
	if len(p.crashes) < maxCrashRecords {
		return
	}
	oldest, at := uint32(0), time.Time{}
	for id, c := range p.crashes {
		if !p.supportsRefusal(id) && (oldest == 0 || c.at.Before(at)) {
			oldest, at = id, c.at
		}
	}
	p.dropCrash(oldest)
}

func (p *PartLedger) supportsRefusal(crash uint32) bool {
	for _, run := range p.crashes[crash].runs {
		for _, part := range run {
			if r := p.parts[part]; r != nil && r.refused {
				return true
			}
		}
	}
	return false
}

func (p *PartLedger) dropCrash(crash uint32) {
	c := p.crashes[crash]
	if c == nil {
		return
	}
	for _, run := range c.runs {
		for _, part := range run {
			if r := p.parts[part]; r != nil {
				delete(r.blamed, crash)
			}
		}
	}
	delete(p.crashes, crash)
}

// markSound records that a part did not cause a crash. The lock is held.
func (p *PartLedger) markSound(u *partUpdate, part PartID, crash uint32, observed bool) {
	r := p.record(part)
	if r == nil {
		return
	}
	if _, ok := r.sound[crash]; !ok {
		r.sound[crash] = soundness{u.now, observed}
		u.evidence = u.evidence || observed && p.crashes[crash] != nil
	}
	u.touch(part)
}

// counted returns the crashes that count against a part. The lock is held.
func (p *PartLedger) counted(part PartID) (crashes []uint32) {
	r := p.parts[part]
	for c := range r.blamed {
		if _, ok := r.sound[c]; !ok && !(r.proven && p.explained(part, p.crashes[c])) {
			crashes = append(crashes, c)
		}
	}
	return p.withoutMassCrashes(crashes)
}

// withoutMassCrashes leaves out crashes that happened together with others: upstreams that end together have a cause of
// their own. It sorts the crashes by time. The lock is held.
func (p *PartLedger) withoutMassCrashes(crashes []uint32) []uint32 {
	slices.SortFunc(crashes, func(a, b uint32) int {
		return cmp.Or(p.crashes[a].at.Compare(p.crashes[b].at), cmp.Compare(a, b))
	})
	kept := crashes[:0]
	for _, c := range crashes {
		n := len(kept) - maxCrashesTogether
		if n < 0 || p.crashes[c].at.Sub(p.crashes[kept[n]].at) >= crashesTogether {
			kept = append(kept, c)
		}
	}
	return kept
}

// explained reports whether each run of a proven part that a crash broke off had another part that is likelier to have
// caused it: one without completed answers that is blamed for several crashes. The lock is held.
func (p *PartLedger) explained(part PartID, c *crashRecord) bool {
	const likelyFrom = 2 // crashes
	for _, run := range c.runs {
		if slices.Contains(run, part) && !slices.ContainsFunc(run, func(other PartID) bool {
			r := p.parts[other]
			return r != nil && !r.proven && r.suspectCrashes() >= likelyFrom
		}) {
			return false
		}
	}
	return true
}

// isRefused reports whether enough crashes count against a part. The lock is held.
func (p *PartLedger) isRefused(part PartID) bool {
	r := p.parts[part]
	if r == nil || len(r.blamed) < p.opts.MinCrashes {
		return false
	}
	limit := p.opts.MinCrashes
	if r.proven {
		limit = p.opts.MinCrashesProven
	}
	n := len(p.counted(part))
	r.crashes = n
	return n >= limit
}

// mates returns the parts that accompanied a part in each run that the crashes counted against it broke off, and of which
// nothing shows that they are sound. The lock is held.
func (p *PartLedger) mates(part PartID) []PartID {
	var mates []PartID
	first := true
	for _, c := range p.counted(part) {
		for _, run := range p.crashes[c].runs {
			switch {
			case !slices.Contains(run, part):
			case first:
				first, mates = false, slices.Clone(run)
			default:
				mates = slices.DeleteFunc(mates, func(m PartID) bool { return !slices.Contains(run, m) })
			}
		}
	}
	return slices.DeleteFunc(mates, func(m PartID) bool {
		r := p.parts[m]
		return m == part || r == nil || r.proven || len(r.sound) > 0
	})
}

// blocks reports whether a part makes requests with these parts refused. The lock is held.
func (p *PartLedger) blocks(part PartID, parts []PartID) bool {
	if !p.isRefused(part) {
		return false
	}
	for _, m := range p.mates(part) {
		if !slices.Contains(parts, m) {
			return false
		}
	}
	return true
}

// refusedState returns the lasting state of a refused part. The lock is held.
func (p *PartLedger) refusedState(part PartID) RefusedPart {
	r := p.parts[part]
	crashes := p.counted(part)
	slices.Sort(crashes)
	return RefusedPart{part, p.mates(part), crashes, r.trials, r.nextTrial}
}

// Refused returns the state of the refused parts.
func (p *PartLedger) Refused() []RefusedPart {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []RefusedPart
	for part, r := range p.parts {
		if r.refused {
			out = append(out, p.refusedState(part))
		}
	}
	return out
}
