package settings

import (
	"net"
	"net/netip"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"bergamotcroft.example/bergamot/addresses"
	"bergamotcroft.example/bergamot/kernel"
	"bergamotcroft.example/bergamot/result"
)

// checkSections runs checkCombinations and drops the faults that it finds in sections with an invalid field: such a field
// holds its default, so that these faults would mislead.
func (p *parser) checkSections(s *Settings) {
	wrong := map[string]bool{}
	for _, f := range p.faults {
		if f.Code != result.SettingUnknownField {
			wrong[section(f.Field)] = true
		}
	}
	before := len(p.faults)
	p.checkCombinations(s)
	found := slices.DeleteFunc(slices.Clone(p.faults[before:]), func(f Fault) bool { return wrong[section(f.Field)] })
	p.faults = append(p.faults[:before], found...)
}

// section returns the first element of a field's path.
func section(field string) string {
	first, _, _ := strings.Cut(field, ".")
	return first
}

// checkCombinations checks the rules that depend on several fields or on the registered modules.
func (p *parser) checkCombinations(s *Settings) {
	for _, a := range []struct{ path, address string }{
		{"callers.listen", s.Callers.Listen}, {"callers.advertise", s.Callers.Advertise}, {"operators.listen", s.Operators.Listen},
		{"metrics.listen", s.Metrics.Listen},
	} {
		p.checkAddress(a.path, a.address)
	}
	p.checkPeerAddress("peers.listen", s.Peers.Listen)
	p.checkPeerAddress("peers.advertise", s.Peers.Advertise)
	for _, seed := range s.Peers.Seeds {
		if !p.checkPeerAddress("peers.seeds", seed) {
			break
		}
	}
	p.checkKeyPair("callers", s.Callers.Certificate, s.Callers.Key)
	p.checkKeyPair("operators", s.Operators.Certificate, s.Operators.Key)
	if s.Peers.Listen != "" && s.Peers.Secret == "" {
		p.addFault("peers.secret", p.lines["peers"], result.SettingMissing, "is required with peers.listen")
	}
	if s.Platform.URL != "" && s.Platform.Configuration != "" {
		p.addFault("platform.configuration", p.lines["platform.configuration"], result.SettingInvalid, "can't be given beside platform.url")
	}
	if s.Gateway.DefaultDeadline > s.Gateway.MaxDeadline {
		p.addFault("gateway.default_deadline", p.lines["gateway.default_deadline"], result.SettingInvalid, "must be at most gateway.max_deadline")
	}
	o := addresses.Options{Drain: s.Shutdown.Drain.D(), Spread: s.Shutdown.Spread.D(), Finish: s.Shutdown.Finish.D()}
	if err := o.Validate(); err != nil && !s.Shutdown.Unlisted {
		p.addFault("shutdown.drain", p.lines["shutdown.drain"], result.SettingInvalid, "%v", trace.UserMessage(err))
	}
	if _, err := s.Control.Credits.ExpiresAt(); err != nil {
		p.addFault("control.credits.expires", p.lines["control.credits.expires"], result.SettingInvalid, "must be a time in RFC 3339")
	}
	p.checkModule("policies.routing", s.Policies.Routing)
	p.checkModule("policies.admission", s.Policies.Admission)
	p.checkModule("policies.health", s.Policies.Health)
	p.checkModule("policies.retry", s.Policies.Retry)
	p.checkModule("policies.roles", s.Policies.Roles)
}

func (p *parser) checkAddress(path, address string) {
	if address == "" {
		return
	}
	if _, _, err := net.SplitHostPort(address); err != nil {
		p.addFault(path, p.lines[path], result.SettingInvalid, "must be host:port")
	}
}

// checkPeerAddress reports whether the address is valid. Host names are not, since heartbeats are only sent to IP
// addresses and dropped for others. An empty address is valid except as a seed.
func (p *parser) checkPeerAddress(path, address string) bool {
	if address == "" && path != "peers.seeds" {
		return true
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		p.addFault(path, p.lines[path], result.SettingInvalid, "must be an IP address and a port")
		return false
	}
	return true
}

func (p *parser) checkKeyPair(path, certificate, key string) {
	if (certificate == "") != (key == "") {
		p.addFault(path+".certificate", p.lines[path], result.SettingInvalid, "certificate and key must be given together")
	}
}

// checkModule loads a module with its settings and unloads it again.
func (p *parser) checkModule(path string, m Module) {
	ids := kernel.IDs(strings.TrimPrefix(path, "policies."))
	if !slices.Contains(ids, m.ID) {
		p.addFault(path, p.lines[path], result.ModuleUnknown, "no module %q; there are: %s", m.ID, strings.Join(ids, ", "))
		return
	}
	loaded, err := kernel.Load[kernel.Module](m.ID, m.Settings)
	if err == nil {
		err = kernel.Unload(loaded)
	}
	if err != nil {
		p.addFault(path, p.lines[path], result.SettingInvalid, "%v", err)
	}
}
