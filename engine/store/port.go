// Package store synchronizes this VM with the platform's key-value store: it reads the
// operators' configuration and the endpoints' status reports, and maintains the
// registrations of the fleet's VMs. In a large region only a few VMs, the readers, read
// the store; the others obtain its data from them.
// Changes that a VM does not get from the store in time arrive from other VMs by gossip.
package store

import (
	"context"
	"errors"
	"time"

	"amaranthdock.dev/engine/catalog"
)

var (
	// ErrCompacted means that the store has compacted the history after the requested
	// revision. The caller has to read the current state again.
	ErrCompacted = errors.New("the store has compacted the history after this revision")
	// ErrConflict means that a condition of the change was not met and nothing was
	// written. A *ConflictError wraps it.
	ErrConflict = errors.New("a condition of the change was not met")
	// ErrLeaseExpired means that the lease does not exist or has expired.
	ErrLeaseExpired = errors.New("the lease has expired")
	// ErrOutcomeUnknown means that the change may have been applied, or may still be
	// applied.
	ErrOutcomeUnknown = errors.New("the outcome of the change is unknown")
)

// ConflictError is returned for a change of which a condition was not met. It wraps ErrConflict.
type ConflictError struct {
	// Revisions holds the current revisions of the keys of the conditions; 0 for keys that do
	// not exist.
	Revisions map[string]uint64
}

// Error implements error.
func (e *ConflictError) Error() string { return ErrConflict.Error() }

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// Item is a key-value pair and the revision of its last modification.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
}

// Condition requires a key to be at a revision; 0 requires that it does not exist.
type Condition struct {
	Key      string
	Revision uint64
}

// Write sets the value of a key.
type Write struct {
	Key   string
	Value []byte
	// Lease is the lease whose end deletes the key; 0 for none.
	Lease uint64
}

// Change is a set of writes and deletions that is applied atomically if all conditions
// are met.
type Change struct {
	Conditions []Condition
	Writes     []Write
	Removals   []string
}

// Store is the key-value store that holds the fleet's own data.
type Store interface {
	// Get reads a key; it returns false if the key does not exist.
	Get(ctx context.Context, key string) (Item, bool, error)
	// Range reads all keys with a prefix and returns the store's revision at the time
	// of the first page. A stale read may return data that is seconds old and costs a
	// tenth of a current one.
	Range(ctx context.Context, prefix string, stale bool) ([]Item, uint64, error)
	// Commit applies a change and returns its revision. It returns a *ConflictError,
	// ErrLeaseExpired, ErrOutcomeUnknown, or another error if nothing was written.
	Commit(ctx context.Context, change Change) (uint64, error)
	// GrantLease creates a lease with a TTL. It returns the lease and the TTL that the
	// store granted.
	GrantLease(ctx context.Context, ttl time.Duration) (uint64, time.Duration, error)
	// RenewLease renews a lease; it returns ErrLeaseExpired if the lease has expired.
	RenewLease(ctx context.Context, lease uint64) error
	// RevokeLease revokes a lease, which deletes its keys.
	RevokeLease(ctx context.Context, lease uint64) error
}

// ConfigurationSource provides the configuration that operators have declared.
type ConfigurationSource interface {
	// Read returns the latest configuration and the store's revision; nil if there is
	// no configuration yet.
	Read(ctx context.Context) (*catalog.Configuration, uint64, error)
	// Watch waits until the timeout for a configuration that is newer than a revision.
	// It returns nil if there is none, and ErrCompacted if the caller has to use Read.
	Watch(ctx context.Context, after uint64, timeout time.Duration) (*catalog.Configuration, uint64, error)
}

// ReportSource provides the status reports of the endpoints.
type ReportSource interface {
	// Read returns all reports. A stale read may return data that is seconds old and
	// costs a tenth of a current one.
	Read(ctx context.Context, stale bool) (*catalog.EndpointSnapshot, error)
}
