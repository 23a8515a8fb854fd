package ctl

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"bergamotcroft.example/bergamot/admin"
)

// Guards against commands in the operators' guide (docs/administration.md) that fail when they are run as printed.
func TestCommandsOfTheGuide(t *testing.T) {
	t.Chdir("..")
	guide, err := os.ReadFile("docs/administration.md")
	if err != nil {
		t.Fatal(err)
	}
	f := newFleet(t)
	name, ran := "", 0
	for line := range strings.SplitSeq(string(guide), "\n") {
		command, ok := strings.CutPrefix(line, "$ bergamotctl ")
		if !ok {
			continue
		}
		status, out, errs := f.ctl(admin.RoleAdmin, strings.Fields(strings.ReplaceAll(command, "PLAN", name))...)
		if status != exitOK {
			t.Fatalf("%s (plan %s): status %d\n%s%s", command, name, status, out, errs)
		}
		t.Logf("$ bergamotctl %s\n%s", command, out)
		if m := regexp.MustCompile(`^plan (p[0-9a-f-]+) for`).FindStringSubmatch(out); m != nil {
			name = m[1]
		}
		ran++
	}
	if ran < 15 {
		t.Errorf("only %d commands found", ran)
	}
}
