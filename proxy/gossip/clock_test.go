package gossip

import (
	"time"

	"amaranthdock.dev/timer"
)

// nodeTimer delivers the ticks of the fleet's clock unless its VM is frozen.
type nodeTimer struct {
	*timer.Manual
	node *node
}

type nodeSubscription struct {
	timer.Subscription
	ticks chan time.Time
	stop  chan struct{}
}

func (s *nodeTimer) After(wait time.Duration) timer.Subscription {
	return s.gated(s.Manual.After(wait))
}

func (s *nodeTimer) Every(interval time.Duration) timer.Subscription {
	return s.gated(s.Manual.Every(interval))
}

func (s *nodeTimer) gated(inner timer.Subscription) timer.Subscription {
	outer := &nodeSubscription{
		Subscription: inner,
		ticks:        make(chan time.Time, 1),
		stop:         make(chan struct{}),
	}
	go func() {
		for {
			select {
			case tick := <-inner.C():
				s.node.pass()
				select {
				case outer.ticks <- tick:
				default:
				}
			case <-outer.stop:
				return
			}
		}
	}()
	return outer
}

func (s *nodeSubscription) C() <-chan time.Time { return s.ticks }

func (s *nodeSubscription) Stop() {
	s.Subscription.Stop()
	close(s.stop)
}
