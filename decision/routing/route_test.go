package routing_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/routing"
)

func TestRoute(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "route")
}

var (
	atNear    = routing.SendTo{Endpoint: "near", Role: routing.RoleReplica}
	atNext    = routing.SendTo{Endpoint: "next", Role: routing.RoleReplica}
	atPrimary = routing.SendTo{Endpoint: "p", Role: routing.RolePrimary}
	sites     = []routing.DeclaredEndpoint{
		newSite("p", "far", "east"),
		newSite("near", "here", "west"),
		newSite("next", "there", "west"),
	}
	covered = routing.FreshnessRequirement{
		HasRequiredPosition: true,
		RequiredPosition:    logpos.Position{Term: 2, Index: 8},
	}
	aged = routing.FreshnessRequirement{
		HasMaxAge: true,
		MaxAge:    time.Millisecond,
	}
	both = routing.FreshnessRequirement{
		HasRequiredPosition: true,
		HasMaxAge:           true,
		MaxAge:              time.Millisecond,
	}
	newer = routing.FreshnessRequirement{
		HasRequiredPosition: true,
		RequiredPosition:    logpos.Position{Term: 3},
	}
)

func newSite(endpoint, dataCentre, region string) routing.DeclaredEndpoint {
	return routing.DeclaredEndpoint{
		ID:         endpoint,
		DataCentre: dataCentre,
		Region:     region,
	}
}

func newMember(endpoint string, role routing.Role, index uint64) routing.MemberView {
	return routing.MemberView{
		Endpoint:  endpoint,
		Role:      role,
		Reachable: true,
		AgeKnown:  true,
		Age:       5 * time.Millisecond,
		Last:      logpos.Position{Term: 2, Index: index},
	}
}

func newView() routing.DatabaseView {
	return routing.DatabaseView{
		Term:    2,
		Primary: "p",
		Members: []routing.MemberView{
			newMember("p", routing.RolePrimary, 9),
			newMember("near", routing.RoleReplica, 8),
			newMember("next", routing.RoleReplica, 8),
		},
	}
}

var _ = DescribeTable("RouteRead",
	func(freshness routing.FreshnessRequirement, change func(*routing.ReadInput), expected routing.Route) {
		in := routing.ReadInput{
			View:                 newView(),
			Endpoints:            slices.Clone(sites),
			DataCentre:           "here",
			Region:               "west",
			FreshnessRequirement: freshness,
		}
		change(&in)
		Expect(routing.RouteRead(in)).To(Equal(expected))
	},
	Entry("stays in the region", covered, func(*routing.ReadInput) {}, atNear),
	Entry("reads at the primary without a token", routing.FreshnessRequirement{}, func(*routing.ReadInput) {}, atPrimary),
	Entry("gives a leaving replica no new work", covered, func(in *routing.ReadInput) { in.Endpoints[1].Leaving = true }, atNext),
	Entry("skips a replica that refused", covered, func(in *routing.ReadInput) { in.Excluded = map[string]bool{"near": true} }, atNext),
	Entry("skips an unreachable replica", covered, func(in *routing.ReadInput) { in.View.Members[1].Reachable = false }, atNext),
	Entry("prefers the shorter queue", covered, func(in *routing.ReadInput) { in.View.Members[1].QueueWait = time.Second }, atNext),
	Entry("skips data that is too old", aged, func(*routing.ReadInput) {}, atPrimary),
	Entry("uses another region's replica without a primary", covered, func(in *routing.ReadInput) {
		in.View.Primary, in.Region, in.View.Members[0].Reachable = "", "east", false
	}, atNear),
	Entry("refuses without a token and a primary", routing.FreshnessRequirement{}, func(in *routing.ReadInput) { in.View.Primary = "" }, routing.NoRoute{Reason: refusal.NoPrimary}),
	Entry("refuses at a leaving primary", routing.FreshnessRequirement{}, func(in *routing.ReadInput) { in.Endpoints[0].Leaving = true }, routing.NoRoute{Reason: refusal.EndpointLeaving}),
)

var _ = DescribeTable("ServeRead",
	func(endpoint string, freshness routing.FreshnessRequirement, change func(*routing.ServeInput), expected routing.ServeDecision) {
		in := routing.ServeInput{
			View:                 newView(),
			Primary:              sites[0],
			FreshnessRequirement: freshness,
			CatchUp:              5 * time.Millisecond,
			CatchUpKnown:         true,
			PrimaryConfirmed:     true,
			Remaining:            time.Second,
		}
		for _, s := range sites {
			if s.ID == endpoint {
				in.Endpoint = s
			}
		}
		change(&in)
		Expect(routing.ServeRead(in)).To(Equal(expected))
	},
	Entry("serves a covered position", "near", covered, func(*routing.ServeInput) {}, routing.ServeNow{}),
	Entry("refuses a read without a token at a replica", "near", routing.FreshnessRequirement{}, func(*routing.ServeInput) {}, routing.RefuseRead{Reason: refusal.NotPrimary}),
	Entry("waits when catching up is shorter than the trip", "near", covered,
		func(in *routing.ServeInput) { in.View.Members[1].Last.Index = 7 },
		routing.WaitForPosition{Position: covered.RequiredPosition, Limit: 40 * time.Millisecond}),
	Entry("refuses when the trip is shorter", "near", covered,
		func(in *routing.ServeInput) { in.View.Members[1].Last.Index = 7; in.Primary = sites[2] },
		routing.RefuseRead{Reason: refusal.ReplicaBehind}),
	Entry("refuses when the deadline is shorter", "near", covered,
		func(in *routing.ServeInput) { in.View.Members[1].Last.Index = 7; in.Remaining = time.Millisecond },
		routing.RefuseRead{Reason: refusal.ReplicaBehind}),
	Entry("guards against a longer log of an older term", "near", covered,
		func(in *routing.ServeInput) {
			in.View.Members[1].Last = logpos.Position{Term: 1, Index: 99}
			in.CatchUpKnown = false
		},
		routing.RefuseRead{Reason: refusal.ReplicaBehind}),
	Entry("waits whatever the age of the data", "near", covered,
		func(in *routing.ServeInput) { in.View.Members[1].Last.Index = 7; in.View.Members[1].Age = time.Minute },
		routing.WaitForPosition{Position: covered.RequiredPosition, Limit: 40 * time.Millisecond}),
	Entry("refuses when catching up takes longer than the trip", "near", covered,
		func(in *routing.ServeInput) { in.View.Members[1].Last.Index = 7; in.CatchUp = 41 * time.Millisecond },
		routing.RefuseRead{Reason: refusal.ReplicaBehind}),
	Entry("refuses data of unknown age", "near", aged, func(in *routing.ServeInput) { in.View.Members[1].AgeKnown = false }, routing.RefuseRead{Reason: refusal.ReplicaBehind}),
	Entry("requires both conditions", "near", both, func(*routing.ServeInput) {}, routing.RefuseRead{Reason: refusal.ReplicaBehind}),
	Entry("guards against a replaced primary", "p", routing.FreshnessRequirement{}, func(in *routing.ServeInput) { in.PrimaryConfirmed = false }, routing.RefuseRead{Reason: refusal.NotPrimary}),
	Entry("guards against a primary of an older term", "p", newer, func(*routing.ServeInput) {}, routing.RefuseRead{Reason: refusal.NotPrimary}),
	Entry("gives a leaving endpoint no new work", "near", covered, func(in *routing.ServeInput) { in.Endpoint.Leaving = true }, routing.RefuseRead{Reason: refusal.EndpointLeaving}),
)
