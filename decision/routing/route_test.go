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
	toNear    = routing.SendTo{Endpoint: "near", Role: routing.RoleReplica}
	toNext    = routing.SendTo{Endpoint: "next", Role: routing.RoleReplica}
	toPrimary = routing.SendTo{Endpoint: "p", Role: routing.RolePrimary}
	declared  = []routing.DeclaredEndpoint{
		newEndpoint("p", "far", "east"),
		newEndpoint("near", "here", "west"),
		newEndpoint("next", "there", "west"),
	}
	requiresPosition = routing.FreshnessRequirement{
		HasRequiredPosition: true,
		RequiredPosition:    logpos.Position{Term: 2, Index: 8},
	}
	requiresMaxAge = routing.FreshnessRequirement{
		HasMaxAge: true,
		MaxAge:    time.Millisecond,
	}
	requiresPositionAndMaxAge = routing.FreshnessRequirement{
		HasRequiredPosition: true,
		HasMaxAge:           true,
		MaxAge:              time.Millisecond,
	}
	requiresNewerTerm = routing.FreshnessRequirement{
		HasRequiredPosition: true,
		RequiredPosition:    logpos.Position{Term: 3},
	}
)

func newEndpoint(endpoint, dataCentre, region string) routing.DeclaredEndpoint {
	return routing.DeclaredEndpoint{
		ID:         endpoint,
		DataCentre: dataCentre,
		Region:     region,
	}
}

func newMember(endpoint string, role routing.Role, index uint64) routing.MemberView {
	return routing.MemberView{
		Endpoint:     endpoint,
		Role:         role,
		Reachable:    true,
		AgeKnown:     true,
		Age:          5 * time.Millisecond,
		LastPosition: logpos.Position{Term: 2, Index: index},
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
			Endpoints:            slices.Clone(declared),
			DataCentre:           "here",
			Region:               "west",
			FreshnessRequirement: freshness,
		}
		change(&in)
		Expect(routing.RouteRead(in)).To(Equal(expected))
	},
	Entry("stays in the region", requiresPosition, func(*routing.ReadInput) {}, toNear),
	Entry("reads at the primary without a token", routing.FreshnessRequirement{}, func(*routing.ReadInput) {}, toPrimary),
	Entry("gives a leaving replica no new statements", requiresPosition, func(in *routing.ReadInput) { in.Endpoints[1].Leaving = true }, toNext),
	Entry("skips a replica that refused", requiresPosition, func(in *routing.ReadInput) { in.ExcludedEndpoints = map[string]bool{"near": true} }, toNext),
	Entry("skips an unreachable replica", requiresPosition, func(in *routing.ReadInput) { in.View.Members[1].Reachable = false }, toNext),
	Entry("prefers the shorter queue", requiresPosition, func(in *routing.ReadInput) { in.View.Members[1].QueueWait = time.Second }, toNext),
	Entry("skips data that is too old", requiresMaxAge, func(*routing.ReadInput) {}, toPrimary),
	Entry("uses another region's replica without a primary", requiresPosition, func(in *routing.ReadInput) {
		in.View.Primary, in.Region, in.View.Members[0].Reachable = "", "east", false
	}, toNear),
	Entry("refuses without a token and a primary", routing.FreshnessRequirement{}, func(in *routing.ReadInput) { in.View.Primary = "" }, routing.NoRoute{Reason: refusal.NoPrimary}),
	Entry("refuses at a leaving primary", routing.FreshnessRequirement{}, func(in *routing.ReadInput) { in.Endpoints[0].Leaving = true }, routing.NoRoute{Reason: refusal.EndpointLeaving}),
)

var _ = DescribeTable("ServeRead",
	func(endpoint string, freshness routing.FreshnessRequirement, change func(*routing.ServeInput), expected routing.ServeDecision) {
		in := routing.ServeInput{
			View:                 newView(),
			Primary:              declared[0],
			FreshnessRequirement: freshness,
			CatchUp:              5 * time.Millisecond,
			CatchUpKnown:         true,
			PrimaryConfirmed:     true,
			UntilDeadline:        time.Second,
		}
		for _, s := range declared {
			if s.ID == endpoint {
				in.Endpoint = s
			}
		}
		change(&in)
		Expect(routing.ServeRead(in)).To(Equal(expected))
	},
	Entry("serves a position that the replica has reached", "near", requiresPosition, func(*routing.ServeInput) {}, routing.ServeNow{}),
	Entry("refuses a read without a token at a replica", "near", routing.FreshnessRequirement{}, func(*routing.ServeInput) {}, routing.RefuseRead{Reason: refusal.NotPrimary}),
	Entry("waits if the replica catches up sooner than the primary would serve the read", "near", requiresPosition,
		func(in *routing.ServeInput) { in.View.Members[1].LastPosition.Index = 7 },
		routing.WaitForPosition{Position: requiresPosition.RequiredPosition, Limit: 40 * time.Millisecond}),
	Entry("refuses if the primary would serve the read sooner", "near", requiresPosition,
		func(in *routing.ServeInput) { in.View.Members[1].LastPosition.Index = 7; in.Primary = declared[2] },
		routing.RefuseRead{Reason: refusal.ReplicaBehind}),
	Entry("refuses if the deadline is before the replica catches up", "near", requiresPosition,
		func(in *routing.ServeInput) {
			in.View.Members[1].LastPosition.Index = 7
			in.UntilDeadline = time.Millisecond
		},
		routing.RefuseRead{Reason: refusal.ReplicaBehind}),
	Entry("guards against a longer log of an older term", "near", requiresPosition,
		func(in *routing.ServeInput) {
			in.View.Members[1].LastPosition = logpos.Position{Term: 1, Index: 99}
			in.CatchUpKnown = false
		},
		routing.RefuseRead{Reason: refusal.ReplicaBehind}),
	Entry("waits regardless of the age of the data", "near", requiresPosition,
		func(in *routing.ServeInput) {
			in.View.Members[1].LastPosition.Index = 7
			in.View.Members[1].Age = time.Minute
		},
		routing.WaitForPosition{Position: requiresPosition.RequiredPosition, Limit: 40 * time.Millisecond}),
	Entry("refuses if catching up takes longer than a read at the primary", "near", requiresPosition,
		func(in *routing.ServeInput) {
			in.View.Members[1].LastPosition.Index = 7
			in.CatchUp = 41 * time.Millisecond
		},
		routing.RefuseRead{Reason: refusal.ReplicaBehind}),
	Entry("refuses data of unknown age", "near", requiresMaxAge, func(in *routing.ServeInput) { in.View.Members[1].AgeKnown = false }, routing.RefuseRead{Reason: refusal.ReplicaBehind}),
	Entry("checks the maximum age in addition to the position", "near", requiresPositionAndMaxAge, func(*routing.ServeInput) {}, routing.RefuseRead{Reason: refusal.ReplicaBehind}),
	Entry("guards against a replaced primary", "p", routing.FreshnessRequirement{}, func(in *routing.ServeInput) { in.PrimaryConfirmed = false }, routing.RefuseRead{Reason: refusal.NotPrimary}),
	Entry("guards against a primary of an older term", "p", requiresNewerTerm, func(*routing.ServeInput) {}, routing.RefuseRead{Reason: refusal.NotPrimary}),
	Entry("gives a leaving endpoint no new statements", "near", requiresPosition, func(in *routing.ServeInput) { in.Endpoint.Leaving = true }, routing.RefuseRead{Reason: refusal.EndpointLeaving}),
)
