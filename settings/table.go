package settings

import (
	"fmt"
	"reflect"
	"strings"
)

// Table returns docs/settings.md.
func Table() string {
	var b strings.Builder
	b.WriteString(`# Settings of bergamotd

The file is JSON with comments. Unknown fields are errors. ` + "`bergamotd check --config FILE`" + ` reports every fault with its field,
line and result code. This page is generated from package settings; ` + "`go test ./settings -update`" + ` writes it.

| field | type | default | bounds | meaning |
|---|---|---|---|---|
`)
	writeRows(&b, reflect.TypeFor[Settings](), "")
	return b.String()
}

func writeRows(b *strings.Builder, t reflect.Type, path string) {
	for i := range t.NumField() {
		f := t.Field(i)
		full := joinPath(path, f.Tag.Get("json"))
		if f.Type.Kind() == reflect.Struct && f.Type != typeModule {
			writeRows(b, f.Type, full)
			continue
		}
		fmt.Fprintf(b, "| `%s` | %s | %s | %s | %s |\n", full, typeName(f.Type), defaultOf(f), boundsOf(f), f.Tag.Get("doc"))
		if f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct {
			writeRows(b, f.Type.Elem(), full+"[]")
		}
	}
}

func defaultOf(f reflect.StructField) string {
	if f.Tag.Get("required") != "" {
		return "required"
	}
	if d := f.Tag.Get("default"); d != "" {
		return "`" + d + "`"
	}
	return ""
}

func boundsOf(f reflect.StructField) string {
	if list := f.Tag.Get("oneof"); list != "" {
		return strings.ReplaceAll(list, " ", ", ")
	}
	low, hasLow := f.Tag.Lookup("min")
	high, hasHigh := f.Tag.Lookup("max")
	switch {
	case hasLow && hasHigh:
		return low + " to " + high
	case hasLow:
		return "from " + low
	case hasHigh:
		return "to " + high
	}
	return ""
}
