// Package connections decides how many connections a home may have open at an endpoint, which idle
// ones are closed, and how many are opened at the same time.
package connections

const (
	// firstShare is the fraction of an endpoint's connections that its first home may open.
	firstShare = 0.8
	// maxControl is the largest number of connections left for control commands. The leader and up
	// to 8 verifiers open one each at the same time, and the verifiers that stand first in the
	// ranking use their own shares.
	maxControl = 5
	// controlFraction is the inverse of the fraction of the connections not left to the first home
	// that is for control commands. With a third, a home in a deployment of 30 connections for each
	// endpoint had 2 after its start, of which transactions got 1.
	controlFraction = 4
)

// Shares are the parts of an endpoint's connection limit. Their sum is not above the limit.
type Shares struct {
	// First is for the VM that has been the first home for HoldTime.
	First int
	// Control is for control commands, which need a connection when the others are in use.
	Control int
	// Others are for the homes that follow in the ranking, the second one first.
	Others []int
}

// Split divides the connection limit of an endpoint.
func Split(maxConnections int) Shares {
	shares := Shares{First: max(int(firstShare*float64(maxConnections)), 1)}
	left := max(maxConnections-shares.First, 0)
	if left > 1 {
		shares.Control = min(max(left/controlFraction, 1), maxControl)
	}
	for left -= shares.Control; left > 0; {
		share := (left + 1) / 2
		shares.Others = append(shares.Others, share)
		left -= share
	}
	return shares
}

// Of returns the share of a home that is not the first one, by its rank from 1 on. It is at least 1,
// because a VM that reaches no other home is the only one that can serve its callers. The shares
// sum to more than the limit only if more homes than there are in Others use the endpoint.
func (s Shares) Of(rank int) int {
	if index := max(rank, 1) - 1; index < len(s.Others) {
		return s.Others[index]
	}
	return 1
}

// MaxHandshakes returns the number of connections that are opened at the same time at an endpoint
// while statements wait that have a connection: three fifths of its slots, rounded up. In the replays
// of a restart, one or two of five slots kept urgent statements without a connection waiting for
// twice as long, and three did not.
func MaxHandshakes(slots int) int {
	return max((3*slots+4)/5, 1)
}
