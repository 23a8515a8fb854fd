package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/tailscale/hujson"

	"bergamotcroft.example/bergamot/internal/bounded"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/topo"
)

// Fault is one fault of a settings file.
type Fault struct {
	Field   string
	Line    int // of the field, or of the object in which it is missing
	Code    result.Code
	Message string
}

func (f Fault) String() string {
	return fmt.Sprintf("line=%d field=%q code=%d name=%s message=%q", f.Line, f.Field, f.Code, f.Code.Info().Name, f.Message)
}

// Faults are all faults of a settings file. A list that is not empty is returned as an error.
type Faults []Fault

func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// maxFileBytes bounds a settings file; one with every setting has a few KB.
const maxFileBytes = 1 << 20

// Load reads a settings file.
func Load(file string) (*Settings, error) {
	b, err := bounded.ReadFile(file, maxFileBytes)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return Parse(b)
}

// Default returns the settings of an empty file, without the required fields.
func Default() *Settings {
	s := &Settings{}
	p := parser{lines: map[string]int{}}
	p.decodeObject(reflect.ValueOf(s).Elem(), "", nil, 0)
	return s
}

// Parse decodes and checks settings. The error is of type Faults.
func Parse(b []byte) (*Settings, error) {
	v, err := hujson.Parse(b)
	if err != nil {
		return nil, Faults{{Line: syntaxLine(err), Code: result.SettingSyntax, Message: err.Error()}}
	}
	s := &Settings{}
	p := parser{src: b, lines: map[string]int{}}
	p.decodeValue(reflect.ValueOf(s).Elem(), reflect.StructField{}, "", &v)
	p.checkSections(s)
	if len(p.faults) > 0 {
		return nil, p.faults
	}
	return s, nil
}

// syntaxLine parses the line number from the message of a syntax error, which has no field for it.
func syntaxLine(err error) int {
	_, rest, _ := strings.Cut(err.Error(), "line ")
	digits, _, _ := strings.Cut(rest, ",")
	n, _ := strconv.Atoi(digits)
	return n
}

type parser struct {
	src    []byte
	lines  map[string]int // line of each field that the file contains
	faults Faults
}

func (p *parser) lineOf(v *hujson.Value) int {
	return 1 + bytes.Count(p.src[:v.StartOffset], []byte("\n"))
}

func (p *parser) addFault(path string, line int, code result.Code, format string, args ...any) {
	p.faults = append(p.faults, Fault{path, line, code, fmt.Sprintf(format, args...)})
}

var (
	typeModule   = reflect.TypeFor[Module]()
	typeDuration = reflect.TypeFor[topo.Duration]()
)

// decodeValue decodes v into a field.
func (p *parser) decodeValue(into reflect.Value, field reflect.StructField, path string, v *hujson.Value) {
	p.lines[path] = p.lineOf(v)
	switch {
	case into.Type() == typeModule:
		p.decodeModule(into, path, v)
	case into.Kind() == reflect.Struct:
		o, ok := v.Value.(*hujson.Object)
		if !ok {
			p.addFault(path, p.lineOf(v), result.SettingInvalid, "must be an object")
			return
		}
		p.decodeObject(into, path, o, p.lineOf(v))
	case into.Kind() == reflect.Slice:
		p.decodeList(into, field, path, v)
	default:
		p.decodeScalar(into, field, path, v)
	}
}

// decodeObject decodes o, which may be nil, and sets the defaults of fields that it lacks.
func (p *parser) decodeObject(into reflect.Value, path string, o *hujson.Object, line int) {
	members := map[string]*hujson.Value{}
	if o != nil {
		for i := range o.Members {
			p.collectMember(into.Type(), path, &o.Members[i], members)
		}
	}
	for i := range into.NumField() {
		field := into.Type().Field(i)
		name := field.Tag.Get("json")
		full := joinPath(path, name)
		v, ok := members[name]
		switch {
		case ok:
			p.decodeValue(into.Field(i), field, full, v)
		case field.Tag.Get("required") != "" && o != nil:
			p.addFault(full, line, result.SettingMissing, "is required")
		default:
			p.setDefault(into.Field(i), field, full)
		}
	}
}

func (p *parser) collectMember(t reflect.Type, path string, m *hujson.ObjectMember, members map[string]*hujson.Value) {
	literal, _ := m.Name.Value.(hujson.Literal)
	name := literal.String()
	for i := range t.NumField() {
		if t.Field(i).Tag.Get("json") == name {
			if _, twice := members[name]; twice {
				p.addFault(joinPath(path, name), p.lineOf(&m.Name), result.SettingInvalid, "is given twice")
			}
			members[name] = &m.Value
			return
		}
	}
	p.addFault(joinPath(path, name), p.lineOf(&m.Name), result.SettingUnknownField, "no such setting")
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func (p *parser) setDefault(into reflect.Value, field reflect.StructField, path string) {
	text, ok := field.Tag.Lookup("default")
	switch {
	case into.Type() == typeModule:
		into.Set(reflect.ValueOf(Module{ID: text}))
	case into.Kind() == reflect.Struct:
		p.decodeObject(into, path, nil, 0)
	case ok:
		if err := setText(into, text); err != nil {
			panic(fmt.Sprintf("settings: default of %s: %v", path, err))
		}
	}
}

func setText(into reflect.Value, text string) error {
	if into.Type() == typeDuration {
		d, err := time.ParseDuration(text)
		into.SetInt(int64(d))
		return err
	}
	switch into.Kind() {
	case reflect.String:
		into.SetString(text)
		return nil
	case reflect.Int, reflect.Int64:
		n, err := strconv.ParseInt(text, 10, 64)
		into.SetInt(n)
		return err
	case reflect.Float64:
		f, err := strconv.ParseFloat(text, 64)
		into.SetFloat(f)
		return err
	case reflect.Bool:
		b, err := strconv.ParseBool(text)
		into.SetBool(b)
		return err
	}
	return errors.New("type has no text form")
}

func (p *parser) decodeList(into reflect.Value, field reflect.StructField, path string, v *hujson.Value) {
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		p.addFault(path, p.lineOf(v), result.SettingInvalid, "must be a list")
		return
	}
	for i := range a.Elements {
		e := reflect.New(into.Type().Elem()).Elem()
		p.decodeValue(e, field, fmt.Sprintf("%s[%d]", path, i), &a.Elements[i])
		into.Set(reflect.Append(into, e))
	}
}

func (p *parser) decodeModule(into reflect.Value, path string, v *hujson.Value) {
	clone := v.Clone()
	clone.Standardize()
	d := json.NewDecoder(bytes.NewReader(clone.Pack()))
	d.DisallowUnknownFields()
	var m Module
	if err := d.Decode(&m); err != nil {
		p.addFault(path, p.lineOf(v), result.SettingInvalid, "must be {\"module\": ID, \"settings\": {...}}: %v", err)
		return
	}
	if m.ID == "" {
		p.addFault(path+".module", p.lineOf(v), result.SettingMissing, "is required")
		return
	}
	into.Set(reflect.ValueOf(m))
}

func (p *parser) decodeScalar(into reflect.Value, field reflect.StructField, path string, v *hujson.Value) {
	l, ok := v.Value.(hujson.Literal)
	if !ok {
		p.addFault(path, p.lineOf(v), result.SettingInvalid, "must be %s", typeName(into.Type()))
		return
	}
	if err := setLiteral(into, l); err != nil {
		p.addFault(path, p.lineOf(v), result.SettingInvalid, "must be %s, not %s", typeName(into.Type()), l)
		return
	}
	if msg := outOfBounds(into, field); msg != "" {
		p.addFault(path, p.lineOf(v), result.SettingInvalid, "%s", msg)
	}
}

func setLiteral(into reflect.Value, l hujson.Literal) error {
	if l.Kind() == 'n' {
		return errors.New("null")
	}
	if into.Type() == typeDuration {
		if l.Kind() != '"' {
			return errors.New("not a string")
		}
		return setText(into, l.String())
	}
	return json.Unmarshal(l, into.Addr().Interface())
}

// outOfBounds returns the message for a value that is not allowed, or "".
func outOfBounds(v reflect.Value, field reflect.StructField) string {
	if list := field.Tag.Get("oneof"); list != "" {
		for s := range strings.FieldsSeq(list) {
			if v.String() == s {
				return ""
			}
		}
		return "must be one of " + list
	}
	for _, bound := range []struct {
		tag  string
		sign int
		word string
	}{{"min", -1, "at least"}, {"max", 1, "at most"}} {
		text, ok := field.Tag.Lookup(bound.tag)
		if !ok {
			continue
		}
		limit := reflect.New(v.Type()).Elem()
		if err := setText(limit, text); err != nil {
			panic("settings: bound of " + field.Name)
		}
		if compare(v, limit) == bound.sign {
			return "must be " + bound.word + " " + text
		}
	}
	return ""
}

func compare(a, b reflect.Value) int {
	x, y := a.Convert(reflect.TypeFor[float64]()).Float(), b.Convert(reflect.TypeFor[float64]()).Float()
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	}
	return 0
}

func typeName(t reflect.Type) string {
	switch {
	case t == typeDuration:
		return "a duration such as \"1.5s\""
	case t == typeModule:
		return "a module"
	}
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice:
		return "a list"
	}
	return "an object"
}
