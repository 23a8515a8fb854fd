// Package accounts finds the account of a caller by its API key.
package accounts

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/gravitational/trace"

	"bergamotcroft.example/bergamot/topo"
)

// Index finds accounts by the SHA-256 of their API keys. It is immutable, holds no key, and a nil Index has no accounts.
type Index struct {
	// Hashes are grouped by their first bytes and compared whole in constant time.
	byPrefix map[uint64][]entry
}

type entry struct {
	hash    [sha256.Size]byte
	account *topo.Account
}

// New returns the index of a list of accounts, which must not be changed afterwards. Hashes that can't be read are left out and
// reported by the error; the index is valid nevertheless. A key that is listed for several accounts belongs to the last one.
func New(list []topo.Account) (*Index, error) {
	x := &Index{byPrefix: make(map[uint64][]entry, len(list))}
	var faulty []string
	for i := range list {
		for _, text := range list[i].KeySHA {
			var hash [sha256.Size]byte
			if n, err := hex.Decode(hash[:], []byte(text)); err != nil || n != sha256.Size {
				faulty = append(faulty, list[i].Caller)
				continue
			}
			x.add(hash, &list[i])
		}
	}
	if len(faulty) > 0 {
		return x, trace.BadParameter("accounts with a key hash that is no SHA-256 in hexadecimal: %.200q", faulty)
	}
	return x, nil
}

func (x *Index) add(hash [sha256.Size]byte, a *topo.Account) {
	prefix := prefixOf(&hash)
	group := x.byPrefix[prefix]
	for i := range group {
		if group[i].hash == hash {
			group[i].account = a
			return
		}
	}
	x.byPrefix[prefix] = append(group, entry{hash, a})
}

func prefixOf(hash *[sha256.Size]byte) uint64 { return binary.BigEndian.Uint64(hash[:]) }

// Lookup returns the account of an API key.
func (x *Index) Lookup(key string) (*topo.Account, bool) {
	if x == nil || key == "" {
		return nil, false
	}
	hash := sha256.Sum256([]byte(key))
	var found *topo.Account
	for _, e := range x.byPrefix[prefixOf(&hash)] {
		if subtle.ConstantTimeCompare(e.hash[:], hash[:]) == 1 {
			found = e.account
		}
	}
	return found, found != nil
}

// Named returns the account of this name that has a key. It goes through all accounts.
func (x *Index) Named(name string) (*topo.Account, bool) {
	if x == nil || name == "" {
		return nil, false
	}
	for _, group := range x.byPrefix {
		for i := range group {
			if group[i].account.Caller == name {
				return group[i].account, true
			}
		}
	}
	return nil, false
}

// HashKey returns the SHA-256 of an API key in the form of topo.Account.KeySHA.
func HashKey(key string) string {
	hash := sha256.Sum256([]byte(key))
	return hex.EncodeToString(hash[:])
}

// BearerKey returns the API key in the value of an Authorization header, or "" if it has none.
func BearerKey(authorization string) string {
	key, ok := strings.CutPrefix(authorization, "Bearer ")
	if !ok {
		return ""
	}
	return key
}
