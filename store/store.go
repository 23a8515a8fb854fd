// Package store is the interface to the platform's object store, which has versions, conditional updates and watches, and
// to the platform's list of VMs, which lags behind their state.
//
// Every call counts against the platform's rate limits; a watch counts as one call. A write whose answer is lost returns
// ErrOutcomeUnknown; the writer settles the outcome by reading back its own mark.
package store

import (
	"context"
	"errors"
)

// Errors of the store.
var (
	ErrNotFound       = errors.New("object not found")
	ErrConflict       = errors.New("object version has changed")
	ErrRateLimited    = errors.New("store rate limit reached") // the call had no effect
	ErrUnavailable    = errors.New("store unavailable")        // the call had no effect
	ErrOutcomeUnknown = errors.New("outcome of the write is unknown")
	ErrTooLarge       = errors.New("value exceeds the store's limit")
	ErrWatchGap       = errors.New("watch has missed events") // the objects must be listed again
)

// MaxValueBytes is the largest value that the store accepts.
const MaxValueBytes = 1 << 20

// Object is one stored value.
type Object struct {
	Kind    string
	Name    string
	Version uint64 // grows with each write of this object; 0 before the first
	Writer  string // mark, unique for each write, by which a write with a lost answer is recognised
	Value   []byte
}

// Event is a change reported by a watch.
type Event struct {
	Object  Object
	Deleted bool
}

// VMState is the platform's view of a VM.
type VMState string

// The states in the VM list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is an entry of the platform's VM list, which lags behind the VMs' state. It has entry VMs and upstream VMs.
type VM struct {
	Name       string  `json:"name"`
	Address    string  `json:"address"` // IP
	DataCentre string  `json:"data_centre"`
	State      VMState `json:"state"`
	Upstream   bool    `json:"upstream"` // an upstream VM, not an entry VM
}

// Store is the object API. Implementations are safe for concurrent use.
type Store interface {
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List returns the objects of a kind whose names begin with prefix, and the revision to watch from.
	List(ctx context.Context, kind, prefix string) ([]Object, uint64, error)
	// Put writes o if the stored version equals o.Version (0: the object must not exist) and returns the new version.
	// o.Writer must be unique for this write; Put fills it in when it is empty.
	Put(ctx context.Context, o Object) (uint64, error)
	// Delete removes an object if its version equals version.
	Delete(ctx context.Context, kind, name string, version uint64) error
	// Watch waits until objects of a kind have changed after revision from, and returns the changes and the revision to
	// continue from. It returns no events when the server-side timeout expires, and ErrWatchGap when events were dropped.
	Watch(ctx context.Context, kind string, from uint64) ([]Event, uint64, error)
	// VMs returns the platform's VM list.
	VMs(ctx context.Context) ([]VM, error)
}
