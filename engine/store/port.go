// Package store keeps this VM in step with the platform's store: the operators'
// configuration, the endpoints' reports and the fleet's registrations. What the
// store does not tell in time is learned from other VMs.
package store

import (
	"context"
	"errors"
	"time"

	"amaranthdock.dev/engine/catalog"
)

var (
	// ErrCompacted means that the history after the revision is gone; read anew.
	ErrCompacted = errors.New("the store has dropped this history")
	// ErrConflict means that a condition of a change did not hold; nothing was done.
	ErrConflict = errors.New("a condition of the change does not hold")
	// ErrLeaseExpired means that the lease has ended.
	ErrLeaseExpired = errors.New("the lease has ended")
	// ErrOutcomeUnknown means that the change may have been made, or may still be made.
	ErrOutcomeUnknown = errors.New("the outcome of the change is not known")
)

// Item is a key with its value.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
}

// Condition asks that a key has a revision; 0 that it does not exist.
type Condition struct {
	Key      string
	Revision uint64
}

// Write is a key to be written.
type Write struct {
	Key   string
	Value []byte
	// Lease that the key ends with; 0 for none.
	Lease uint64
}

// Change is made as a whole or not at all.
type Change struct {
	Conditions []Condition
	Writes     []Write
	Removals   []string
}

// Store is the key-value service for what the fleet keeps itself.
type Store interface {
	// Get reads a key; false if it does not exist.
	Get(ctx context.Context, key string) (Item, bool, error)
	// Range reads all keys with a prefix. A stale read may be seconds old and costs a
	// tenth. The revision is that of the first page.
	Range(ctx context.Context, prefix string, stale bool) ([]Item, uint64, error)
	// Commit makes a change and returns its revision, ErrConflict, ErrNoLease,
	// ErrUnknown, or another error if nothing was done.
	Commit(ctx context.Context, change Change) (uint64, error)
	// GrantLease returns a new lease and the time that it lasts.
	GrantLease(ctx context.Context, lasts time.Duration) (uint64, time.Duration, error)
	// RenewLease renews a lease; ErrNoLease if it has ended.
	RenewLease(ctx context.Context, lease uint64) error
	// RevokeLease ends a lease, which removes its keys.
	RevokeLease(ctx context.Context, lease uint64) error
}

// ConfigurationSource is where operators declare the configuration.
type ConfigurationSource interface {
	// Read returns the newest configuration and the store's revision; nil if there is
	// none yet.
	Read(ctx context.Context) (*catalog.Configuration, uint64, error)
	// Watch waits for a newer one, at most for the given time; nil if there was none.
	// ErrCompacted if it has to be read anew.
	Watch(ctx context.Context, after uint64, wait time.Duration) (*catalog.Configuration, uint64, error)
}

// ReportSource is where endpoints report themselves.
type ReportSource interface {
	// Read returns all reports. A stale read may be seconds old and costs a tenth.
	Read(ctx context.Context, stale bool) (*catalog.EndpointSnapshot, error)
}
