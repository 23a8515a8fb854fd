package settings_test

import (
	"errors"
	"flag"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/settings"

	_ "bergamotcroft.example/bergamot/policy/admission"
	_ "bergamotcroft.example/bergamot/policy/health"
	_ "bergamotcroft.example/bergamot/policy/retry"
	_ "bergamotcroft.example/bergamot/policy/roles"
	_ "bergamotcroft.example/bergamot/policy/routing"
)

var update = flag.Bool("update", false, "write docs/settings.md")

// Guards against a settings page that no longer matches the code.
func TestPageMatchesTable(t *testing.T) {
	const page = "../docs/settings.md"
	if *update {
		if err := os.WriteFile(page, []byte(settings.Table()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	b, err := os.ReadFile(page)
	if err != nil || string(b) != settings.Table() {
		t.Fatalf("%s differs from the struct table (%v); run go test ./settings -update", page, err)
	}
}

// Guards against a fault that hides later ones, and against faults without field, line or code.
func TestEveryFaultIsReported(t *testing.T) {
	is := is.New(t)
	_, err := settings.Parse([]byte(`{
  // no name
  "data_centre": "wien-a",
  "callers": {"listen": "127.0.0.1:80", "max_body_bytes": 1, "colour": "red"},
  "gateway": {"queue": "many", "default_deadline": 5},
  "log": {"level": "loud"},
  "operators": {"keys": [{"operator": "o", "key_sha256": "00", "role": "king"}]},
  "shutdown": [],
}`))
	var faults settings.Faults
	is.True(errors.As(err, &faults))
	var got []string
	for _, f := range faults {
		got = append(got, f.String()[:strings.Index(f.String(), " name=")])
	}
	is.Equal(got, []string{
		`line=1 field="name" code=6003`,
		`line=6 field="log.level" code=6002`,
		`line=4 field="callers.colour" code=6001`,
		`line=4 field="callers.max_body_bytes" code=6002`,
		`line=7 field="operators.keys[0].role" code=6002`,
		`line=5 field="gateway.default_deadline" code=6002`,
		`line=5 field="gateway.queue" code=6002`,
		`line=8 field="shutdown" code=6002`,
	})
}

// Guards against settings that are valid by themselves but contradict one another, and against unknown modules.
func TestFieldsTogether(t *testing.T) {
	for name, c := range map[string]struct {
		body  string
		field string
		code  result.Code
	}{
		"syntax":                  {`{"name": `, "", result.SettingSyntax},
		"drain too short":         {`"shutdown": {"drain": "10s", "finish": "45s"}`, "shutdown.drain", result.SettingInvalid},
		"key without certificate": {`"callers": {"key": "k.pem"}`, "callers.certificate", result.SettingInvalid},
		"peers without secret":    {`"peers": {"listen": "127.0.0.1:1"}`, "peers.secret", result.SettingMissing},
		"unknown module":          {`"policies": {"routing": {"module": "routing.best"}}`, "policies.routing", result.ModuleUnknown},
		"module setting":          {`"policies": {"routing": {"module": "routing.round_robin", "settings": {"x": 1}}}`, "policies.routing", result.SettingInvalid},
		"peer listener by name":   {`"peers": {"listen": "localhost:1", "secret": "s"}`, "peers.listen", result.SettingInvalid},
		"peer without an IP":      {`"peers": {"listen": ":7601", "secret": "s"}`, "peers.listen", result.SettingInvalid},
		"advertised by name":      {`"peers": {"advertise": "vm1.wien:7601"}`, "peers.advertise", result.SettingInvalid},
		"seed by name":            {`"peers": {"seeds": ["10.0.0.1:7601", "vm2.wien:7601"]}`, "peers.seeds", result.SettingInvalid},
		"address":                 {`"callers": {"listen": "8080"}`, "callers.listen", result.SettingInvalid},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			body := c.body
			if c.code != result.SettingSyntax {
				body = `{"name": "v", "data_centre": "d", ` + body + `}`
			}
			_, err := settings.Parse([]byte(body))
			var faults settings.Faults
			is.True(errors.As(err, &faults))
			is.Equal(len(faults), 1)
			is.Equal(faults[0].Field, c.field)
			is.Equal(faults[0].Code, c.code)
			is.True(faults[0].Line > 0)
		})
	}
}

// Guards against defaults outside their own bounds.
func TestDefaultsAreValid(t *testing.T) {
	is := is.New(t)
	s, err := settings.Parse([]byte(`{"name": "v", "data_centre": "d"}`))
	is.NoErr(err)
	d := settings.Default()
	d.Name, d.DataCentre = "v", "d"
	is.Equal(s, d)
}

// Guards against a fault that is reported only after others are corrected, and against one that only follows from another.
func TestFaultsOfAllKindsAreReportedTogether(t *testing.T) {
	is := is.New(t)
	_, err := settings.Parse([]byte(`{
  "name": "v1", "bogus": 1,
  "callers": {"listen": "nonsense"},
  "gateway": {"max_deadline": "never"},
  "policies": {"routing": {"module": "routing.none"}},
}`))
	var faults settings.Faults
	is.True(errors.As(err, &faults))
	var got []string
	for _, f := range faults {
		got = append(got, f.Field)
	}
	slices.Sort(got)
	is.Equal(got, []string{"bogus", "callers.listen", "data_centre", "gateway.max_deadline", "policies.routing"})
}
