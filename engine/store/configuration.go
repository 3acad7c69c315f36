package store

import (
	"context"
	"errors"
	"time"

	"amaranthdock.dev/engine/catalog"
)

const (
	// watchWait of one watch for configurations. A watch may hear nothing of a change
	// while the store drops its history, so it must end well before the 4 s in which a
	// configuration has to be in force.
	watchWait = 2600 * time.Millisecond
	// watchPause between two watches, so that configurations in quick succession cost
	// one call for several.
	watchPause = 200 * time.Millisecond
	// catchUpWait of the first watch, the shortest one.
	catchUpWait = time.Millisecond
	// placeWait for this VM's place in the fleet, several times the trips to register.
	placeWait = time.Second
)

// FollowConfiguration reads and then watches the configuration until the context
// ends, while this VM reads the store itself.
func (s *Sync) FollowConfiguration(ctx context.Context) {
	s.awaitPlace(ctx)
	backoff := s.newBackoff()
	for ctx.Err() == nil {
		if !s.Reads() {
			s.following.Store(false)
			s.pause(ctx, restInterval)
			continue
		}
		follow := s.watchConfiguration
		if s.followed.Load() == 0 {
			follow = s.readConfiguration
		}
		changed, err := follow(ctx)
		switch {
		case errors.Is(err, ErrCompacted):
			s.followed.Store(0)
		case err != nil:
			backoff.sleep(ctx)
		default:
			backoff.reset()
			s.following.Store(true)
		}
		if changed {
			s.pause(ctx, watchPause)
		}
	}
}

// awaitPlace waits until this VM sees itself in the fleet, and so knows whether it is
// a reader. It gives up when the store does not answer.
func (s *Sync) awaitPlace(ctx context.Context) {
	limit := s.config.Timer.After(placeWait)
	defer limit.Stop()
	for s.lost.Load() == 0 {
		changed := s.config.View.Changed()
		if _, ok := s.config.View.VMs().ByName[s.config.View.Self().Name]; ok {
			return
		}
		look := s.config.Timer.After(restInterval)
		over := false
		select {
		case <-changed:
		case <-look.C():
		case <-limit.C():
			over = true
		case <-ctx.Done():
			over = true
		}
		look.Stop()
		if over {
			return
		}
	}
}

// readConfiguration reads the configuration, or waits for the first one.
func (s *Sync) readConfiguration(ctx context.Context) (changed bool, err error) {
	configuration, at, err := s.config.Declarations.Read(ctx)
	s.note(err)
	switch {
	case err != nil:
		return false, err
	case configuration == nil:
		return s.watchFrom(ctx, at, s.jittered(watchWait))
	}
	s.accept(configuration, at)
	return false, nil
}

// watchConfiguration waits for a newer configuration. The first watch is short, so
// that a VM which begins to read the store soon knows that it has caught up.
func (s *Sync) watchConfiguration(ctx context.Context) (changed bool, err error) {
	wait := catchUpWait
	if s.following.Load() {
		wait = s.jittered(watchWait)
	}
	return s.watchFrom(ctx, uint64(s.followed.Load()), wait)
}

func (s *Sync) watchFrom(ctx context.Context, revision uint64, wait time.Duration) (changed bool, err error) {
	configuration, at, err := s.config.Declarations.Watch(ctx, revision, wait)
	s.answered(err)
	if err != nil {
		return false, err
	}
	s.accept(configuration, at)
	return configuration != nil, nil
}

// accept takes what the store held at a revision; nil for no change.
func (s *Sync) accept(configuration *catalog.Configuration, at uint64) {
	if configuration != nil {
		s.config.View.AcceptConfiguration(configuration, "store")
		s.read.Store(true)
	}
	raise(&s.followed, int64(at))
	s.shown.add(s.config.Timer.SinceBoot(), at)
}
