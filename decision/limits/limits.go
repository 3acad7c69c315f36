// Package limits decides what subjects are admitted: token buckets, the durable
// shares of the VMs and the loans between them.
package limits

import (
	"math"
	"time"
)

const (
	// LoanTimeout is the time from a borrower's request after which a loan is
	// discarded. The tokens that a rate yields in it stay unassigned, because a
	// loan may be spent that much later than it was debited.
	LoanTimeout = 100 * time.Millisecond
	// MaxHolders is the largest number of VMs with a part of one subject.
	MaxHolders = 8
	// TotalMillionths is the sum of all parts, in millionths.
	TotalMillionths = 1_000_000
	// minPartBurst is the smallest burst of a part, in requests. Smaller parts
	// would refuse short runs of requests that the whole limit admits.
	minPartBurst = 4
)

// Limit bounds what a subject is admitted: Burst + Rate x t requests in any window
// of t seconds.
type Limit struct {
	// Rate in requests per second.
	Rate float64
	// Burst in requests.
	Burst int64
}

// Subject is a workspace or a public route, and its limit.
type Subject struct {
	Name  string
	Limit Limit
}

// Assigned is the part of the burst that buckets may hold.
func (l Limit) Assigned() float64 {
	return max(float64(l.Burst)-l.Rate*LoanTimeout.Seconds(), 0)
}

// HolderCount returns the number of VMs that should hold parts of the limit.
func (l Limit) HolderCount() int {
	parts := math.Floor(l.Assigned() / minPartBurst)
	return int(min(max(parts, 1), MaxHolders))
}

// BucketParameters returns capacity and rate of a part in millionths.
func (l Limit) BucketParameters(millionths int64) (capacity, rate float64) {
	fraction := float64(millionths) / TotalMillionths
	return l.Assigned() * fraction, l.Rate * fraction
}
