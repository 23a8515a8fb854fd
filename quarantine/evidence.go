package quarantine

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"bergamotcroft.example/bergamot/store"
)

// Evidence is what one entry VM has observed of requests and parts that crash upstreams. A VM that starts reads the evidence of all,
// as it has missed their messages.
type Evidence struct {
	Requests []RequestCrashes `json:"requests,omitempty"`
	Crashes  []PartCrash      `json:"crashes,omitempty"`
	Sound    []PartSoundness  `json:"sound,omitempty"`
	Proven   []PartID         `json:"proven,omitempty"` // parts whose answers were completed shortly before a crash
	NewestMS int64            `json:"newest_ms"`        // of the newest crash that the evidence is about, in Unix milliseconds
}

// RequestCrashes holds the crashes in a row of one request.
type RequestCrashes struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Crashes     []uint32    `json:"crashes"`
	AtMS        int64       `json:"at_ms"` // of the last crash, in Unix milliseconds
}

// PartCrash holds the runs that a crash broke off before their answers had begun, each as the shared parts of its prompt.
type PartCrash struct {
	Crash uint32     `json:"crash"`
	AtMS  int64      `json:"at_ms"` // Unix milliseconds
	Runs  [][]PartID `json:"runs"`
}

// PartSoundness states that a part did not cause a crash.
type PartSoundness struct {
	Part  PartID `json:"part"`
	Crash uint32 `json:"crash"`
}

// Bounds of one VM's evidence.
const (
	// maxEvidenceBytes leaves room for the store's encoding within its limit for an object.
	maxEvidenceBytes    = store.MaxValueBytes / 2
	maxEvidenceRequests = 4096
	maxEvidenceCrashes  = maxCrashRecords
	maxEvidenceRuns     = 16 // of one crash
	maxEvidenceParts    = 64 // of one run
	maxEvidenceSound    = 4096
	maxEvidenceProven   = maxPartRecords
)

// empty reports whether there is no evidence.
func (e *Evidence) empty() bool {
	return len(e.Requests)+len(e.Crashes)+len(e.Sound)+len(e.Proven) == 0
}

// noteCrash records that the evidence is about a crash at a time.
func (e *Evidence) noteCrash(at time.Time) { e.NewestMS = max(e.NewestMS, at.UnixMilli()) }

// truncate drops what is beyond the bounds.
func (e *Evidence) truncate() {
	e.Requests = e.Requests[:min(len(e.Requests), maxEvidenceRequests)]
	e.Crashes = e.Crashes[:min(len(e.Crashes), maxEvidenceCrashes)]
	for i := range e.Crashes {
		c := &e.Crashes[i]
		c.Runs = c.Runs[:min(len(c.Runs), maxEvidenceRuns)]
	}
	e.Sound = e.Sound[:min(len(e.Sound), maxEvidenceSound)]
	e.Proven = e.Proven[:min(len(e.Proven), maxEvidenceProven)]
}

// marshal returns the stored form. Of evidence that is too long the oldest, and requests with the fewest crashes, are left out.
func (e *Evidence) marshal() ([]byte, error) {
	for {
		b, err := json.Marshal(e)
		if err != nil || len(b) <= maxEvidenceBytes {
			return b, err
		}
		e.Requests = e.Requests[:len(e.Requests)/2]
		e.Crashes = e.Crashes[:len(e.Crashes)/2]
		e.Sound = e.Sound[:len(e.Sound)/2]
	}
}

// Evidence returns the unexpired evidence of this entry VM, in a fixed order: of requests those with the most crashes first, of
// crashes the newest first.
func (l *Ledger) Evidence() Evidence {
	e := l.opts.Parts.evidence()
	l.mu.Lock()
	for fp, x := range l.entries {
		if len(x.own) > 0 && l.count(fp) > 0 {
			e.Requests = append(e.Requests, RequestCrashes{fp, slices.Sorted(maps.Keys(x.own)), x.lastCrash.UnixMilli()})
			e.noteCrash(x.lastCrash)
		}
	}
	l.mu.Unlock()
	slices.SortFunc(e.Requests, func(a, b RequestCrashes) int {
		return cmp.Or(cmp.Compare(len(b.Crashes), len(a.Crashes)), cmp.Compare(b.AtMS, a.AtMS), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	e.truncate()
	return e
}

// RestoreEvidence applies stored evidence. own is that of an earlier process of this entry VM, which becomes evidence of this one;
// others is that of the other entry VMs. A part is judged once all of it is known.
func (l *Ledger) RestoreEvidence(own Evidence, others []Evidence) {
	now := l.opts.Now()
	l.mu.Lock()
	l.restoreRequests(now, &own, true)
	for i := range others {
		l.restoreRequests(now, &others[i], false)
	}
	l.mu.Unlock()
	l.opts.Parts.restoreEvidence(own, others)
}

func (l *Ledger) restoreRequests(now time.Time, e *Evidence, own bool) {
	e.truncate()
	for _, r := range e.Requests {
		at := now.Add(-evidenceAge(now, r.AtMS))
		if now.Sub(at) >= l.opts.Expiry {
			continue
		}
		for _, crash := range r.Crashes[:min(len(r.Crashes), l.opts.Limit)] {
			crash = max(crash, firstCrash)
			if n := l.addCrash(r.Fingerprint, crash, at, fromStore); n > 0 && own {
				l.entries[r.Fingerprint].own[crash] = struct{}{}
			}
		}
	}
}

// evidenceAge returns the time since a crash. The clock of the VM that observed it may be ahead.
func evidenceAge(now time.Time, atMS int64) time.Duration {
	return max(now.Sub(time.UnixMilli(atMS)), 0)
}

func (p *PartLedger) evidence() (e Evidence) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, c := range p.crashes {
		if len(c.own) > 0 {
			e.Crashes = append(e.Crashes, PartCrash{id, c.at.UnixMilli(), slices.Clone(c.own)})
			e.noteCrash(c.at)
		}
	}
	for part, r := range p.parts {
		for crash, s := range r.sound {
			if c := p.crashes[crash]; s.observed && c != nil {
				e.Sound = append(e.Sound, PartSoundness{part, crash})
				e.noteCrash(c.at)
			}
		}
		if r.provenHere && len(r.blamed) > 0 {
			e.Proven = append(e.Proven, part)
			for crash := range r.blamed {
				e.noteCrash(p.crashes[crash].at)
			}
		}
	}
	slices.SortFunc(e.Crashes, func(a, b PartCrash) int { return cmp.Or(cmp.Compare(b.AtMS, a.AtMS), cmp.Compare(a.Crash, b.Crash)) })
	slices.SortFunc(e.Sound, func(a, b PartSoundness) int {
		return cmp.Or(cmp.Compare(a.Crash, b.Crash), cmp.Compare(a.Part, b.Part))
	})
	slices.Sort(e.Proven)
	return e
}

func (p *PartLedger) restoreEvidence(own Evidence, others []Evidence) {
	if own.partsEmpty() && !slices.ContainsFunc(others, func(e Evidence) bool { return !e.partsEmpty() }) {
		return
	}
	p.update(func(u *partUpdate) {
		p.restoreCrashes(u, &own, true)
		for i := range others {
			p.restoreCrashes(u, &others[i], false)
		}
		p.restoreProofs(u, &own, true) // of crashes that any VM has reported
		for i := range others {
			p.restoreProofs(u, &others[i], false)
		}
	})
}

func (e *Evidence) partsEmpty() bool { return len(e.Crashes)+len(e.Sound)+len(e.Proven) == 0 }

func (p *PartLedger) restoreCrashes(u *partUpdate, e *Evidence, own bool) {
	for _, c := range e.Crashes {
		age := evidenceAge(u.now, c.AtMS)
		if age >= p.opts.Expiry {
			continue
		}
		for _, run := range c.Runs {
			run = run[:min(len(run), maxEvidenceParts)]
			for chunk := range slices.Chunk(run, MaxNoticeParts) { // as in the messages between VMs
				p.blame(u, c.Crash, u.now.Add(-age), chunk)
			}
			if own {
				p.addOwnRun(c.Crash, run)
			}
		}
	}
}

func (p *PartLedger) restoreProofs(u *partUpdate, e *Evidence, own bool) {
	for _, s := range e.Sound {
		if p.crashes[s.Crash] != nil {
			p.markSound(u, s.Part, s.Crash, own)
		}
	}
	for _, part := range e.Proven {
		if r := p.parts[part]; r != nil {
			r.proven, r.provenHere = true, r.provenHere || own
			u.touch(part)
		}
	}
}

// addOwnRun records that a run that a crash broke off was sent by this entry VM. The lock is held.
func (p *PartLedger) addOwnRun(crash uint32, run []PartID) {
	c := p.crashes[crash]
	if c == nil || len(c.own) >= maxEvidenceRuns || slices.ContainsFunc(c.own, func(x []PartID) bool { return slices.Equal(x, run) }) {
		return
	}
	c.own = append(c.own, slices.Clone(run))
}
