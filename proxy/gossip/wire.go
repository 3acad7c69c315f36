package gossip

import (
	"net/netip"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	peerv1 "amaranthdock.dev/api/amaranthdock/peer/v1"
	"amaranthdock.dev/decision/confsync"
	"amaranthdock.dev/decision/membership"
)

func digestFromWire(digest *peerv1.Digest) confsync.Digest {
	d := confsync.Digest{
		Version:  digest.GetConfigurationVersion(),
		Age:      digest.GetAuthorityAge().AsDuration(),
		AgeKnown: digest.GetAuthorityAge() != nil,
	}
	if digest != nil && digest.StoreReachable != nil {
		d.Store = confsync.StoreUnreachable
		if digest.GetStoreReachable() {
			d.Store = confsync.StoreReachable
		}
	}
	return d
}

func digestToWire(digest confsync.Digest) *peerv1.Digest {
	d := &peerv1.Digest{
		ConfigurationVersion: digest.Version,
	}
	if digest.AgeKnown {
		d.AuthorityAge = durationpb.New(digest.Age)
	}
	switch digest.Store {
	case confsync.StoreUnreachable:
		d.StoreReachable = proto.Bool(false)
	case confsync.StoreReachable:
		d.StoreReachable = proto.Bool(true)
	}
	return d
}

func stateFromWire(state peerv1.MemberState) membership.State {
	switch state {
	case peerv1.MemberState_MEMBER_STATE_ALIVE:
		return membership.Alive
	case peerv1.MemberState_MEMBER_STATE_LEAVING:
		return membership.Leaving
	case peerv1.MemberState_MEMBER_STATE_SUSPECT:
		return membership.Suspect
	case peerv1.MemberState_MEMBER_STATE_DEAD:
		return membership.Dead
	default:
		return 0
	}
}

func stateToWire(state membership.State) peerv1.MemberState {
	switch state {
	case membership.Alive:
		return peerv1.MemberState_MEMBER_STATE_ALIVE
	case membership.Leaving:
		return peerv1.MemberState_MEMBER_STATE_LEAVING
	case membership.Suspect:
		return peerv1.MemberState_MEMBER_STATE_SUSPECT
	case membership.Dead:
		return peerv1.MemberState_MEMBER_STATE_DEAD
	default:
		return peerv1.MemberState_MEMBER_STATE_UNSPECIFIED
	}
}

// updatesFromWire leaves out records without an address or a known state.
func updatesFromWire(updates []*peerv1.MemberUpdate) []membership.Member {
	members := make([]membership.Member, 0, len(updates))
	for _, u := range updates {
		address, err := netip.ParseAddrPort(u.GetPeerAddress())
		if err != nil {
			continue
		}
		members = append(members, membership.Member{
			VM:          u.GetVm(),
			DataCentre:  u.GetDataCentre(),
			Address:     address,
			Incarnation: u.GetIncarnation(),
			Sequence:    u.GetSequence(),
			State:       stateFromWire(u.GetState()),
		})
	}
	return members
}

func updatesToWire(members []membership.Member) []*peerv1.MemberUpdate {
	updates := make([]*peerv1.MemberUpdate, 0, len(members))
	for _, m := range members {
		updates = append(updates, &peerv1.MemberUpdate{
			Vm:          m.VM,
			DataCentre:  m.DataCentre,
			PeerAddress: m.Address.String(),
			Incarnation: m.Incarnation,
			Sequence:    m.Sequence,
			State:       stateToWire(m.State),
		})
	}
	return updates
}
