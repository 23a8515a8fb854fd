package plan

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/topo"
)

// HeadName is the name of the base that stands for the configuration. Its version is the revision.
const HeadName = "head"

// Bases returns the versions that a plan depends on: the part of the configuration that it uses, and the status and last order
// of each upstream that it changes.
//
// The configuration is compared by a digest of this part. With several thousand changes a day, most plans would otherwise be
// refused before an operator has read them.
func Bases(p *topo.Plan, s Snapshot) []topo.Base {
	bases := []topo.Base{{
		Kind: topo.KindConfiguration, Name: HeadName, Version: s.Configuration.Revision, Digest: Digest(p, s.Configuration),
	}}
	for _, n := range p.Upstreams() {
		for _, kind := range []string{topo.KindUpstream, topo.KindOrder} {
			bases = append(bases, topo.Base{Kind: kind, Name: n, Version: s.Versions[Object{kind, n}]})
		}
	}
	return bases
}

// Digest returns a hash of the part of the configuration that a plan uses: the upstreams in its scope, and for each model that
// it serves the model and the named accounts.
func Digest(p *topo.Plan, c *topo.Configuration) string {
	part := topo.Configuration{}
	scope := Scope(c, p.Upstreams())
	for _, u := range c.Upstreams {
		if slices.Contains(scope, u.Name) {
			u.State = StateOf(&u)
			u.Role = RoleOf(&u)
			part.Upstreams = append(part.Upstreams, u)
		}
	}
	for _, s := range p.Intent.Serve {
		for _, m := range c.Models {
			if m.Name == s.Model {
				part.Models = append(part.Models, m)
			}
		}
		for _, a := range c.Accounts {
			if slices.Contains(s.Callers, a.Caller) {
				part.Accounts = append(part.Accounts, a)
			}
		}
	}
	b, err := topo.Encode(part)
	if err != nil {
		return "" // differs from every digest, so the plan is refused
	}
	return fmt.Sprintf("%016x", xxhash.Sum64(b))
}

// ChangedBases returns the bases of a plan that have changed in the current snapshot.
func ChangedBases(p *topo.Plan, s Snapshot) []topo.Move {
	var moves []topo.Move
	for _, b := range p.Bases {
		if b.Kind == topo.KindConfiguration {
			if d := Digest(p, s.Configuration); d == "" || d != b.Digest {
				moves = append(moves, topo.Move{Kind: b.Kind, Name: b.Name, From: b.Version, To: s.Configuration.Revision, By: s.Configuration.Author})
			}
			continue
		}
		if v := s.Versions[Object{b.Kind, b.Name}]; v != b.Version {
			moves = append(moves, topo.Move{Kind: b.Kind, Name: b.Name, From: b.Version, To: v, By: lastWriter(s, b)})
		}
	}
	return moves
}

// lastWriter returns the author of the changed object, or "" if it is unknown.
func lastWriter(s Snapshot, b topo.Base) string {
	if b.Kind == topo.KindUpstream {
		return s.Status[b.Name].Author
	}
	o, ok := s.Orders[b.Name]
	if !ok {
		return ""
	}
	return fmt.Sprintf("order %s of plan %s", o.ID, o.Plan)
}

// ChangedBasesError returns an error that lists the changed bases for the operator, or nil when there are none.
func ChangedBasesError(plan string, moves []topo.Move) error {
	if len(moves) == 0 {
		return nil
	}
	texts := make([]string, len(moves))
	for i, m := range moves {
		by := m.By
		if by == "" {
			by = "an unknown writer"
		}
		texts[i] = fmt.Sprintf("%s %q moved from version %d to %d by %s", m.Kind, m.Name, m.From, m.To, by)
	}
	return result.New(result.PlanBaseMoved, "plan %s was computed from older objects: %s", plan, strings.Join(texts, "; "))
}
