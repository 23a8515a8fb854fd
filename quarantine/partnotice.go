package quarantine

import (
	"slices"
	"time"

	"go.uber.org/zap"
)

// PartNoticeKind is the kind of a PartNotice.
type PartNoticeKind uint8

// Kinds of notices between the part ledgers of entry VMs.
const (
	PartBlamed     PartNoticeKind = iota + 1 // Crash broke off a run with Parts before its answer had begun
	PartSound                                // Parts[0] did not cause Crash
	PartProven                               // answers with Parts[0] were completed shortly before a crash
	PartTrial                                // a trial of Parts[0] begins, the one with number Crash; Parts[1] is its token
	PartTrialState                           // Parts[0] has been tried Crash times; Parts[1] is the time of the next trial, in Unix ms
)

// MaxNoticeParts is the number of parts that one notice holds; longer prompts take several.
const MaxNoticeParts = 7

// PartNotice is a message to the part ledgers of other entry VMs. It may arrive late and more than once.
type PartNotice struct {
	Kind  PartNoticeKind
	Crash uint32
	Age   time.Duration          // of PartBlamed: since the crash
	Parts [MaxNoticeParts]PartID // unused entries are 0
}

// PartList returns the parts of the notice.
func (n *PartNotice) PartList() []PartID {
	if i := slices.Index(n.Parts[:], 0); i >= 0 {
		return n.Parts[:i]
	}
	return n.Parts[:]
}

// Receive applies a notice that another entry VM's Broadcast sent.
func (p *PartLedger) Receive(n PartNotice) {
	parts := n.PartList()
	if len(parts) == 0 || (n.Kind == PartTrial || n.Kind == PartTrialState) && len(parts) < 2 {
		return
	}
	p.update(func(u *partUpdate) {
		switch n.Kind {
		case PartBlamed:
			p.blame(u, n.Crash, u.now.Add(-min(max(n.Age, 0), p.opts.Expiry)), parts)
		case PartSound:
			p.markSound(u, parts[0], n.Crash, false)
		case PartProven:
			if r := p.parts[parts[0]]; r != nil {
				r.proven = true
				u.touch(parts[0])
			}
		case PartTrial:
			p.receiveTrial(u, parts[0], parts[1], int(n.Crash))
		case PartTrialState:
			if r := p.parts[parts[0]]; r != nil && r.refused {
				r.trials = max(r.trials, min(int(n.Crash), len(trialDelays)))
				next, latest := time.UnixMilli(int64(n.Parts[1])), u.now.Add(trialDelay(r.trials)) // clocks differ
				if next.After(latest) {
					next = latest
				}
				if next.After(r.nextTrial) {
					r.nextTrial = next
				}
			}
		}
	})
}

// receiveTrial records a trial of another entry VM. Of concurrent trials the one with the lowest token takes place. The
// lock is held.
func (p *PartLedger) receiveTrial(u *partUpdate, part, token PartID, number int) {
	r := p.parts[part]
	if r == nil {
		return
	}
	if r.trialToken != 0 && token < r.trialToken {
		p.opts.Log.Info("trial left to another entry VM", zap.Uint64("part", uint64(part)))
		r.trialToken = 0
	}
	r.trials = max(r.trials, min(number, len(trialDelays)))
	if next := u.now.Add(trialDelay(r.trials)); next.After(r.nextTrial) {
		r.nextTrial = next
	}
}

// minRebroadcastCrashes is the number of crashes from which the evidence against a part is sent again.
const minRebroadcastCrashes = 2

// Rebroadcast sends the evidence against the most suspect parts again, at most limit parts for each call. It informs entry
// VMs that have restarted or were cut off.
func (p *PartLedger) Rebroadcast(limit int) {
	if !p.active.Load() {
		return
	}
	type suspect struct {
		part    PartID
		crashes []uint32
	}
	p.update(func(u *partUpdate) {
		var suspects []suspect
		for part, r := range p.parts {
			if len(r.blamed) < minRebroadcastCrashes {
				continue
			}
			if c := p.counted(part); len(c) >= minRebroadcastCrashes {
				suspects = append(suspects, suspect{part, c})
			}
		}
		slices.SortFunc(suspects, func(a, b suspect) int { return len(b.crashes) - len(a.crashes) })
		for _, s := range suspects[:min(limit, len(suspects))] {
			p.sendEvidence(u, s.part, s.crashes)
		}
	})
}

// sendEvidence sends the runs of the newest crashes that count against a part, as many as lead to a refusal, and the state of
// its trials. The lock is held.
func (p *PartLedger) sendEvidence(u *partUpdate, part PartID, crashes []uint32) {
	for _, c := range crashes[max(len(crashes)-p.opts.MinCrashesProven, 0):] {
		for _, run := range p.crashes[c].runs {
			if slices.Contains(run, part) {
				u.sendBlame(c, p.crashes[c].at, run)
				break
			}
		}
	}
	r := p.parts[part]
	if r.proven {
		u.send(PartNotice{Kind: PartProven}, part)
	}
	if r.refused {
		u.send(PartNotice{Kind: PartTrialState, Crash: uint32(r.trials)}, part, PartID(r.nextTrial.UnixMilli()))
	}
}

// Restore refuses a part that was refused before this entry VM started, as another entry VM or an earlier process stored it.
func (p *PartLedger) Restore(s RefusedPart) {
	run := append([]PartID{s.Part}, s.Mates...)
	p.update(func(u *partUpdate) {
		u.restored = true
		for i, c := range s.Crashes { // their times are not stored
			p.blame(u, c, u.now.Add(-time.Duration(i)*crashesTogether), run)
		}
		if r := p.parts[s.Part]; r != nil {
			r.trials = max(r.trials, s.Trials)
			if s.NextTrial.After(r.nextTrial) {
				r.nextTrial = s.NextTrial
			}
		}
	})
}
