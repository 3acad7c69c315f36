// Package platform is the client of the platform's service, which provides a
// key-value store and the list of VMs. The list may lag behind the real state.
package platform

import (
	"context"
	"net/netip"
	"time"
)

// Entry is a key of the store with its value. Revision increases with each write of
// the key and is 0 for a key that does not exist.
type Entry struct {
	Key      string
	Value    []byte
	Revision uint64
	Found    bool
}

// Store is the platform's service as used by the proxy.
type Store interface {
	// Get reads a key. A key that does not exist is not an error.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes a key if it has the expected revision, or if it does not
	// exist and expectedRevision is 0. It returns the entry after the call and
	// whether it was written. An *OutcomeUnknownError means that the write may have
	// taken effect; the caller has to read the key to find out.
	CompareAndSwap(ctx context.Context, key string, value []byte, expectedRevision uint64) (entry Entry, swapped bool, err error)
	// Watch waits until the key's revision is higher than afterRevision. If that
	// does not happen within the wait time, it returns with changed false.
	Watch(ctx context.Context, key string, afterRevision uint64, wait time.Duration) (entry Entry, changed bool, err error)
	// ListVMs returns the platform's list of VMs.
	ListVMs(ctx context.Context) ([]VM, error)
}

// VM is an entry of the platform's list of VMs.
type VM struct {
	Name        string
	DataCentre  string
	PeerAddress netip.AddrPort
	Leaving     bool
}
