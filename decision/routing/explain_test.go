package routing_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/routing"
)

// newReadInput returns a read of the data centre "here", with replicas in both regions.
func newReadInput(freshness routing.FreshnessRequirement) routing.ReadInput {
	return routing.ReadInput{
		View: routing.DatabaseView{
			Term:    2,
			Primary: "p",
			Members: []routing.MemberView{
				newMember("p", routing.RolePrimary, 9),
				newMember("near", routing.RoleReplica, 9),
				newMember("next", routing.RoleReplica, 9),
				newMember("distant", routing.RoleReplica, 9),
			},
		},
		Endpoints:            append([]routing.DeclaredEndpoint{newEndpoint("distant", "far", "east")}, declared...),
		DataCentre:           "here",
		Region:               "west",
		FreshnessRequirement: freshness,
	}
}

var _ = DescribeTable("ExplainRead gives the reason against each endpoint that the route does not use",
	// Guards against an explanation that differs from the route.
	func(freshness routing.FreshnessRequirement, change func(*routing.ReadInput), expected map[string]routing.Exclusion) {
		in := newReadInput(freshness)
		in.Endpoints = append([]routing.DeclaredEndpoint(nil), in.Endpoints...)
		change(&in)
		route, verdicts := routing.ExplainRead(in)
		Expect(route).To(Equal(routing.RouteRead(in)))
		found := map[string]routing.Exclusion{}
		for _, v := range verdicts {
			found[v.Endpoint] = v.Exclusion
			if v.Exclusion == "" {
				Expect(route.(routing.SendTo).Endpoint).To(Equal(v.Endpoint))
			}
		}
		Expect(found).To(Equal(expected))
	},
	Entry("a replica of the data centre", requiresPosition, func(*routing.ReadInput) {},
		map[string]routing.Exclusion{"near": "", "next": routing.HigherCost, "distant": routing.Farther, "p": routing.ReplicaPreferred}),
	Entry("a session without a position", routing.FreshnessRequirement{}, func(*routing.ReadInput) {},
		map[string]routing.Exclusion{"near": routing.PrimaryRequired, "next": routing.PrimaryRequired, "distant": routing.PrimaryRequired, "p": ""}),
	Entry("replicas that are down, draining or refused", requiresPosition, func(in *routing.ReadInput) {
		in.View.Members[1].Reachable = false
		in.Endpoints[3].Leaving = true
		in.ExcludedEndpoints = map[string]bool{"distant": true}
	}, map[string]routing.Exclusion{"near": routing.Down, "next": routing.Draining, "distant": routing.RefusedByHome, "p": ""}),
	Entry("a replica with old data and a draining primary", requiresMaxAge, func(in *routing.ReadInput) {
		in.View.Members[1].Age = time.Second
		in.View.Members[2].AgeKnown = false
		in.View.Members[3].AgeKnown = false
		in.Endpoints[1].Leaving = true
	}, map[string]routing.Exclusion{"near": routing.TooOld, "next": "", "distant": routing.Farther, "p": routing.Draining}),
)

var _ = DescribeTable("ExplainWrite gives the reason against each endpoint",
	// Guards against a write that is explained as possible at a replica.
	func(primary string, leaving bool, expected []routing.Exclusion) {
		endpoints := append([]routing.DeclaredEndpoint(nil), declared...)
		endpoints[0].Leaving = leaving
		_, verdicts := routing.ExplainWrite(routing.DatabaseView{Primary: primary}, endpoints)
		var found []routing.Exclusion
		for _, v := range verdicts {
			found = append(found, v.Exclusion)
		}
		Expect(found).To(Equal(expected))
	},
	Entry("at the primary", "p", false, []routing.Exclusion{"", routing.NotPrimary, routing.NotPrimary}),
	Entry("at a draining primary", "p", true, []routing.Exclusion{routing.Draining, routing.NotPrimary, routing.NotPrimary}),
	Entry("without a primary", "", false, []routing.Exclusion{routing.NotPrimary, routing.NotPrimary, routing.NotPrimary}),
)
