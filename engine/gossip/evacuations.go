package gossip

import (
	"time"

	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/peer"
)

// addEvacuations adds the set of evacuated data centres to a response if it is newer than the
// requesting VM's.
func (s *Service) addEvacuations(request *peer.GossipRequest, response *peer.GossipResponse) {
	known := s.config.View.Evacuations()
	response.EvacuationsRevision = known.Revision
	if known.Revision <= request.EvacuationsRevision {
		return
	}
	response.EvacuationAges = known.Ages(s.config.View.SinceBoot())
	response.Evacuations = &catalog.Evacuations{
		Revision:    known.Revision,
		DataCentres: map[string]bool{},
	}
	for _, name := range known.DataCentres() {
		response.Evacuations.DataCentres[name] = true
	}
}

// acceptEvacuations accepts the set of evacuated data centres of a response. Its ages count from
// the request, because this VM may have been suspended since.
func (s *Service) acceptEvacuations(response *peer.GossipResponse, requestedAt time.Duration) {
	received := response.Evacuations
	if received == nil {
		return
	}
	elapsed := s.config.View.SinceBoot() - requestedAt
	ages := make(map[string]time.Duration, len(received.DataCentres))
	for name := range received.DataCentres {
		ages[name] = response.EvacuationAges[name] + elapsed
	}
	s.config.View.AcceptEvacuations(received.Revision, ages, response.From.Name)
}

// declaredUpTo returns the store revision up to which a response of a reader contains all that
// operators have declared. A reader of an older build does not know the evacuations.
func (s *Service) declaredUpTo(response *peer.GossipResponse) uint64 {
	if s.config.View.UsesEvacuations() && response.EvacuationsRevision == 0 {
		return 0
	}
	return response.ConfigRevision
}
