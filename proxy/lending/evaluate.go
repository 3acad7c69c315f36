package lending

import (
	"amaranthdock.dev/decision/limits"
	"amaranthdock.dev/decision/refusal"
)

// Evaluate returns how Admit would admit a request of a subject now, or the refusal that
// Admit would return. It takes no token, asks no lender and counts nothing.
func (l *Limiter) Evaluate(name string) (limits.Admission, error) {
	if refused := l.checkConfigured(name); refused != nil {
		return limits.Admission{}, refused
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.loaded {
		return limits.Admission{}, errNotLoaded()
	}
	now := l.config.Timer.Now()
	s := l.newSubject(now, name)
	if known, ok := l.subjects[name]; ok {
		// A copy, because a new limit changes the share.
		*s = *known
		share := *known.share
		s.share = &share
		s.share.SetLimit(now, l.limit(name))
	}
	mustWait, refused := l.decide(now, s)
	admission := limits.Admission{
		Limit:    l.limit(name),
		Tokens:   s.share.Available(now),
		MustWait: mustWait,
	}
	if refused != nil {
		return admission, refused
	}
	return admission, nil
}

// checkConfigured returns the refusal of a request whose subject is not configured.
func (l *Limiter) checkConfigured(name string) *refusal.Error {
	snapshot := l.config.Configuration.Current()
	if snapshot == nil {
		return notReady("there is no configuration yet")
	}
	if _, ok := snapshot.Subject(name); !ok {
		return refusal.NewNotRun(refusal.NotAllowed, "the subject is not configured")
	}
	return nil
}

func errNotLoaded() *refusal.Error {
	return notReady("the share record has not been read yet")
}
