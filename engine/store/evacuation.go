package store

import (
	"context"
	"time"

	"amaranthdock.dev/decision/evacuation"
	"amaranthdock.dev/engine/catalog"
)

// Declarations is what operators have declared since a revision of the store.
type Declarations struct {
	// Configuration is the newest configuration; nil if it has not changed.
	Configuration *catalog.Configuration
	// Evacuations holds the changes of evacuations, oldest first.
	Evacuations []evacuation.Change
	// Revision is the store's revision from which to continue.
	Revision uint64
}

// EvacuationSource provides the evacuations that operators request, together with the
// configuration, so that both take one watch.
type EvacuationSource interface {
	// ReadEvacuations returns the evacuated data centres and the store's revision.
	ReadEvacuations(ctx context.Context) (catalog.Evacuations, error)
	// WatchDeclarations waits until the timeout for declarations that are newer than a revision.
	// It returns ErrCompacted if the caller has to read them. Changes of evacuations are
	// returned even if the configuration is invalid, together with an error.
	WatchDeclarations(ctx context.Context, after uint64, timeout time.Duration) (Declarations, error)
}

// readEvacuations reads the evacuated data centres. It is needed at the start, after the store
// has compacted the history, and if no other VM has sent the set.
func (s *Syncer) readEvacuations(ctx context.Context) error {
	if s.config.EvacuationSource == nil {
		return nil
	}
	age, sentAt := s.evacuationAge(), s.config.Timer.SinceBoot()
	read, err := s.config.EvacuationSource.ReadEvacuations(ctx)
	s.recordCall(sentAt, err)
	if err != nil {
		return err
	}
	ages := make(map[string]time.Duration, len(read.DataCentres))
	for name := range read.DataCentres {
		ages[name] = age
	}
	s.config.View.AcceptEvacuations(read.Revision, ages, "store")
	return nil
}

// watch waits for a newer configuration and applies the changes of evacuations.
func (s *Syncer) watch(ctx context.Context, revision uint64, timeout time.Duration) (*catalog.Configuration, uint64, error) {
	if s.config.EvacuationSource == nil {
		return s.config.ConfigurationSource.Watch(ctx, revision, timeout)
	}
	if s.config.View.Evacuations().Revision == 0 {
		if err := s.readEvacuations(ctx); err != nil {
			return nil, 0, err
		}
	}
	age := s.evacuationAge()
	declared, err := s.config.EvacuationSource.WatchDeclarations(ctx, revision, timeout)
	s.config.View.ApplyEvacuations(declared.Evacuations, age)
	return declared.Configuration, declared.Revision, err
}

// evacuationAge returns how long ago an evacuation that the store sends next may have been
// requested, without the delay of a watch, which evacuation.Margin covers. Before this VM has
// caught up, that is the age of its data.
func (s *Syncer) evacuationAge() time.Duration {
	if s.caughtUp.Load() {
		return 0
	}
	return s.since(s.readerDataAsOf.Load())
}
