// Package kernel holds the module registry and the life cycle of modules. It depends on no feature package.
//
// A feature package registers a module in init under a dotted ID such as "routing.prefix_affinity". Settings name a module by
// that ID. Load decodes the module's settings strictly, then provisions and validates the module. A module that fails to
// provision or validate is cleaned up and not returned, so a faulty configuration replaces no running module.
package kernel

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"

	"github.com/gravitational/trace"

	"bergamotcroft.example/bergamot/result"
)

// Info holds the ID of a module and its constructor.
type Info struct {
	ID  string        // dotted, for example "routing.round_robin"
	New func() Module // returns a pointer that JSON settings decode into
}

// Module is a plug-in.
type Module interface {
	ModuleInfo() Info
}

// Provisioner is a module that sets itself up after its settings are decoded.
type Provisioner interface{ Provision() error }

// Validator is a module that checks itself after Provision.
type Validator interface{ Validate() error }

// Cleaner is a module that releases the resources acquired by Provision.
type Cleaner interface{ Cleanup() error }

var (
	mu      sync.RWMutex
	modules = map[string]Info{}
)

// Register adds a module. It panics on an empty or repeated ID, since that is a programming error.
func Register(m Module) {
	info := m.ModuleInfo()
	if info.ID == "" || info.New == nil {
		panic("kernel: module without ID or constructor")
	}
	mu.Lock()
	defer mu.Unlock()
	if _, ok := modules[info.ID]; ok {
		panic("kernel: module registered twice: " + info.ID)
	}
	modules[info.ID] = info
}

// IDs returns the sorted IDs in a namespace; "routing" matches "routing.round_robin".
func IDs(namespace string) []string {
	mu.RLock()
	defer mu.RUnlock()
	var ids []string
	for id := range modules {
		if strings.HasPrefix(id, namespace+".") {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Load constructs the module with this ID, decodes raw into it (nil or empty: defaults), provisions and validates it.
func Load[T any](id string, raw json.RawMessage) (T, error) {
	var zero T
	mu.RLock()
	info, ok := modules[id]
	mu.RUnlock()
	if !ok {
		return zero, result.New(result.ModuleUnknown, "module %q is not registered", id)
	}
	m := info.New()
	t, ok := m.(T)
	if !ok {
		return zero, result.New(result.ModuleUnknown, "module %q is a %T and can't be used here", id, m)
	}
	if err := decode(raw, m); err != nil {
		return zero, result.New(result.SettingInvalid, "settings of module %q: %v", id, err)
	}
	if err := provisionAndValidate(m); err != nil {
		return zero, trace.Wrap(errors.Join(err, Unload(m)), "module %q", id)
	}
	return t, nil
}

// Unload cleans up a module returned by Load.
func Unload(m any) error {
	if c, ok := m.(Cleaner); ok {
		return c.Cleanup()
	}
	return nil
}

func provisionAndValidate(m Module) error {
	if p, ok := m.(Provisioner); ok {
		if err := p.Provision(); err != nil {
			return fmt.Errorf("provision: %w", err)
		}
	}
	if v, ok := m.(Validator); ok {
		if err := v.Validate(); err != nil {
			return fmt.Errorf("validate: %w", err)
		}
	}
	return nil
}

func decode(raw json.RawMessage, m Module) error {
	if len(bytes.TrimSpace(raw)) == 0 {
		return nil
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(m); err != nil {
		return err
	}
	if _, err := d.Token(); err != io.EOF {
		return errors.New("data after the settings object")
	}
	return nil
}
