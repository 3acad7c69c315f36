// Package platform is the client of the platform's service: the key-value store
// and the lagging list of VMs.
package platform

import (
	"context"
	"net/netip"
	"time"
)

// Entry is one key of the store. Revision rises with each write of the key and
// is 0 for a key that does not exist.
type Entry struct {
	Key      string
	Value    []byte
	Revision uint64
	Found    bool
}

// Store is the platform's service as the parts of the proxy use it.
type Store interface {
	// Get reads a key; a key that does not exist is not an error.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes a key if its revision is the expected one (0: the
	// key must not exist) and returns the entry as it is after the call. An
	// *OutcomeUnknownError says that the write may have happened: read it back.
	CompareAndSwap(ctx context.Context, key string, value []byte, expected uint64) (entry Entry, swapped bool, err error)
	// Watch returns once the key's revision has passed the given one, or after
	// the wait with changed unset.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (entry Entry, changed bool, err error)
	// ListVMs returns the platform's list.
	ListVMs(ctx context.Context) ([]VM, error)
}

// VM is one entry of the platform's list.
type VM struct {
	Name        string
	DataCentre  string
	PeerAddress netip.AddrPort
	Leaving     bool
}
