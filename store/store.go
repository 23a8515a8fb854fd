// Package store is the narrow interface to an object store with versions, conditional updates and watches,
// and a lagging list of VMs.
//
// Every call counts against the platform's rates, a waiting watch as one. A write whose answer is lost returns
// ErrOutcomeUnknown; the writer settles it by reading back its own mark, never by guessing.
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
	ErrWatchGap       = errors.New("watch has missed events") // list again
)

// MaxValueBytes is the largest value that the store accepts.
const MaxValueBytes = 1 << 20

// Object is one stored value.
type Object struct {
	Kind    string
	Name    string
	Version uint64 // grows with each write of this object; 0 before the first
	Writer  string // mark of the write, unique for each write, used to settle a lost answer
	Value   []byte
}

// Event is a change seen by a watch.
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

// VM is an entry of the platform's list, which lags behind reality. It lists entry VMs and upstream VMs.
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
	// Watch waits until objects of a kind have changed after revision from, and returns the changes and the next revision. It
	// returns no events when its server-side timeout passes, and ErrWatchGap when events were dropped.
	Watch(ctx context.Context, kind string, from uint64) ([]Event, uint64, error)
	// VMs returns the platform's VM list.
	VMs(ctx context.Context) ([]VM, error)
}
