package connections_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/connections"
)

func TestConnections(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "connections")
}

var _ = Describe("the shares of a connection limit", func() {
	It("sum to the limit at most, and leave each home one", func() {
		for limit := 2; limit <= 300; limit++ {
			shares := connections.Split(limit)
			sum := shares.First + shares.Control
			for i, share := range shares.Others {
				Expect(shares.Of(i + 1)).To(Equal(share))
				sum += share
			}
			Expect(sum).To(Equal(limit))
			Expect(shares.Of(1)).To(BeNumerically(">=", 1))
			Expect(shares.Of(50)).To(Equal(1))
		}
	})
})

// modelHome is a home that learns its rank late. The endpoint counts held connections of it.
type modelHome struct {
	tenure connections.Tenure
	// delay is how late the home learns its rank.
	delay time.Duration
	held  int
	// aboveSince is since when held is above the limit.
	aboveSince time.Duration
	// lost is when the home lost power; 0 if it did not.
	lost time.Duration
}

// step moves the home to a time. It holds as many connections as it may, and gives up those beyond
// its limit as late as it may.
func (h *modelHome) step(now time.Duration, rank int, shares connections.Shares) {
	if h.lost > 0 {
		if now-h.lost >= connections.DropTime {
			h.held = 0
		}
		return
	}
	h.tenure.Update(now, connections.Standing{
		Rank:      rank,
		Confirmed: true,
	})
	limit := h.tenure.Limit(now, shares)
	switch {
	case h.held <= limit:
		h.held = limit
		h.aboveSince = now
	case now-h.aboveSince >= connections.ReleaseTime:
		h.held = limit
	}
}

var _ = Describe("the limits of the homes of an endpoint", func() {
	It("never sum to more than that of the endpoint, however the homes move", func() {
		// Guards against a next home that counts on connections of the one before it, which learns
		// of the move late, keeps its connections as long as it may, or loses power.
		const homes, tick = 3, 50 * time.Millisecond
		for seed := range uint64(300) {
			random := rand.New(rand.NewPCG(seed, 1))
			limit := 10 + random.IntN(150)
			shares := connections.Split(limit)
			var fleet [homes]modelHome
			for vm := range fleet {
				fleet[vm].delay = time.Duration(random.Int64N(int64(connections.LearnTime)))
			}
			orders := [][]int{random.Perm(homes)}
			for now := tick; now < time.Minute; now += tick {
				orders = append(orders, orders[len(orders)-1])
				if random.IntN(60) == 0 {
					orders[len(orders)-1] = random.Perm(homes)
				}
				if vm := random.IntN(homes); random.IntN(400) == 0 && fleet[vm].lost == 0 {
					fleet[vm].lost = now
				}
				sum, most := 0, 0
				for vm := range fleet {
					known := orders[max(now-fleet[vm].delay, 0)/tick]
					fleet[vm].step(now, slices.Index(known, vm), shares)
					sum += fleet[vm].held
					most = max(most, fleet[vm].held)
				}
				Expect(sum).To(BeNumerically("<=", limit), "seed %d, %s", seed, now)
				Expect(most).To(BeNumerically("<=", shares.First))
				// A home asks the endpoint at some times.
				if vm := random.IntN(homes); random.IntN(4) == 0 {
					fleet[vm].tenure.Count(now, sum-fleet[vm].held)
				}
			}
		}
	})

	It("keep a home that nobody confirms at the share of another one", func() {
		// Guards against a home that the others do not count any more and that does not know it.
		shares := connections.Split(73)
		var tenure connections.Tenure
		standing := connections.Standing{Confirmed: true}
		tenure.Update(0, standing)
		tenure.Update(connections.HoldTime, standing)
		Expect(tenure.Limit(connections.HoldTime, shares)).To(Equal(shares.First))
		standing.Confirmed = false
		Expect(tenure.Update(time.Minute, standing)).To(BeTrue())
		Expect(tenure.Limit(time.Minute, shares)).To(Equal(shares.Of(1)))
	})
})

var _ = Describe("a declared limit", func() {
	It("falls at once, and rises when no request carries the old one", func() {
		// Guards against requests of VMs with an older configuration that raise a lowered limit.
		var declared connections.Declared
		Expect(declared.Update(0, 73)).To(Equal(73))
		Expect(declared.Update(time.Second, 40)).To(Equal(40))
		Expect(declared.Update(2*time.Second, 73)).To(Equal(40))
		Expect(declared.Update(3500*time.Millisecond, 40)).To(Equal(40))
		Expect(declared.Update(4*time.Second, 73)).To(Equal(40))
		Expect(declared.Update(5*time.Second, 111)).To(Equal(40))
		Expect(declared.Update(6*time.Second, 111)).To(Equal(73))
	})
})
