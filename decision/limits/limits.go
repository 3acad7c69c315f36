// Package limits implements distributed rate limits: token buckets, the durable
// shares of a limit that the VMs hold, and the loans of tokens between VMs.
package limits

import (
	"math"
	"time"
)

const (
	// LoanTimeout is the time from a borrower's request after which the borrower
	// discards the loan. A loan can be spent up to LoanTimeout after the lender
	// debited it, so the tokens that accrue in that time are not assigned.
	LoanTimeout = 100 * time.Millisecond
	// MaxHolders is the largest number of VMs that share the limit of one
	// subject.
	MaxHolders = 8
	// TotalMillionths is the whole limit of a subject. The shares of the VMs are
	// in millionths and sum to at most this.
	TotalMillionths = 1_000_000
	// minShareBurst is the smallest burst of a share, in requests. Smaller shares
	// would refuse short bursts that the whole limit admits.
	minShareBurst = 4
)

// Limit is a rate limit: at most Burst + Rate x t requests are admitted in any
// window of t seconds.
type Limit struct {
	// Rate is in requests per second.
	Rate float64
	// Burst is in requests.
	Burst int64
}

// Subject is a workspace or a public route, and its limit.
type Subject struct {
	Name  string
	Limit Limit
}

// Admission is how a VM would admit a request of a subject.
type Admission struct {
	Limit Limit
	// Tokens is the number of whole tokens of the VM's own share.
	Tokens int64
	// MustWait is true if the request would wait for a token: of the own share, or lent
	// by another VM.
	MustWait bool
}

// AssignableBurst returns the burst that the buckets of all VMs together may hold:
// the burst without the tokens reserved for loans in transit (see LoanTimeout). A limit with a
// rate holds at least one token; otherwise it would admit nothing.
func (l Limit) AssignableBurst() float64 {
	least := 0.0
	if l.Rate > 0 {
		least = 1
	}
	return max(float64(l.Burst)-l.Rate*LoanTimeout.Seconds(), least)
}

// HolderCount returns the number of VMs that should hold shares of the limit.
func (l Limit) HolderCount() int {
	shares := math.Floor(l.AssignableBurst() / minShareBurst)
	return int(min(max(shares, 1), MaxHolders))
}

// BucketParameters returns the capacity and rate of the bucket for a share.
func (l Limit) BucketParameters(millionths int64) (capacity, rate float64) {
	fraction := float64(millionths) / TotalMillionths
	return l.AssignableBurst() * fraction, l.Rate * fraction
}
