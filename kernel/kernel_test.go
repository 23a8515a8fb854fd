package kernel

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/result"
)

type sample struct {
	Size int `json:"size"`
}

func (*sample) ModuleInfo() Info {
	return Info{ID: "test.sample", New: func() Module { return &sample{} }}
}

func (s *sample) Validate() error {
	if s.Size < 0 {
		return errors.New("size is negative")
	}
	return nil
}

func (s *sample) Cleanup() error {
	lastCleaned = s
	return nil
}

var lastCleaned *sample

func init() { Register(&sample{}) }

// Guards against ignoring a misspelt setting or module, or data after the settings.
func TestLoadRefusesUnknownFieldsAndModules(t *testing.T) {
	is := is.New(t)
	_, err := Load[*sample]("test.sample", json.RawMessage(`{"sise":1}`))
	is.Equal(result.CodeOf(err), result.SettingInvalid)
	_, err = Load[*sample]("test.none", nil)
	is.Equal(result.CodeOf(err), result.ModuleUnknown)
	_, err = Load[*sample]("test.sample", json.RawMessage(`{"size":1} {}`))
	is.Equal(result.CodeOf(err), result.SettingInvalid)
}

// Guards against a module that keeps its resources after it has failed validation.
func TestLoadCleansUpAfterFailedValidation(t *testing.T) {
	is := is.New(t)
	lastCleaned = nil
	_, err := Load[*sample]("test.sample", json.RawMessage(`{"size":-1}`))
	is.True(err != nil)
	is.True(lastCleaned != nil)

	m, err := Load[*sample]("test.sample", json.RawMessage(`{"size":3}`))
	is.NoErr(err)
	is.Equal(m.Size, 3)
}
