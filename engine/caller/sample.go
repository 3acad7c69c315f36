package caller

import (
	"context"
	"sync"
	"time"

	"amaranthdock.dev/decision/evacuation"
	"amaranthdock.dev/engine/guard"
	"amaranthdock.dev/engine/peer"
)

const (
	// refreshAgeShare is the fraction of a route's maximum staleness after which a new
	// position sample is requested, so that it arrives before the newest is too old.
	refreshAgeShare = 0.5
	// sampleTimeout is the timeout of a request for a position sample.
	sampleTimeout = 500 * time.Millisecond
	// minSampleInterval is the least time between two requests for samples of the same
	// database.
	minSampleInterval = 200 * time.Millisecond
)

// sampleRequests limits the rate of requests for position samples. A position sample
// is a log position of a database's primary and a time: the position covers each commit
// that was acknowledged before that time.
type sampleRequests struct {
	mu sync.Mutex
	// sentAt is the time of the last request by database name.
	sentAt map[string]time.Time
}

// refreshSample asks the primary for its position if the newest sample is too old for
// the given maximum staleness. Responses to statements contain samples too, so this is
// rare under load.
func (s *SessionManager) refreshSample(database string, maxAge time.Duration) {
	sampleAge, ok := s.config.View.SampleAge(database)
	if ok && sampleAge < time.Duration(refreshAgeShare*float64(maxAge)) {
		return
	}
	now := s.config.Timer.Now()
	s.sampleRequests.mu.Lock()
	if s.sampleRequests.sentAt == nil {
		s.sampleRequests.sentAt = map[string]time.Time{}
	}
	last, requested := s.sampleRequests.sentAt[database]
	if requested && now.Sub(last) < minSampleInterval {
		s.sampleRequests.mu.Unlock()
		return
	}
	s.sampleRequests.sentAt[database] = now
	s.sampleRequests.mu.Unlock()
	go s.requestSample(database)
}

// requestSample asks the primary's home for a position sample. The home opens a
// transaction at the endpoint and rolls it back, which takes no slot and proves that
// the endpoint is the primary.
func (s *SessionManager) requestSample(database string) {
	defer guard.Recover(s.config.Log, "sample")
	configuration := s.config.View.Configuration()
	primary, ok := s.config.View.Primary(database)
	if !ok || configuration == nil || s.config.View.Access(primary) == evacuation.Closed {
		return
	}
	request := &peer.RunRequest{
		Step:           peer.StepPosition,
		Workspace:      publicWorkspace,
		Endpoint:       primary.Key.ID,
		MaxConnections: configuration.Databases[database].MaxConnections,
		Timeout:        sampleTimeout,
	}
	sentAt := s.config.View.SinceBoot()
	home := s.config.View.Homes(primary, 1)[0]
	result, err := s.callHome(context.Background(), home, request)
	if err != nil {
		s.config.Log.V(1).Info("Could not get the log position of the primary.", "database", database, "peer", home.Name, "error", err.Error())
		return
	}
	if result.ProvedPrimary {
		s.config.View.AddSample(database, sentAt-result.Age, result.Position)
	}
}
