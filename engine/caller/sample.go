package caller

import (
	"context"
	"sync"
	"time"

	"amaranthdock.dev/engine/peer"
)

const (
	// refreshShare of a route's age, at which a new sample is asked for, so that one
	// is there before the newest is too old.
	refreshShare = 0.5
	// sampleTimeout for the answer to a request for a sample.
	sampleTimeout = 500 * time.Millisecond
	// samplePause between two requests for a database's position.
	samplePause = 200 * time.Millisecond
)

// sampling keeps one request for a position under way for each database.
type sampling struct {
	mu    sync.Mutex
	asked map[string]time.Time
}

// refresh asks the primary for its position if the newest sample is getting old.
// Ordinary answers of the primary bring samples too, so this is rare under load.
func (s *SessionManager) refresh(database string, age time.Duration) {
	newest, ok := s.config.View.SampleAge(database)
	if ok && newest < time.Duration(refreshShare*float64(age)) {
		return
	}
	now := s.config.Timer.Now()
	s.sampling.mu.Lock()
	if s.sampling.asked == nil {
		s.sampling.asked = map[string]time.Time{}
	}
	last, asked := s.sampling.asked[database]
	if asked && now.Sub(last) < samplePause {
		s.sampling.mu.Unlock()
		return
	}
	s.sampling.asked[database] = now
	s.sampling.mu.Unlock()
	go s.sample(database)
}

// sample opens a transaction at the primary and rolls it back, which takes no slot
// and proves that the endpoint leads.
func (s *SessionManager) sample(database string) {
	configuration := s.config.View.Configuration()
	primary, ok := s.config.View.Primary(database)
	if !ok || configuration == nil {
		return
	}
	request := &peer.RunRequest{
		Step:           peer.StepPosition,
		Workspace:      publicWorkspace,
		Endpoint:       primary.Key.ID,
		MaxConnections: configuration.Databases[database].MaxConnections,
		Timeout:        sampleTimeout,
	}
	began := s.config.View.SinceBoot()
	home := s.config.View.Homes(primary)[0]
	ran, err := s.call(context.Background(), home, request)
	if err != nil {
		s.config.Log.V(1).Info("No position of the primary.", "database", database, "peer", home.Name, "error", err.Error())
		return
	}
	if ran.ProvedPrimary {
		s.config.View.AddSample(database, began-ran.Age, ran.Position)
	}
}
